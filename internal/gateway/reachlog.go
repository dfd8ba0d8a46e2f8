package gateway

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// reachCheckInterval is the time between two checks of how many instances are unreachable.
const reachCheckInterval = 200 * time.Millisecond

// logReach logs when most instances become unreachable and when they are reachable again, until the context
// ends.
func (g *Gateway) logReach(ctx context.Context) {
	clock.Every(ctx, reachCheckInterval, func() {
		table := g.subscription.current()
		if table == nil {
			return
		}
		now, known := g.clock.Now(), table.InstanceCount()
		most, changed, since := g.unreachable.updateLost(now, known)
		if !changed {
			return
		}
		counts := g.log.WithField("known", known).WithField("unreachable", g.unreachable.count())
		if most {
			telemetry.With(counts, telemetry.EventServersUnreached).Warn("most instances are unreachable")
			return
		}
		telemetry.With(counts, telemetry.EventServersReached).WithField("for_ms", (now-since).Milliseconds()).
			Info("most instances are reachable again")
	})
}
