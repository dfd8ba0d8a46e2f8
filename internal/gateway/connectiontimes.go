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
	// idleSlack is added to the time for which the operator lets connections rest: a request that is
	// sent at its end must not cross the close of its connection.
	idleSlack = time.Second
	// toldIdleMargin is taken off the time that callers are told where the operator says none.
	toldIdleMargin = 5 * time.Second
)

// connectionTimes bound the waits for a caller.
type connectionTimes struct {
	// header is how long the header of a request may take, and idle how long a connection may rest
	// between two requests.
	header, idle time.Duration
}

// timesOf returns those of the operator's limits.
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

// tellIdleTime tells a caller how long its connection may rest, where the operator does not: callers
// know the operator's limits.
func (g *Gateway) tellIdleTime(context *fasthttp.RequestCtx) {
	if table := g.subscription.current(); table != nil && table.Limits.IdleTimeoutMs > 0 {
		return
	}
	seconds := int((defaultIdleTimeout - toldIdleMargin).Seconds())
	context.Response.Header.Set(fasthttp.HeaderKeepAlive, "timeout="+strconv.Itoa(seconds))
}

// waitBound replaces the bound of the next wait for a caller, which the server sets from settings that
// cannot change.
type waitBound struct {
	// next is that bound; zero leaves the server's. Served is true once a request was answered.
	next   atomic.Int64
	served bool
}

// enter takes a change of the connection's state. A new connection waits for a header, and so does one
// on which the first byte of a further request came; one that was served rests.
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

// boundWait bounds the next wait for a caller by the operator's limits.
func (g *Gateway) boundWait(connection net.Conn, change fasthttp.ConnState) {
	if metered, ok := connection.(*meteredConnection); ok {
		metered.wait.enter(change, g.connectionTimes())
	}
}
