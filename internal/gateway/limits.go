package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// Limits where the operator sets none, and until the operator's are known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// limitsOf returns the operator's limits according to a table, which may be nil. Fields without a limit are zero.
func limitsOf(table *routing.Table) directory.Limits {
	if table == nil {
		return directory.Limits{}
	}
	return table.Limits
}

// maxHeaderBytes returns the limit of the head of a request: its request line, its fields and their line ends.
func (g *Gateway) maxHeaderBytes() int {
	if limits := limitsOf(g.subscription.current()); limits.MaxHeaderBytes > 0 {
		return limits.MaxHeaderBytes
	}
	return defaultHeaderBytes
}

// headBytes returns the size of a head, without empty lines before it.
func headBytes(header *fasthttp.RequestHeader) int {
	const separators = len("  \r\n") // of the request line
	return len(header.Method()) + len(header.RequestURI()) + len(header.Protocol()) + separators + len(header.RawHeaders())
}

// maxBodyBytes returns the limit of the body of a request.
func (g *Gateway) maxBodyBytes() int {
	if limits := limitsOf(g.subscription.current()); limits.MaxBodyBytes > 0 {
		return limits.MaxBodyBytes
	}
	return defaultBodyBytes
}

// connectionTimeouts returns the timeouts of the waits for a caller.
func (g *Gateway) connectionTimeouts() connectionTimeouts {
	return timeoutsOf(limitsOf(g.subscription.current()))
}
