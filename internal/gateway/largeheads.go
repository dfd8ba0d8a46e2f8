package gateway

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// headServers has a server for each size of buffer that heads need. A server takes the size of its buffers once, and a
// connection keeps its buffer until it is closed or moved. It is safe for concurrent use.
type headServers struct {
	create  func(bufferBytes int) *fasthttp.Server
	mutex   sync.Mutex
	servers map[int]*fasthttp.Server
}

func newHeadServers(create func(bufferBytes int) *fasthttp.Server) *headServers {
	return &headServers{create: create, servers: make(map[int]*fasthttp.Server)}
}

// of returns the server with buffers of a size.
func (s *headServers) of(bufferBytes int) *fasthttp.Server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	server, found := s.servers[bufferBytes]
	if !found {
		server = s.create(bufferBytes)
		s.servers[bufferBytes] = server
	}
	return server
}

// largeHeads serves callers' connections on which a head outgrew the buffer of the server that accepted them.
type largeHeads struct {
	servers *headServers
	// running counts the requests on these connections whose answers are not written yet, and moved the connections.
	running atomic.Int64
	moved   atomic.Uint64
}

// outgrown counts a request before its connection leaves a server, so that a stop waits for it without a gap.
func (h *largeHeads) outgrown() {
	h.running.Add(1)
	h.moved.Add(1)
}

// moveCaller serves a connection whose head has outgrown its server's buffer on a server with a larger one.
func (g *Gateway) moveCaller(outgrown *meteredConnection) {
	heads, bufferBytes := outgrown.heads.Moved()
	moved := g.newMeteredConnection(outgrown.Connection, heads)
	moved.large, moved.running = true, true
	go g.serveMoved(moved, bufferBytes)
}

func (g *Gateway) serveMoved(moved *meteredConnection, bufferBytes int) {
	server := g.largeHeads.servers.of(bufferBytes)
	if err := background.Result(g.log, "large heads", func() error { return server.ServeConn(moved) }); err != nil {
		telemetry.WithError(g.log, telemetry.EventConnectionFailed, err).WithField("buffer_bytes", bufferBytes).
			Info("connection with a large request head failed")
	}
}

// countLarge counts the requests on a connection that was moved, from their first byte until their answer is written. The
// request that was moved is counted already.
func (g *Gateway) countLarge(connection *meteredConnection, change fasthttp.ConnState) {
	active := change == fasthttp.StateActive
	if !connection.large || active == connection.running {
		return
	}
	connection.running = active
	if active {
		g.largeHeads.running.Add(1)
	} else {
		g.largeHeads.running.Add(-1)
	}
}

// closeLarge ends the waits for a next request on connections that were moved: their servers have no listener, and so close
// none when the gateway stops.
func (r *idleConnections) closeLarge() {
	r.each(func(connection *meteredConnection) {
		if connection.large {
			connection.EndWait()
		}
	})
}

// followHeads tells the reader of heads what the server has come to on a connection.
func followHeads(connection net.Conn, change fasthttp.ConnState) {
	reading, ok := connection.(headReading)
	if !ok {
		return
	}
	switch change {
	case fasthttp.StateActive:
		reading.headReader().Began()
	case fasthttp.StateIdle:
		reading.headReader().Next()
	default:
	}
}

// headReading is a connection whose heads may be moved to another server.
type headReading interface{ headReader() *intake.HeadReader }

// bufferBytesOf returns the size of the buffer for heads that a connection's server has.
func bufferBytesOf(connection net.Conn) int {
	if reading, ok := connection.(headReading); ok {
		return reading.headReader().BufferBytes()
	}
	return callerBufferBytes
}
