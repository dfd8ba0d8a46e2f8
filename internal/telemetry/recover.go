package telemetry

import (
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
)

// Recovered returns a handler that outlives panics of another one: a request that meets a defect would
// take down one process after the other as its caller sends it again. Refuse answers such a request.
func Recovered(log *logrus.Entry, handler fasthttp.RequestHandler, refuse func(*fasthttp.RequestCtx)) fasthttp.RequestHandler {
	return func(call *fasthttp.RequestCtx) {
		recovered := panics.Try(func() { handler(call) })
		if recovered == nil {
			return
		}
		Panicked(log, recovered).WithField("path", string(call.Path())).Error("a request met a defect of this program")
		refuse(call)
		call.SetConnectionClose()
	}
}

// PanicLogger returns a function that logs panics in handlers of connections.
func PanicLogger(log *logrus.Entry) func(*panics.Recovered) {
	return func(recovered *panics.Recovered) {
		Panicked(log, recovered).Error("a connection met a defect of this program")
	}
}

// Panicked begins the line of a panic that was outlasted.
func Panicked(log *logrus.Entry, recovered *panics.Recovered) *logrus.Entry {
	return WithError(log, EventPanicked, recovered.AsError()).WithField("stack", string(recovered.Stack))
}
