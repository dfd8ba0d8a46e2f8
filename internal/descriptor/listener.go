package descriptor

import "net"

// boundListener closes connections that are not admitted.
type boundListener struct {
	net.Listener
	admits func() bool
}

// Bound returns a listener that closes a connection at once if admits reports false when it has been accepted.
func Bound(listener net.Listener, admits func() bool) net.Listener {
	return boundListener{Listener: listener, admits: admits}
}

// Accept implements net.Listener.
func (l boundListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil || l.admits() {
			return connection, err
		}
		_ = connection.Close() // nothing was read or sent
	}
}
