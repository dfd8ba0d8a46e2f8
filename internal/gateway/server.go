package gateway

import (
	"math"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// bodyTimeout is the timeout for the body of a request.
	bodyTimeout  = time.Minute
	writeTimeout = 30 * time.Second
)

func (g *Gateway) newCallerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:        telemetry.Recovered(g.log, g.serve, refusePanicked),
		HeaderReceived: g.requestConfig,
		ErrorHandler:   g.refuseMalformed,
		Name:           role,
		// The listener bounds the connections.
		Concurrency:                  math.MaxInt32,
		StreamRequestBody:            true,
		ReadBufferSize:               defaultHeaderBytes,
		MaxRequestBodySize:           defaultBodyBytes,
		ReadTimeout:                  defaultHeaderTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  defaultIdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		ConnState:                    g.countConnection,
		Logger:                       g.log,
	}
}

// requestConfig applies the operator's limits to a request whose header was received.
func (g *Gateway) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout, WriteTimeout: writeTimeout, MaxRequestBodySize: g.maxBodyBytes()}
}

func (g *Gateway) countConnection(connection net.Conn, change fasthttp.ConnState) {
	g.idleCallers.update(connection, change)
	g.overrideReadDeadline(connection, change)
	g.enterPhase(connection, change)
	switch change {
	case fasthttp.StateNew:
		g.connections.Add(1)
		g.accepted.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		g.connections.Add(-1)
	}
}

// refuseMalformed answers a request that could not be parsed, and closes its connection.
func (g *Gateway) refuseMalformed(inbound *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooSmall *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case eris.As(err, &tooSmall):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case eris.Is(err, fasthttp.ErrBodyTooLarge), eris.Is(err, intake.ErrTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case eris.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	inbound.Response.Reset()
	inbound.SetStatusCode(status)
	inbound.SetConnectionClose()
	telemetry.WithError(g.log, telemetry.EventRequestMalformed, err).WithField("status", status).Info("malformed request rejected")
}

// refusePanicked answers a request whose handler panicked, with a status that does not promise that the
// request did not run.
func refusePanicked(inbound *fasthttp.RequestCtx) {
	inbound.Response.Reset()
	inbound.SetStatusCode(fasthttp.StatusBadGateway)
}
