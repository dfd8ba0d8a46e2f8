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

// turnWatch tells when the replica's loop has not come round for too long, as
// when its disk stalls. Everyone else who waits for the loop then gives up,
// since other replicas have held an election by that time.
type turnWatch struct {
	clock clock.Clock
	// limit is the longest turn of a replica that may still lead: the longest election timeout.
	limit time.Duration

	mutex  sync.Mutex
	turned time.Duration
	// held is done while the loop is held up.
	held    context.Context
	endTurn context.CancelFunc
}

func newTurnWatch(running clock.Clock, settings config.Controller) *turnWatch {
	watch := &turnWatch{clock: running, turned: running.Now(), limit: electionTime(settings.Consensus)}
	watch.held, watch.endTurn = context.WithCancel(context.Background())
	return watch
}

// turn notes that the loop has come round.
func (w *turnWatch) turn() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.turned = w.clock.Now()
	if w.held.Err() != nil {
		w.held, w.endTurn = context.WithCancel(context.Background())
	}
}

// look ends the turn that has lasted for too long, and reports whether it was
// still in force before.
func (w *turnWatch) look() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.held.Err() != nil || w.clock.Now()-w.turned < w.limit {
		return false
	}
	w.endTurn()
	return true
}

// current returns a context that is done while the loop is held up.
func (w *turnWatch) current() context.Context {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.held
}

// watchTurns sends operators' calls away from a leader whose loop is held up,
// until the context ends. What the loop itself may do then is bounded already:
// it renews no lease while it does not turn. The routers' streams stay open, as
// routers leave a silent leader by themselves, and lose a second when they come
// back to one that closed their stream.
func (r *replica) watchTurns(ctx context.Context) {
	clock.Every(ctx, r.settings.Consensus.TickInterval, func() {
		if r.mayBeSucceeded() && r.turns.look() && r.published.Load().leading {
			telemetry.With(r.log, telemetry.EventLeaderHeldUp).Warn("the loop is held up, most likely by the disk; calls are sent to other replicas")
		}
	})
}

// mayBeSucceeded reports whether the group has another voter, which may have been elected meanwhile.
func (r *replica) mayBeSucceeded() bool {
	return slices.ContainsFunc(r.voters(), func(voter consensus.Member) bool { return voter.ID != r.self.ID })
}

// readHere is ReadRevision for callers that can ask another replica: it gives up
// once the loop is held up.
func (r *replica) readHere(ctx context.Context) error {
	held := r.turns.current()
	if held.Err() != nil {
		return errHeldUp()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatching := context.AfterFunc(held, cancel)
	defer stopWatching()
	_, err := r.ReadRevision(ctx)
	if err != nil && held.Err() != nil {
		return errHeldUp()
	}
	return err
}

// errHeldUp is the answer to what was not handed to the loop.
func errHeldUp() error {
	return fault.New(fault.NotLeader, "this replica is held up, most likely by its disk, and leads no longer: ask another one")
}
