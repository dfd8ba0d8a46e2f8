package router

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/fleet"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// stopGrace is how long kept connections may still bring requests after
	// the listener closed, at most; each answer closes its connection. Callers
	// drop connections that were idle for callerapi.KeepAlive, so that none is
	// in use when the rest is closed.
	stopGrace = callerapi.KeepAlive + time.Second
	// graceShare bounds the grace as a part of the stop timeout.
	graceShare = 2
	// handOverTime bounds the hand-over of record partitions after a stop.
	handOverTime = 3 * time.Second
	// probeWorkers bounds health checks that run at the same time.
	probeWorkers = 8
)

func (r *Router) newCallerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               telemetry.Recovered(r.log, r.serve, refusePanicked),
		ErrorHandler:          refuseMalformed,
		Name:                  role,
		Concurrency:           r.settings.MaxConnections,
		MaxRequestBodySize:    r.settings.MaxBodyBytes,
		ReadTimeout:           r.settings.MaxTimeout,
		WriteTimeout:          r.settings.MaxTimeout,
		IdleTimeout:           r.settings.IdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ConnState:             r.countConnection,
		// A multipart body must go on byte for byte.
		DisablePreParseMultipartForm: true,
		Logger:                       r.log,
	}
}

func (r *Router) countConnection(_ net.Conn, change fasthttp.ConnState) {
	switch change {
	case fasthttp.StateNew:
		r.connections.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		r.connections.Add(-1)
	}
}

// onceListener may be closed twice: by the stop, and by the server's own
// shutdown.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// refuseMalformed answers requests that could not be read.
func refuseMalformed(inbound *fasthttp.RequestCtx, err error) {
	detail := "the request could not be read; check its syntax and size"
	if eris.Is(err, fasthttp.ErrBodyTooLarge) {
		detail = "the request's body is larger than max_body_bytes of this router; send less"
	}
	writeRefusal(&inbound.Response, "", fault.New(fault.InvalidRequest, detail))
	inbound.SetConnectionClose()
}

// refusePanicked answers a request that met a defect: it may have run.
func refusePanicked(inbound *fasthttp.RequestCtx) {
	writeRefusal(&inbound.Response, "", fault.New(fault.Internal, "this router has a defect; its log tells where"))
}

// stop closes the listener, lets kept connections finish, and waits for the
// running requests within the stop timeout.
func (r *Router) stop(server *fasthttp.Server, listener net.Listener) error {
	telemetry.With(r.log, telemetry.EventStopping).Info("stopping")
	end := time.Now().Add(r.settings.StopTimeout)
	r.stopping.Store(true)
	_ = listener.Close()
	r.awaitConnections(time.Now().Add(min(stopGrace, r.settings.StopTimeout/graceShare)))
	r.closed.Store(true)
	bounded, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.ShutdownWithContext(bounded); err != nil {
		return eris.Wrapf(err, "%d requests did not finish within stop_timeout %s", r.limiter.Total(), r.settings.StopTimeout)
	}
	return nil
}

// handOver records the ends of all requests and waits until other routers hold
// this router's record partitions.
func (r *Router) handOver() {
	bounded, cancel := context.WithTimeout(context.Background(), min(handOverTime, r.settings.StopTimeout))
	defer cancel()
	if r.completions != nil {
		r.completions.flush(bounded)
	}
	r.records.Stop(bounded)
}

// awaitConnections returns once no connection is open, or at the given time.
func (r *Router) awaitConnections(end time.Time) {
	const interval = 10 * time.Millisecond
	for r.connections.Load() > 0 && time.Now().Before(end) {
		time.Sleep(interval)
	}
}

// probe asks the known back ends for their health, as a hint.
func (r *Router) probe(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, r.settings.Health.ProbeInterval)
		workers := pool.New().WithMaxGoroutines(probeWorkers)
		for _, known := range r.fleet.Known() {
			if ctx.Err() != nil {
				break
			}
			workers.Go(func() { r.probeOne(known) })
		}
		workers.Wait()
	}
}

func (r *Router) probeOne(known *fleet.BackEnd) {
	server := known.Server()
	if !server.Session.Open {
		return
	}
	well := clientOf(known).Healthy(r.settings.Health.ProbeTimeout)
	r.fleet.Health().Hint(server.ID, well)
}
