package telemetry

import (
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Paths of the health checks and the metrics.
const (
	PathLive    = "/health/live"
	PathReady   = "/health/ready"
	PathMetrics = "/metrics"
)

// Ready reports whether the process is ready to serve and, if not, the reason. It
// must be fast and safe for concurrent use.
type Ready func() (ready bool, reason string)

// MetricsHandler serves the metrics in Prometheus's text format.
func MetricsHandler(metrics *Metrics) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics.Gatherer(), promhttp.HandlerOpts{}))
}

// LiveHandler always answers 200: a process that can answer is alive.
func LiveHandler() fasthttp.RequestHandler {
	return func(context *fasthttp.RequestCtx) {
		context.SetBodyString("live\n")
	}
}

// ReadyHandler answers 200 if the process is ready, else 503 with the reason.
func ReadyHandler(ready Ready) fasthttp.RequestHandler {
	return func(context *fasthttp.RequestCtx) {
		isReady, reason := ready()
		if !isReady {
			context.SetStatusCode(fasthttp.StatusServiceUnavailable)
			context.SetBodyString(reason + "\n")
			return
		}
		context.SetBodyString("ready\n")
	}
}

// Handler serves the health checks and the metrics at their paths and answers 404
// for any other path.
func Handler(metrics *Metrics, ready Ready) fasthttp.RequestHandler {
	serveMetrics := MetricsHandler(metrics)
	serveLive := LiveHandler()
	serveReady := ReadyHandler(ready)
	return func(context *fasthttp.RequestCtx) {
		switch string(context.Path()) {
		case PathMetrics:
			serveMetrics(context)
		case PathLive:
			serveLive(context)
		case PathReady:
			serveReady(context)
		default:
			context.Error("not found", fasthttp.StatusNotFound)
		}
	}
}
