package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
)

// readRetry is how long a read round may stay unanswered before it is begun
// again.
const readRetry = 100 * time.Millisecond

// read waits for a revision that a quorum confirmed after it was asked for.
type read struct {
	done  func(state.Revision)
	index uint64
}

// readRounds joins reads into quorum rounds, as internal/controller does.
type readRounds struct {
	nextContext uint64
	waiting     []read
	started     []read
	startedAt   time.Duration
	confirmed   []read
}

// begin starts a round when one is due.
func (r *readRounds) begin(now time.Duration, readIndex func(context uint64) error) {
	if len(r.started) > 0 && now-r.startedAt < readRetry {
		return
	}
	if len(r.started)+len(r.waiting) == 0 {
		return
	}
	r.started = append(r.started, r.waiting...)
	r.waiting = nil
	r.startedAt = now
	r.nextContext++
	// Without a leader the round begins again after readRetry.
	_ = readIndex(r.nextContext)
}

func (r *readRounds) confirm(confirmation consensus.ReadState) {
	if confirmation.Context != r.nextContext {
		return
	}
	for _, request := range r.started {
		request.index = confirmation.Index
		r.confirmed = append(r.confirmed, request)
	}
	r.started = nil
}

// finish answers the reads whose log index is applied.
func (r *readRounds) finish(applied uint64, revision state.Revision) {
	var remaining, ready []read
	for _, request := range r.confirmed {
		if request.index > applied {
			remaining = append(remaining, request)
			continue
		}
		ready = append(ready, request)
	}
	r.confirmed = remaining
	for _, request := range ready {
		request.done(revision)
	}
}

// readRevision asks for a confirmed revision.
func (r *replica) readRevision(done func(state.Revision)) {
	asked := r.sim.queue.Now()
	r.reads.waiting = append(r.reads.waiting, read{done: func(revision state.Revision) {
		r.sim.checker.Read(r.owner.name(), asked, revision)
		done(revision)
	}})
	r.reads.begin(r.now(), r.core.ReadIndex)
}
