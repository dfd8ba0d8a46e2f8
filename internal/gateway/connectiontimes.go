package gateway

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// idleSlack is added to the idle timeout that the operator sets, so that a request sent just before it
	// does not cross the close of its connection.
	idleSlack = time.Second
	// keepAliveHeaderMargin is subtracted from the default idle timeout in the Keep-Alive header.
	keepAliveHeaderMargin = 5 * time.Second
)

// connectionTimeouts are the timeouts of the waits for a caller.
type connectionTimeouts struct {
	// header is the timeout for the header of a request, and idle the time that a connection may be idle
	// between two requests.
	header, idle time.Duration
}

// timeoutsOf returns the timeouts according to the operator's limits.
func timeoutsOf(limits directory.Limits) connectionTimeouts {
	timeouts := connectionTimeouts{header: defaultHeaderTimeout, idle: defaultIdleTimeout}
	if limits.HeaderTimeoutMs > 0 {
		timeouts.header = time.Duration(limits.HeaderTimeoutMs * float64(time.Millisecond))
	}
	if limits.IdleTimeoutMs > 0 {
		timeouts.idle = time.Duration(limits.IdleTimeoutMs*float64(time.Millisecond)) + idleSlack
	}
	return timeouts
}

// setKeepAlive tells the caller the idle timeout of its connection, unless the operator sets one, which
// callers know.
func (g *Gateway) setKeepAlive(context *fasthttp.RequestCtx) {
	if limitsOf(g.subscription.current()).IdleTimeoutMs > 0 {
		return
	}
	seconds := int((defaultIdleTimeout - keepAliveHeaderMargin).Seconds())
	context.Response.Header.Set(fasthttp.HeaderKeepAlive, "timeout="+strconv.Itoa(seconds))
}

// readDeadlineOverride overrides the deadline of the next wait for a caller, which the server derives from
// settings that cannot change.
type readDeadlineOverride struct {
	// next is the timeout of that wait; zero keeps the server's. served is true once a request was answered.
	next   atomic.Int64
	served bool
}

// connStateChanged applies a state change of the connection. A new connection waits for a header, and so
// does one that received the first byte of a further request; after a request the connection is idle.
func (o *readDeadlineOverride) connStateChanged(change fasthttp.ConnState, timeouts connectionTimeouts) {
	switch {
	case change == fasthttp.StateNew, change == fasthttp.StateActive && o.served:
		o.next.Store(int64(timeouts.header))
	case change == fasthttp.StateIdle:
		o.served = true
		o.next.Store(int64(timeouts.idle))
	default:
	}
}

// SetReadDeadline implements net.Conn.
func (c *meteredConnection) SetReadDeadline(deadline time.Time) error {
	if bound := time.Duration(c.readDeadline.next.Swap(0)); bound > 0 && !deadline.IsZero() {
		deadline = time.Now().Add(bound)
	}
	return c.Connection.SetReadDeadline(deadline)
}

// overrideReadDeadline overrides the deadline of the next wait for a caller with the operator's limits.
func (g *Gateway) overrideReadDeadline(connection net.Conn, change fasthttp.ConnState) {
	if metered, ok := connection.(*meteredConnection); ok {
		metered.readDeadline.connStateChanged(change, g.connectionTimeouts())
	}
}
