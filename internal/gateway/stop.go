package gateway

import (
	"context"
	"net"
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
	// incomingPollInterval is the interval at which incoming requests are checked for during a stop.
	incomingPollInterval = 100 * time.Millisecond
	// relayedPollInterval is the interval at which relayed requests are checked for during a stop.
	relayedPollInterval = 20 * time.Millisecond
)

// stop lets running requests finish. New connections are accepted until the platform has noticed that the
// gateway is not ready, and each answer closes its connection. Idle connections are closed once no request can
// be on its way to them, so that no caller reuses one when there is no time left to answer.
func (g *Gateway) stop(server *fasthttp.Server) error {
	end := g.clock.Now() + g.settings.StopTimeout - stopMargin
	g.stopping.Store(true)
	g.demand.stopping.Store(true)
	time.Sleep(g.settings.StopNotice)
	g.stopDeadline.Store(&end)
	g.awaitIncoming(end)
	bounded, cancel := context.WithTimeout(context.Background(), end-g.clock.Now())
	defer cancel()
	if err := server.ShutdownWithContext(bounded); err != nil && !eris.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "requests did not finish within stop_timeout")
	}
	return g.awaitRelayed(end)
}

// awaitRelayed waits until no request of another gateway runs; new ones are declined once a stop began.
func (g *Gateway) awaitRelayed(end time.Duration) error {
	for g.relayedRunning.Load() > 0 {
		if g.clock.Now() >= end {
			return eris.New("relayed requests did not finish within stop_timeout")
		}
		time.Sleep(relayedPollInterval)
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

// rejectBeforeStop rejects a request whose deadline is after the end of the stop: its caller is better served
// by another gateway. It is asked before each attempt, since requests wait for instances. Until StopNotice has
// passed all requests are accepted.
func (g *Gateway) rejectBeforeStop(current *request) *fault.Error {
	end := g.stopDeadline.Load()
	if end == nil || current.deadline <= *end {
		return nil
	}
	return fault.Newf(fault.RouterStopping, "this gateway stops in %s: ask another one", (*end - g.clock.Now()).Round(time.Millisecond))
}
