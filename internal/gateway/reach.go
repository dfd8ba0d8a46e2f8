package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// reachInterval is the time between two checks for unreachable instances that are to be probed.
const reachInterval = 100 * time.Millisecond

// watchReach probes unreachable instances, and logs when most instances become unreachable and when they are
// reachable again, until the context ends.
func (g *Gateway) watchReach(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	var most bool
	var since time.Duration
	clock.Every(ctx, reachInterval, func() {
		if !most && g.reach.AllReachable() {
			return
		}
		now := g.clock.Now()
		for _, id := range g.reach.DueProbes(now) {
			probes.Go(func() {
				if background.Try(g.log, "probe", func() { g.probe(id) }) {
					g.reach.ProbeAbandoned(g.clock.Now(), id)
				}
			})
		}
		if was := most; g.mostUnreachable() != was {
			most = !was
			if most {
				since = now
			}
			g.logReach(most, now-since)
		}
	})
}

// probe tries to open a connection to an instance, which the next request to it uses.
func (g *Gateway) probe(id directory.InstanceID) {
	client, found := g.upstreams.find(id)
	if !found {
		g.reach.ProbeEnded(g.clock.Now(), id, false)
		return
	}
	err := client.Probe()
	if forward.IsLocal(err) {
		g.reach.ProbeAbandoned(g.clock.Now(), id)
		return
	}
	if isTimeout(err) {
		// Open connections are most likely dead as well.
		client.CloseIdle()
	}
	g.reach.ProbeEnded(g.clock.Now(), id, err == nil)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// mostUnreachable reports whether connections to most instances cannot be opened.
func (g *Gateway) mostUnreachable() bool {
	unreachable := g.reach.Unreachable()
	if unreachable == 0 {
		return false
	}
	table := g.subscription.current()
	return g.reach.CutOff() || table != nil && 2*unreachable > table.InstanceCount()
}

// logReach logs that most instances became unreachable, or how long they were.
func (g *Gateway) logReach(most bool, lasted time.Duration) {
	known := 0
	if table := g.subscription.current(); table != nil {
		known = table.InstanceCount()
	}
	line := g.log.WithField("known", known).WithField("unreachable", g.reach.Unreachable()).WithField("cut_off", g.reach.CutOff())
	if most {
		telemetry.With(line, telemetry.EventServersUnreached).Warn("most instances are unreachable")
		return
	}
	telemetry.With(line, telemetry.EventServersReached).WithField("for_ms", lasted.Milliseconds()).Info("most instances are reachable again")
}

// recordReach records what a direct attempt says of the connections to its instance.
func (g *Gateway) recordReach(current *request, id directory.InstanceID, attempt *forward.Attempt, failure *fault.Error) {
	now := g.clock.Now()
	switch {
	case failure == nil:
		g.reach.Reached(now, id)
	case current.interrupt.Fired() || g.linkFull(current):
		// The caller left, or this machine's own link is the cause.
	case failure.Kind == fault.ConnectFailed || failure.Kind == fault.ConnectionLost && attempt.Unacknowledged:
		g.reach.Failed(now, id)
	case failure.Kind == fault.DeadlineExceeded && attempt.Unanswered:
		g.reach.Suspect(now, id)
	}
}
