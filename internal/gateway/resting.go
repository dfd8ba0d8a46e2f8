package gateway

import (
	"net"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/intake"
)

// idleConnections has the callers' connections on which no request is being served. It is safe for
// concurrent use.
type idleConnections struct {
	mutex       sync.Mutex
	connections map[net.Conn]struct{}
}

func newIdleConnections() *idleConnections {
	return &idleConnections{connections: make(map[net.Conn]struct{})}
}

// update applies a state change of a connection.
func (r *idleConnections) update(connection net.Conn, change fasthttp.ConnState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch change {
	case fasthttp.StateNew, fasthttp.StateIdle:
		r.connections[connection] = struct{}{}
	default:
		delete(r.connections, connection)
	}
}

// each calls a function for each connection. None of them becomes active meanwhile.
func (r *idleConnections) each(apply func(*meteredConnection)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for connection := range r.connections {
		if metered, ok := connection.(*meteredConnection); ok {
			apply(metered)
		}
	}
}

// unread reports whether an idle connection has unread bytes of a request.
func (r *idleConnections) unread() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for connection := range r.connections {
		if system, ok := connection.(syscall.Conn); ok && intake.HasUnread(system) {
			return true
		}
	}
	return false
}
