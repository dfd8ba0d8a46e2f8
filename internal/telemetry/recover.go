package telemetry

import (
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
)

// Recovered returns a handler that recovers from panics of another handler. Otherwise a request that triggers a
// bug would crash one process after another as its caller resends it. Refuse answers such a request.
func Recovered(log *logrus.Entry, handler fasthttp.RequestHandler, refuse func(*fasthttp.RequestCtx)) fasthttp.RequestHandler {
	return func(call *fasthttp.RequestCtx) {
		recovered := panics.Try(func() { handler(call) })
		if recovered == nil {
			return
		}
		Panicked(log, recovered).WithField("path", string(call.Path())).Error("panic while handling a request")
		refuse(call)
		call.SetConnectionClose()
	}
}

// PanicLogger returns a function that logs panics of connection handlers.
func PanicLogger(log *logrus.Entry) func(*panics.Recovered) {
	return func(recovered *panics.Recovered) {
		Panicked(log, recovered).Error("panic while handling a connection")
	}
}

// Panicked returns a logger that adds the event, the error and the stack trace of a recovered panic.
func Panicked(log *logrus.Entry, recovered *panics.Recovered) *logrus.Entry {
	return WithError(log, EventPanicked, recovered.AsError()).WithField("stack", string(recovered.Stack))
}
