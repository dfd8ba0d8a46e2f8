package gateway

import (
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// readBody reads the body of a request, of the given size at most.
func (g *Gateway) readBody(context *fasthttp.RequestCtx, maxBytes int) (intake.Body, error) {
	body, err := intake.Read(context, maxBytes, intake.LoadOf(context.Conn()), g.clock)
	g.meter.Add(link.In, link.Bodies, body.Len())
	if err == nil {
		return body, nil
	}
	if failure := g.temporaryFailure(context, err); failure != nil {
		return body, failure
	}
	return body, err
}

// refuseBody answers a request whose body was not read whole, and closes its connection.
func (g *Gateway) refuseBody(context *fasthttp.RequestCtx, err error) {
	var failure *fault.Error
	if !eris.As(err, &failure) {
		g.refuseMalformed(context, err)
		return
	}
	g.refuseUnread(context, failure)
}

// refuseUnread answers a request that was not read whole, and closes its connection.
func (g *Gateway) refuseUnread(context *fasthttp.RequestCtx, failure *fault.Error) {
	refused := &request{
		id: string(context.Request.Header.Peek(g.dialect.RequestID)), inbound: &context.Request, answer: &context.Response,
		clock: g.clock, arrived: g.clock.Now(), interrupt: &forward.Interrupt{},
	}
	g.refuse(refused, failure)
	context.SetConnectionClose()
	linger(context.Conn())
	telemetry.WithError(g.log, telemetry.EventRequestRefused, failure).WithField(telemetry.FieldRequest, refused.id).
		WithField("request_memory_bytes", g.clientBudget.Used()).Info("request rejected before it was read whole")
}
