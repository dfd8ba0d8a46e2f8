package driver

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
)

// coordinatorContext marks the quorum rounds of the ownership coordinator; the
// low bits hold its round number.
const coordinatorContext = uint64(1) << 63

// readRetry is how long a read round may stay unanswered before it is begun
// again: the answer of a round may be lost with its messages.
const readRetry = 100 * time.Millisecond

// maxWaitingReads bounds the reads that wait for a quorum.
const maxWaitingReads = 16384

// Read is called with the table revision once a quorum confirmed, in a round
// that began after the read was asked for, that no newer one was acknowledged
// before. It is never called if no quorum does.
type Read func(state.Revision)

// CoordinatorRound returns the number of the coordinator's quorum round that a
// context of Core.ReadIndex stands for, or false if it stands for reads.
func CoordinatorRound(context uint64) (uint64, bool) {
	return context &^ coordinatorContext, context&coordinatorContext != 0
}

// Read asks for a confirmed revision. A read that finds too many others waiting
// is dropped.
func (d *Driver) Read(done Read) {
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
		if round, coordinators := CoordinatorRound(confirmation.Context); coordinators {
			d.coordinator.RoundConfirmed(d.host.Now(), round)
			continue
		}
		d.reads.confirm(confirmation)
	}
	if len(confirmations) > 0 {
		d.beginReads()
	}
}

// readRounds joins reads into quorum rounds. A read joins only a round that
// begins after the read arrived.
type readRounds struct {
	// lastContext is the context of the newest round. None is used twice, not
	// even across restarts.
	lastContext uint64
	// waiting reads belong to no round yet.
	waiting []Read
	// started reads belong to the round lastContext.
	started   []Read
	startedAt time.Duration
	// confirmed reads wait until their log index is applied.
	confirmed []confirmedRead
}

type confirmedRead struct {
	done  Read
	index uint64
}

func (r *readRounds) unconfirmed() int { return len(r.waiting) + len(r.started) }

func (r *readRounds) add(done Read) { r.waiting = append(r.waiting, done) }

// begin starts a round when one is due.
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
	// Without a leader there is nobody to ask; the round begins again after
	// readRetry, until the callers give up.
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

// finish answers the reads whose log index is applied. An answered read may ask
// for another at once.
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
