package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// serve answers one request of a caller.
func (g *Gateway) serve(context *fasthttp.RequestCtx) {
	if headBytes(&context.Request.Header) > g.maxHeaderBytes() {
		g.refuseMalformed(context, intake.ErrHeadTooLarge)
		return
	}
	body, err := g.readBody(context, g.maxBodyBytes())
	if err != nil {
		g.refuseBody(context, err)
		return
	}
	g.metrics.inFlight.Inc()
	defer g.metrics.inFlight.Dec()
	// The age is read before the table, which then includes all that the proof covers.
	age := g.subscription.age()
	current, err := g.readRequest(context, g.awaitTable(context), age)
	current.body, current.load = body, intake.LoadOf(context.Conn())
	if err == nil {
		err = g.rejectQuarantined(current)
	}
	if err == nil {
		g.budget(current.service).Fresh()
		if current.keyed {
			g.demand.countArrival(current.service, current.key)
		}
		err = g.executeWatched(context, current)
	}
	failure := asFault(err)
	if failure == nil {
		cleanAnswer(current.answer)
	} else {
		g.refuse(current, failure)
	}
	if g.stopping.Load() {
		context.SetConnectionClose()
	} else {
		g.setKeepAlive(context)
	}
	if connection, metered := context.Conn().(*meteredConnection); metered && current.route != nil {
		connection.turn = g.pacer.turnFunc(current, len(current.answer.Body()))
	}
	g.meter.Add(link.Out, link.Answers, len(current.answer.Body()))
	g.observe(current, failure)
	g.holdAnswer(current)
}

// executeWatched executes the request and aborts it when its caller disconnects. A request that this gateway
// may not be able to answer before it stops is rejected.
func (g *Gateway) executeWatched(context *fasthttp.RequestCtx, current *request) error {
	if err := g.rejectBeforeStop(current); err != nil {
		return err
	}
	defer g.callers.watch(context.Conn(), current)()
	defer g.guard.End(&current.suspicion)
	return g.executeAdmitted(current)
}

// executeAdmitted executes the request if this machine's link has capacity for it.
func (g *Gateway) executeAdmitted(current *request) error {
	if err := g.admitToLink(current); err != nil {
		return err
	}
	err := g.takeQuota(current)
	if err == nil {
		err = g.throttled(current)
	}
	if err == nil {
		err = g.execute(current)
	}
	g.returnQuota(current, err)
	g.settleLink(current, err == nil)
	return err
}

// tableWaitShare is the share of the caller's timeout for which a request waits for the first directory: a
// request that is refused later than that counts as held without success.
const tableWaitShare = 0.08

// awaitTable returns the table. A gateway that has just started waits a short time for it, since all other
// gateways may have just started as well.
func (g *Gateway) awaitTable(context *fasthttp.RequestCtx) *routing.Table {
	changed := g.subscription.updates.Next()
	if table := g.subscription.current(); table != nil {
		return table
	}
	milliseconds, err := strconv.ParseFloat(string(context.Request.Header.Peek(g.dialect.Deadline)), 64)
	if err != nil || milliseconds <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(tableWaitShare * milliseconds * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	return g.subscription.current()
}
