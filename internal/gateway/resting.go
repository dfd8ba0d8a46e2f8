package gateway

import (
	"net"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"
)

// restingConnections has the callers' connections on which no request is being served. It is safe for
// concurrent use.
type restingConnections struct {
	mutex sync.Mutex
	all   map[net.Conn]struct{}
}

func newRestingConnections() *restingConnections {
	return &restingConnections{all: make(map[net.Conn]struct{})}
}

// note applies a state change of a connection.
func (r *restingConnections) note(connection net.Conn, change fasthttp.ConnState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch change {
	case fasthttp.StateNew, fasthttp.StateIdle:
		r.all[connection] = struct{}{}
	default:
		delete(r.all, connection)
	}
}

// unread reports whether an idle connection has unread bytes of a request.
func (r *restingConnections) unread() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for connection := range r.all {
		if system, ok := connection.(syscall.Conn); ok && hasUnread(system) {
			return true
		}
	}
	return false
}

func hasUnread(connection syscall.Conn) bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return false // closed
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) { count = peek(descriptor) })
	return err == nil && count > 0
}
