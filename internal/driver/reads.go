package driver

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
)

// coordinatorContext is the bit that marks the contexts of the ownership
// coordinator's quorum rounds; the low bits hold its round number.
const coordinatorContext = uint64(1) << 63

// readRetry is the time after which an unanswered read round is retried: its
// messages may have been lost.
const readRetry = 100 * time.Millisecond

// maxWaitingReads limits the reads that wait for a quorum.
const maxWaitingReads = 16384

// ReadFunc is a callback for a confirmed read. It is called with the table revision once
// a quorum confirmed, in a round that began after the read was requested, that no
// newer revision was acknowledged before the request. It is never called if no quorum
// confirms that.
type ReadFunc func(state.Revision)

// CoordinatorRound returns the number of the coordinator's quorum round that has the
// given Core.ReadIndex context, or false if the context belongs to a read round.
func CoordinatorRound(context uint64) (uint64, bool) {
	return context &^ coordinatorContext, context&coordinatorContext != 0
}

// Read requests a confirmed revision. The read is dropped if too many others are
// waiting.
func (d *Driver) Read(done ReadFunc) {
	if d.reads.unconfirmed() >= maxWaitingReads {
		return
	}
	d.reads.add(done)
	d.beginReads()
}

func (d *Driver) beginReads() {
	d.reads.begin(d.host.Now(), d.core.ReadIndex)
}

func (d *Driver) confirmReads(confirmations []consensus.ReadState) {
	for _, confirmation := range confirmations {
		if round, isCoordinator := CoordinatorRound(confirmation.Context); isCoordinator {
			d.coordinator.RoundConfirmed(d.host.Now(), round)
			continue
		}
		d.reads.confirm(confirmation)
	}
	if len(confirmations) > 0 {
		d.beginReads()
	}
}

// readRounds batches reads into quorum rounds. A read joins only a round that
// begins after the read arrived.
type readRounds struct {
	// lastContext is the context of the newest round. None is used twice, not
	// even across restarts.
	lastContext uint64
	// waiting holds the reads that belong to no round yet.
	waiting []ReadFunc
	// started holds the reads of the round lastContext.
	started   []ReadFunc
	startedAt time.Duration
	// confirmed holds the reads that wait until their log index is applied.
	confirmed []confirmedRead
}

type confirmedRead struct {
	done  ReadFunc
	index uint64
}

func (r *readRounds) unconfirmed() int { return len(r.waiting) + len(r.started) }

func (r *readRounds) add(done ReadFunc) { r.waiting = append(r.waiting, done) }

// begin starts a round if reads wait and the previous round was answered or is older
// than readRetry.
func (r *readRounds) begin(now time.Duration, readIndex func(context uint64) error) {
	if len(r.started) > 0 && now-r.startedAt < readRetry {
		return
	}
	if r.unconfirmed() == 0 {
		return
	}
	r.started = append(r.started, r.waiting...)
	r.waiting = nil
	r.startedAt = now
	r.lastContext++
	// Without a known leader the call fails; the round is retried after readRetry,
	// until the callers time out.
	_ = readIndex(r.lastContext)
}

func (r *readRounds) confirm(confirmation consensus.ReadState) {
	if confirmation.Context != r.lastContext {
		return
	}
	for _, done := range r.started {
		r.confirmed = append(r.confirmed, confirmedRead{done: done, index: confirmation.Index})
	}
	r.started = nil
}

// finish answers the reads whose log index is applied. A read's callback may request
// another read.
func (r *readRounds) finish(applied uint64, revision state.Revision) {
	var remaining, ready []confirmedRead
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
