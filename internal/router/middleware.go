package router

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/execution"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// middleware returns a handler that wraps next.
type middleware func(next Handler) Handler

// chain wraps last in the layers. The first layer is the outermost.
func chain(last Handler, layers ...middleware) Handler {
	handler := last
	for i := len(layers) - 1; i >= 0; i-- {
		handler = layers[i](handler)
	}
	return handler
}

// serve handles callers' requests.
func (r *Router) serve(inbound *fasthttp.RequestCtx) {
	load := intake.LoadOf(inbound.Conn())
	if err := intake.ReadJoined(inbound, r.settings.MaxBodyBytes, load, r.clock); err != nil {
		r.refuseBody(inbound, err)
		return
	}
	defer func() { intake.Answered(&inbound.Response, load, r.clock) }()
	exchange, err := r.readExchange(inbound)
	defer fasthttp.ReleaseResponse(exchange.Answer)
	if err == nil {
		err = r.handler(r.lifetime, exchange)
	}
	if err == nil {
		writeAnswer(&inbound.Response, exchange)
		r.setConnection(inbound)
		r.metrics.observe(exchange, "", r.clock.Now())
		return
	}
	failure := fault.From(err)
	writeRefusal(&inbound.Response, exchange.CallerID, failure)
	r.setConnection(inbound)
	r.metrics.observe(exchange, failure.Kind, r.clock.Now())
	r.logUnknown(exchange, failure)
}

// setConnection tells the caller how long the connection stays open: it is closed after the
// answer while the router stops.
func (r *Router) setConnection(inbound *fasthttp.RequestCtx) {
	if r.stopping.Load() {
		inbound.SetConnectionClose()
		return
	}
	inbound.Response.Header.Set(callerapi.HeaderKeepAlive, keepAliveValue)
}

var keepAliveValue = fmt.Sprintf("timeout=%d", int(callerapi.KeepAlive.Seconds()))

func (r *Router) logUnknown(exchange *Exchange, failure *fault.Error) {
	if exchange.Request.Repeatable || fault.AnswerFor(failure.Kind).Outcome != fault.Unknown {
		return
	}
	telemetry.With(r.log, telemetry.EventRequestOutcomeBad).
		WithField(telemetry.FieldRequest, exchange.ID).
		WithField(telemetry.FieldService, exchange.Request.Service).
		WithField(telemetry.FieldKind, failure.Kind).Warn("the outcome of a request is unknown")
}

// refuseAfterStop refuses requests that arrive after the grace period of a stop.
func (r *Router) refuseAfterStop(next Handler) Handler {
	return func(ctx context.Context, exchange *Exchange) error {
		if r.closed.Load() {
			return fault.New(fault.RouterStopping, "the router is shutting down; send to another router")
		}
		return next(ctx, exchange)
	}
}

// refuseOutlasting refuses requests whose deadline is after the end of a stop that has begun: they would be cut off
// then, and other routers have the time.
func (r *Router) refuseOutlasting(next Handler) Handler {
	return func(ctx context.Context, exchange *Exchange) error {
		if end := r.stopEnd.Load(); end != nil && exchange.Request.Deadline > *end {
			return fault.Newf(fault.RouterStopping, "the router stops in %s; send to another router", (*end - r.clock.Now()).Round(time.Millisecond))
		}
		return next(ctx, exchange)
	}
}

// refuseStale refuses requests while the routing table is not proved current.
func (r *Router) refuseStale(next Handler) Handler {
	return func(ctx context.Context, exchange *Exchange) error {
		if !r.freshness.Fresh(r.clock.Now()) {
			return execution.Stale()
		}
		return next(ctx, exchange)
	}
}

// resolveService looks up the service in the routing table and applies its settings.
func (r *Router) resolveService(next Handler) Handler {
	return func(ctx context.Context, exchange *Exchange) error {
		if !r.subset.Holds(exchange.Request.Service) {
			return fault.Newf(fault.ServiceNotRouted, "this router does not route service %.64q; send to another router, or add it to services in this one's settings",
				exchange.Request.Service)
		}
		service, found := r.builder.Table().Service(exchange.Request.Service)
		if !found {
			return fault.Newf(fault.UnknownService, "no service %.64q is configured; check the first part of the path",
				exchange.Request.Service)
		}
		if err := exchange.resolve(service, r.settings.MaxTimeout); err != nil {
			return err
		}
		return next(ctx, exchange)
	}
}

// limitRequests limits the number of requests in flight.
func (r *Router) limitRequests(next Handler) Handler {
	return func(ctx context.Context, exchange *Exchange) error {
		name := string(exchange.service.Name)
		if !r.limiter.Enter(name, exchange.service.RequestLimit) {
			return fault.New(fault.RateLimited, "too many requests in flight at this router")
		}
		defer r.limiter.Leave(name)
		return next(ctx, exchange)
	}
}

// deduplicate passes requests that have an Idempotency-Key and may not be repeated to the
// Deduplicator.
func (r *Router) deduplicate(next Handler) Handler {
	return func(ctx context.Context, exchange *Exchange) error {
		if r.deduplicator == nil || exchange.IdempotencyKey == "" || exchange.Request.Repeatable {
			return next(ctx, exchange)
		}
		return r.deduplicator.Do(ctx, exchange, next)
	}
}
