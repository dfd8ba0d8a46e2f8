package gateway

import (
	"math"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// bodyTimeout is the timeout for the body of a request.
	bodyTimeout  = time.Minute
	writeTimeout = 30 * time.Second
)

// callerBufferBytes is the size of the buffer with which a caller's connection begins. A larger head moves it to a server
// with a larger one.
const callerBufferBytes = defaultHeaderBytes

// newCallerServer returns a server for callers whose heads fit into buffers of the given size.
func (g *Gateway) newCallerServer(bufferBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:        telemetry.Recovered(g.log, g.serve, refusePanicked),
		HeaderReceived: g.requestConfig,
		ErrorHandler:   g.refuseMalformed,
		Name:           role,
		// The listener bounds the connections.
		Concurrency:                  math.MaxInt32,
		StreamRequestBody:            true,
		ReadBufferSize:               bufferBytes,
		MaxRequestBodySize:           defaultBodyBytes,
		ReadTimeout:                  defaultHeaderTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  defaultIdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		ConnState:                    g.countConnection,
		Logger:                       g.log,
	}
}

// requestConfig applies the operator's limits to a request whose header was received.
func (g *Gateway) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout, WriteTimeout: writeTimeout, MaxRequestBodySize: g.maxBodyBytes()}
}

func (g *Gateway) countConnection(connection net.Conn, change fasthttp.ConnState) {
	metered, isMetered := connection.(*meteredConnection)
	if isMetered && change == fasthttp.StateClosed && metered.heads.Outgrown() {
		return // another server has it
	}
	if isMetered {
		g.countLarge(metered, change)
	}
	g.idleCallers.update(connection, change)
	g.overrideReadDeadline(connection, change)
	g.enterPhase(connection, change)
	followHeads(connection, change)
	switch change {
	case fasthttp.StateNew:
		g.connections.Add(1)
		g.accepted.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		g.connections.Add(-1)
	}
}

// refuseMalformed answers a request that could not be read, and closes its connection.
func (g *Gateway) refuseMalformed(inbound *fasthttp.RequestCtx, err error) {
	if failure := g.temporaryFailure(inbound, err); failure != nil {
		g.refuseUnread(inbound, failure)
		return
	}
	status := statusOfUnread(err)
	inbound.Response.Reset()
	inbound.SetStatusCode(status)
	inbound.SetConnectionClose()
	if status != fasthttp.StatusRequestTimeout {
		linger(inbound.Conn())
	}
	telemetry.WithError(g.log, telemetry.EventRequestMalformed, err).WithField("status", status).Info("malformed request rejected")
}

// linger lets a caller take the answer to a request that was not read whole.
func linger(connection net.Conn) {
	if lingering, ok := connection.(interface{ Linger() }); ok {
		lingering.Linger()
	}
}

// statusOfUnread returns the status for a request that could not be read.
func statusOfUnread(err error) int {
	var tooSmall *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case eris.As(err, &tooSmall), eris.Is(err, intake.ErrHeadTooLarge):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case eris.Is(err, fasthttp.ErrBodyTooLarge), eris.Is(err, intake.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case eris.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	default:
		return fasthttp.StatusBadRequest
	}
}

// temporaryFailure returns the failure of a request that could not be read though it may be proper, so that its caller may send it
// again; nil for another one.
func (g *Gateway) temporaryFailure(inbound *fasthttp.RequestCtx, err error) *fault.Error {
	if eris.Is(err, intake.ErrNoMemory) || eris.Is(err, intake.ErrEvicted) {
		return fault.New(fault.MemoryExhausted, err.Error())
	}
	status := statusOfUnread(err)
	if status != fasthttp.StatusRequestHeaderFieldsTooLarge && status != fasthttp.StatusRequestEntityTooLarge {
		return nil
	}
	// Callers never send again what a limit forbids, and a change may have raised it that this gateway does not know.
	if age := g.subscription.age(); g.subscription.stale(age) {
		return outdated(age)
	}
	var tooSmall *fasthttp.ErrSmallBuffer
	if eris.As(err, &tooSmall) && g.maxHeaderBytes() > bufferBytesOf(inbound.Conn()) {
		// Its first bytes came with the request before, or before the limit was raised.
		return fault.New(fault.MemoryExhausted, "the head does not fit into the buffer of its connection: send it on another one")
	}
	return nil
}

// refusePanicked answers a request whose handler panicked, with a status that does not promise that the
// request did not run.
func refusePanicked(inbound *fasthttp.RequestCtx) {
	inbound.Response.Reset()
	inbound.SetStatusCode(fasthttp.StatusBadGateway)
}
