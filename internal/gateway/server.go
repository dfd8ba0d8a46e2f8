package gateway

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Limits that hold until the operator's are known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// bodyTimeout bounds the time for the body of a request.
	bodyTimeout = time.Minute
	writeTime   = 30 * time.Second
)

func (g *Gateway) newCallerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      g.serve,
		HeaderReceived:               g.requestConfig,
		ErrorHandler:                 g.refuseMalformed,
		Name:                         role,
		Concurrency:                  g.settings.MaxConnections,
		ReadBufferSize:               defaultHeaderBytes,
		MaxRequestBodySize:           defaultBodyBytes,
		ReadTimeout:                  defaultHeaderTimeout,
		WriteTimeout:                 writeTime,
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

// requestConfig applies the operator's limits to a request whose header came.
func (g *Gateway) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	limited := fasthttp.RequestConfig{ReadTimeout: bodyTimeout, WriteTimeout: writeTime, MaxRequestBodySize: defaultBodyBytes}
	if table := g.subscription.current(); table != nil && table.Limits.MaxBodyBytes > 0 {
		limited.MaxRequestBodySize = table.Limits.MaxBodyBytes
	}
	return limited
}

func (g *Gateway) countConnection(_ net.Conn, change fasthttp.ConnState) {
	switch change {
	case fasthttp.StateNew:
		g.connections.Add(1)
		g.accepted.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		g.connections.Add(-1)
	}
}

// refuseMalformed answers requests that could not be read, and closes their
// connections.
func (g *Gateway) refuseMalformed(inbound *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooSmall *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case eris.As(err, &tooSmall):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case eris.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case eris.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	inbound.Response.Reset()
	inbound.SetStatusCode(status)
	inbound.SetConnectionClose()
	telemetry.WithError(g.log, telemetry.EventRequestMalformed, err).WithField("status", status).Info("malformed request rejected")
}

// stopMargin is kept of the stop timeout for what comes after the last request.
const stopMargin = 300 * time.Millisecond

// stop lets running requests finish. New connections are accepted until the
// platform has noticed that the gateway is not ready, and each answer closes its
// connection. Connections that rest are closed then, so that no caller takes one up
// again while there is no time left to answer.
func (g *Gateway) stop(server *fasthttp.Server) error {
	end := time.Now().Add(g.settings.StopTimeout - stopMargin)
	g.stopping.Store(true)
	g.demand.stopping.Store(true)
	time.Sleep(g.settings.StopNotice)
	bounded, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.ShutdownWithContext(bounded); err != nil && !eris.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "requests did not finish within stop_timeout")
	}
	return nil
}
