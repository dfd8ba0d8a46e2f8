package wire

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// descriptorPause is the wait after a connection could not be accepted for want of descriptors: some
// are closed within it where connections are short.
const descriptorPause = 20 * time.Millisecond

// patientListener goes on after connections that could not be accepted.
type patientListener struct {
	net.Listener
	failed func(error)
}

// Patient returns a listener that waits while the process has no descriptors left, where a server
// would else end for good. Failed is called each time, with the reason.
func Patient(listener net.Listener, failed func(error)) net.Listener {
	return patientListener{Listener: listener, failed: failed}
}

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err == nil || !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return connection, err
		}
		l.failed(err)
		time.Sleep(descriptorPause)
	}
}
