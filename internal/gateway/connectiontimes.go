package gateway

import (
	"net"
	"strconv"
	"sync"
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

// callerWait is what a connection waits for.
type callerWait int

const (
	// otherWait is for a body, or has begun already.
	otherWait callerWait = iota
	headerWait
	idleWait
)

// readDeadlineOverride overrides the deadline of the next wait for a caller, which the server derives from
// settings that cannot change.
type readDeadlineOverride struct {
	mutex sync.Mutex
	// next is that wait; otherWait keeps the server's deadline. served is true once a request was answered.
	next   callerWait
	served bool
	// idleSince is when the connection became idle, and idleUntil when the wait that began then ends; idleSince is zero while
	// it is not idle.
	idleSince, idleUntil time.Time
}

// connStateChanged applies a state change of the connection. A new connection waits for a header, and so
// does one that received the first byte of a further request; after a request the connection is idle.
func (o *readDeadlineOverride) connStateChanged(change fasthttp.ConnState) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case change == fasthttp.StateNew, change == fasthttp.StateActive && o.served:
		o.next = headerWait
	case change == fasthttp.StateIdle:
		o.served, o.next = true, idleWait
	default:
	}
	o.idleSince = time.Time{}
}

// deadline returns the deadline of a wait that begins now, in place of the server's. The mutex must be held.
func (o *readDeadlineOverride) deadline(ofServer time.Time, timeouts connectionTimeouts) time.Time {
	wait := o.next
	o.next = otherWait
	if ofServer.IsZero() {
		return ofServer
	}
	now := time.Now()
	switch wait {
	case headerWait:
		return now.Add(timeouts.header)
	case idleWait:
		o.idleSince, o.idleUntil = now, now.Add(timeouts.idle)
		return o.idleUntil
	default:
		return ofServer
	}
}

// SetReadDeadline implements net.Conn.
func (c *meteredConnection) SetReadDeadline(deadline time.Time) error {
	c.readDeadline.mutex.Lock()
	defer c.readDeadline.mutex.Unlock()
	return c.Connection.SetReadDeadline(c.readDeadline.deadline(deadline, c.timeouts()))
}

// extendIdle applies an idle timeout that was raised to the wait of a connection that is idle. A lowered one holds from the
// next wait on: a caller that knows the former one may be sending a request.
func (c *meteredConnection) extendIdle(timeout time.Duration) {
	c.readDeadline.mutex.Lock()
	defer c.readDeadline.mutex.Unlock()
	until := c.readDeadline.idleSince.Add(timeout)
	if c.readDeadline.idleSince.IsZero() || !until.After(c.readDeadline.idleUntil) {
		return
	}
	c.readDeadline.idleUntil = until
	_ = c.Connection.SetReadDeadline(until) // fails if the connection is closed
}

// extendIdleConnections applies the idle timeout of a new table to connections that are idle already.
func (g *Gateway) extendIdleConnections() {
	timeout := g.connectionTimeouts().idle
	if before := time.Duration(g.idleTimeout.Swap(int64(timeout))); timeout <= before || g.stopping.Load() {
		return
	}
	g.idleCallers.each(func(connection *meteredConnection) { connection.extendIdle(timeout) })
}

// overrideReadDeadline overrides the deadline of the next wait for a caller with the operator's limits.
func (g *Gateway) overrideReadDeadline(connection net.Conn, change fasthttp.ConnState) {
	if metered, ok := connection.(*meteredConnection); ok {
		metered.readDeadline.connStateChanged(change)
	}
}
