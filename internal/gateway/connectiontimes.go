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
	// toldIdleMargin is subtracted from the default idle timeout in the Keep-Alive header.
	toldIdleMargin = 5 * time.Second
)

// connectionTimes are the timeouts of the waits for a caller.
type connectionTimes struct {
	// header is the timeout for the header of a request, and idle the time that a connection may be idle
	// between two requests.
	header, idle time.Duration
}

// timesOf returns the timeouts according to the operator's limits.
func timesOf(limits directory.Limits) connectionTimes {
	times := connectionTimes{header: defaultHeaderTimeout, idle: defaultIdleTimeout}
	if limits.HeaderTimeoutMs > 0 {
		times.header = time.Duration(limits.HeaderTimeoutMs * float64(time.Millisecond))
	}
	if limits.IdleTimeoutMs > 0 {
		times.idle = time.Duration(limits.IdleTimeoutMs*float64(time.Millisecond)) + idleSlack
	}
	return times
}

func (g *Gateway) connectionTimes() connectionTimes {
	if table := g.subscription.current(); table != nil {
		return timesOf(table.Limits)
	}
	return timesOf(directory.Limits{})
}

// tellIdleTime tells the caller the idle timeout of its connection, unless the operator sets one, which
// callers know.
func (g *Gateway) tellIdleTime(context *fasthttp.RequestCtx) {
	if table := g.subscription.current(); table != nil && table.Limits.IdleTimeoutMs > 0 {
		return
	}
	seconds := int((defaultIdleTimeout - toldIdleMargin).Seconds())
	context.Response.Header.Set(fasthttp.HeaderKeepAlive, "timeout="+strconv.Itoa(seconds))
}

// waitBound overrides the deadline of the next wait for a caller, which the server derives from settings that
// cannot change.
type waitBound struct {
	// next is the timeout of that wait; zero keeps the server's. served is true once a request was answered.
	next   atomic.Int64
	served bool
}

// enter applies a state change of the connection. A new connection waits for a header, and so does one that
// received the first byte of a further request; after a request the connection is idle.
func (b *waitBound) enter(change fasthttp.ConnState, times connectionTimes) {
	switch {
	case change == fasthttp.StateNew, change == fasthttp.StateActive && b.served:
		b.next.Store(int64(times.header))
	case change == fasthttp.StateIdle:
		b.served = true
		b.next.Store(int64(times.idle))
	default:
	}
}

// SetReadDeadline implements net.Conn.
func (c *meteredConnection) SetReadDeadline(deadline time.Time) error {
	if bound := time.Duration(c.wait.next.Swap(0)); bound > 0 && !deadline.IsZero() {
		deadline = time.Now().Add(bound)
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// boundWait limits the next wait for a caller by the operator's limits.
func (g *Gateway) boundWait(connection net.Conn, change fasthttp.ConnState) {
	if metered, ok := connection.(*meteredConnection); ok {
		metered.wait.enter(change, g.connectionTimes())
	}
}
