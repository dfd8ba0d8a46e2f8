package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// loopWatchdog detects that the replica's loop has not completed an iteration for too long, for example
// because the disk stalls. Callers that wait for the loop then give up, since the other replicas have held an
// election by that time.
type loopWatchdog struct {
	clock clock.Clock
	// limit is the longest iteration of a replica that may still lead: the longest election timeout.
	limit time.Duration

	mutex         sync.Mutex
	lastIteration time.Duration
	// stalled is done while the loop is stalled.
	stalled     context.Context
	markStalled context.CancelFunc
}

func newLoopWatchdog(source clock.Clock, settings config.Controller) *loopWatchdog {
	watchdog := &loopWatchdog{clock: source, lastIteration: source.Now(), limit: maxElectionTimeout(settings.Consensus)}
	watchdog.stalled, watchdog.markStalled = context.WithCancel(context.Background())
	return watchdog
}

// iterationDone records that the loop has completed an iteration.
func (w *loopWatchdog) iterationDone() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastIteration = w.clock.Now()
	if w.stalled.Err() != nil {
		w.stalled, w.markStalled = context.WithCancel(context.Background())
	}
}

// checkStalled marks the loop as stalled if its current iteration takes too long, and reports whether this
// call marked it.
func (w *loopWatchdog) checkStalled() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stalled.Err() != nil || w.clock.Now()-w.lastIteration < w.limit {
		return false
	}
	w.markStalled()
	return true
}

// stallContext returns a context that is done while the loop is stalled.
func (w *loopWatchdog) stallContext() context.Context {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stalled
}

// watchLoop redirects operators' calls away from a leader whose loop is stalled, until the context ends. The
// loop itself needs no such limit: it renews no lease while it is stalled. The streams of the routers stay
// open: routers leave a silent leader on their own, and lose a second when they return to one that closed
// their stream.
func (r *replica) watchLoop(ctx context.Context) {
	clock.Every(ctx, r.settings.Consensus.TickInterval, func() {
		if r.mayBeSucceeded() && r.watchdog.checkStalled() && r.published.Load().leading {
			telemetry.With(r.log, telemetry.EventLeaderHeldUp).Warn("replica loop is stalled, most likely by the disk; redirecting calls to other replicas")
		}
	})
}

// mayBeSucceeded reports whether the group has another voter, which may have been elected in the meantime.
func (r *replica) mayBeSucceeded() bool {
	return slices.ContainsFunc(r.voters(), func(voter consensus.Member) bool { return voter.ID != r.self.ID })
}

// confirmCurrent is ReadRevision for callers that can ask another replica: it gives up once the loop is
// stalled.
func (r *replica) confirmCurrent(ctx context.Context) error {
	stalled := r.watchdog.stallContext()
	if stalled.Err() != nil {
		return errStalled()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatching := context.AfterFunc(stalled, cancel)
	defer stopWatching()
	_, err := r.ReadRevision(ctx)
	if err != nil && stalled.Err() != nil {
		return errStalled()
	}
	return err
}

// errStalled is the error for a request that was not passed to the loop because it is stalled.
func errStalled() error {
	return fault.New(fault.NotLeader, "this replica is held up, most likely by its disk, and has lost the leadership: ask another one")
}
