package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// stopMargin is reserved from the stop timeout for the work after the last request.
	stopMargin = 300 * time.Millisecond
	// unfinishedMargin is the time before the end of a stop at which requests that have not come whole are refused: their
	// callers learn that they did not run.
	unfinishedMargin = 200 * time.Millisecond
	// incomingPollInterval is the interval at which incoming requests are checked for during a stop.
	incomingPollInterval = 100 * time.Millisecond
	// runningPollInterval is the interval at which requests are checked for that the server's shutdown does not wait for.
	runningPollInterval = 20 * time.Millisecond
)

// stop lets running requests finish. New connections are accepted until the platform has noticed that the
// gateway is not ready, and each answer closes its connection. Idle connections are closed once no request can
// be on its way to them, so that no caller reuses one when there is no time left to answer.
func (g *Gateway) stop(server *fasthttp.Server) error {
	began := g.clock.Now()
	end := began + g.settings.StopTimeout - stopMargin
	g.stopPlan.Store(&stopPlan{noticed: began + g.settings.StopNotice, end: end})
	g.stopping.Store(true)
	g.demand.stopping.Store(true)
	time.Sleep(g.settings.StopNotice)
	g.awaitIncoming(end)
	g.idleCallers.closeLarge()
	bounded, cancel := context.WithTimeout(context.Background(), end-g.clock.Now())
	defer cancel()
	refusing := time.AfterFunc(end-g.clock.Now()-unfinishedMargin, g.clientBudget.EvictReading)
	defer refusing.Stop()
	if err := server.ShutdownWithContext(bounded); err != nil && !eris.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "requests did not finish within stop_timeout")
	}
	if err := g.awaitNone(&g.largeHeads.running, "requests with large heads", end); err != nil {
		return err
	}
	return g.awaitRelayed(end)
}

// awaitRelayed waits until no request of another gateway runs; new ones are declined once a stop began.
func (g *Gateway) awaitRelayed(end time.Duration) error {
	return g.awaitNone(&g.relayedRunning, "relayed requests", end)
}

// awaitNone waits until no request is counted that the server's shutdown does not wait for.
func (g *Gateway) awaitNone(running *atomic.Int64, what string, end time.Duration) error {
	for running.Load() > 0 {
		if g.clock.Now() >= end {
			return eris.Errorf("%s did not finish within stop_timeout", what)
		}
		time.Sleep(runningPollInterval)
	}
	return nil
}

// awaitIncoming waits while requests may still be arriving, for at most half of the time until the end:
// requests that are queued behind long answers on this machine's link, or that were received and not read
// yet.
func (g *Gateway) awaitIncoming(end time.Duration) {
	began := g.clock.Now()
	latest := began + (end-began)/2
	backlog := link.NewBacklog(g.settings.LinkMegabits, began, g.meter.Passed(link.In))
	for g.clock.Now() < latest {
		time.Sleep(incomingPollInterval)
		if !backlog.Waits(g.clock.Now(), g.meter.Passed(link.In)) && !g.idleCallers.unread() {
			break
		}
	}
	telemetry.With(g.log, telemetry.EventRestingClosed).WithField(telemetry.FieldDuration, (g.clock.Now()-began).Milliseconds()).
		WithField("connections", g.connections.Load()).Info("idle connections closed")
}

// rejectBeforeStop rejects a request that the gateway may not be able to answer before it ends: its caller is better
// served by another gateway. It is asked before each attempt, since requests wait for instances.
func (g *Gateway) rejectBeforeStop(current *request) *fault.Error {
	plan := g.stopPlan.Load()
	if plan == nil || current.deadline <= plan.end {
		return nil
	}
	now := g.clock.Now()
	if usual, known := g.balancer.UsualTime(current.service); plan.bearable(now, usual, known) {
		return nil
	}
	return fault.Newf(fault.RouterStopping, "this gateway stops in %s: ask another one", (plan.end - now).Round(time.Millisecond))
}

// stopPlan has the clock readings of a stop: callers have noticed it, and the gateway ends.
type stopPlan struct {
	noticed, end time.Duration
}

// usualTimes is how many times the usual time of its service a request is assumed to take.
const usualTimes = 3

// bearable reports whether a request whose deadline is after the end will most likely be answered before. Until callers
// have noticed the stop, the usual time of the service counts; where it is unknown, and later, the deadline alone.
func (p stopPlan) bearable(now, usual time.Duration, known bool) bool {
	return now < p.noticed && known && now+usualTimes*usual <= p.end
}
