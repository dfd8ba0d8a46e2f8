package router

import (
	"context"
	"math"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/fleet"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/overload"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// connectionGrace is the maximum time for which open connections may still bring requests
	// after the listener was closed; each answer closes its connection. Callers drop
	// connections that were idle for callerapi.KeepAlive, so that the remaining ones are not
	// in use when they are closed.
	connectionGrace = callerapi.KeepAlive + time.Second
	// graceDivisor limits the grace to 1/graceDivisor of the stop timeout.
	graceDivisor = 2
	// handOverTimeout is the maximum duration of the hand-over of record partitions after a
	// stop.
	handOverTimeout = 3 * time.Second
	// probeWorkers is the maximum number of concurrent health checks.
	probeWorkers = 8
)

func (r *Router) newCallerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:      telemetry.Recovered(r.log, r.serve, refusePanicked),
		ErrorHandler: refuseMalformed,
		Name:         role,
		// The listener bounds the connections.
		Concurrency:           math.MaxInt32,
		StreamRequestBody:     true,
		MaxRequestBodySize:    r.settings.MaxBodyBytes,
		ReadTimeout:           r.settings.MaxTimeout,
		WriteTimeout:          r.settings.MaxTimeout,
		IdleTimeout:           r.settings.IdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ConnState:             r.countConnection,
		// Multipart bodies must be forwarded unchanged.
		DisablePreParseMultipartForm: true,
		Logger:                       r.log,
	}
}

func (r *Router) countConnection(connection net.Conn, change fasthttp.ConnState) {
	intake.Follow(intake.LoadOf(connection), r.clock.Now(), change)
	switch change {
	case fasthttp.StateNew:
		r.connections.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		r.connections.Add(-1)
	}
}

func newClientBudget(settings config.Router, places func() int) *overload.Budget {
	return overload.NewBudget(overload.Limits{
		Bytes: int64(settings.RequestMemory), Connections: settings.MaxConnections, Places: places, Collect: runtime.GC,
	})
}

// refuseBody answers a request whose body was not read whole, and closes its connection.
func (r *Router) refuseBody(inbound *fasthttp.RequestCtx, err error) {
	telemetry.WithError(r.log, telemetry.EventRequestRefused, err).WithField("request_memory_bytes", r.clientBudget.Used()).
		Info("request rejected before its body was read")
	if !eris.Is(err, intake.ErrNoMemory) && !eris.Is(err, intake.ErrEvicted) {
		refuseMalformed(inbound, err)
		return
	}
	writeRefusal(&inbound.Response, string(inbound.Request.Header.Peek(callerapi.HeaderRequestID)), fault.New(fault.MemoryExhausted, err.Error()))
	inbound.SetConnectionClose()
}

// onceListener is a listener that may be closed twice: by stop, and by the server's own
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

// refuseMalformed answers a request that could not be parsed.
func refuseMalformed(inbound *fasthttp.RequestCtx, err error) {
	detail := "the request could not be read; check its syntax and size"
	if eris.Is(err, fasthttp.ErrBodyTooLarge) || eris.Is(err, intake.ErrTooLarge) {
		detail = "the request's body is larger than max_body_bytes of this router; send less"
	}
	writeRefusal(&inbound.Response, "", fault.New(fault.InvalidRequest, detail))
	inbound.SetConnectionClose()
}

// refusePanicked answers a request whose handler panicked. The request may have run.
func refusePanicked(inbound *fasthttp.RequestCtx) {
	writeRefusal(&inbound.Response, "", fault.New(fault.Internal, "this router has a defect; its log tells where"))
}

// stop closes the listener, waits for open connections to close, and then for the running
// requests, within the stop timeout.
func (r *Router) stop(server *fasthttp.Server, listener net.Listener) error {
	telemetry.With(r.log, telemetry.EventStopping).Info("stopping")
	deadline := time.Now().Add(r.settings.StopTimeout)
	end := r.clock.Now() + r.settings.StopTimeout
	r.stopEnd.Store(&end)
	r.stopping.Store(true)
	_ = listener.Close()
	r.awaitConnections(time.Now().Add(min(connectionGrace, r.settings.StopTimeout/graceDivisor)))
	r.closed.Store(true)
	stopContext, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.ShutdownWithContext(stopContext); err != nil {
		return eris.Wrapf(err, "%d requests did not finish within stop_timeout %s", r.limiter.Total(), r.settings.StopTimeout)
	}
	return nil
}

// handOver waits until the results of all requests are recorded and other routers hold this
// router's record partitions, within handOverTimeout.
func (r *Router) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), min(handOverTimeout, r.settings.StopTimeout))
	defer cancel()
	if r.ownDeduplicator != nil {
		r.ownDeduplicator.flush(ctx)
	}
	r.records.Stop(ctx)
}

// awaitConnections waits until no connection is open or the deadline has passed.
func (r *Router) awaitConnections(deadline time.Time) {
	const interval = 10 * time.Millisecond
	for r.connections.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(interval)
	}
}

// probe regularly checks the health of the known back ends. The results are hints for the
// health tracker.
func (r *Router) probe(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, r.settings.Health.ProbeInterval)
		workers := pool.New().WithMaxGoroutines(probeWorkers)
		for _, backEnd := range r.fleet.Known() {
			if ctx.Err() != nil {
				break
			}
			workers.Go(func() { r.probeOne(backEnd) })
		}
		workers.Wait()
	}
}

func (r *Router) probeOne(backEnd *fleet.BackEnd) {
	server := backEnd.Server()
	if !server.Session.Open {
		return
	}
	healthy, err := clientOf(backEnd).Healthy(r.settings.Health.ProbeTimeout)
	if err == nil {
		r.fleet.Health().Hint(server.ID, healthy)
	}
}
