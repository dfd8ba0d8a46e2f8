package controller

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

// read is a request for a revision that a quorum confirms as current.
type read struct {
	done chan state.Revision
}

// readRounds joins reads into quorum rounds. A read joins only a round that
// begins after the read arrived.
type readRounds struct {
	lastContext uint64
	// waiting reads belong to no round yet.
	waiting []read
	// started reads belong to the round lastContext.
	started   []read
	startedAt time.Duration
	// confirmed reads wait until their log index is applied.
	confirmed []confirmedRead
}

type confirmedRead struct {
	read
	index uint64
}

func (r *readRounds) add(request read) {
	r.waiting = append(r.waiting, request)
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
	r.lastContext++
	if err := readIndex(r.lastContext); err != nil {
		// Without a leader there is nobody to ask; the round begins again
		// after readRetry, until the callers give up.
		return
	}
}

func (r *readRounds) confirm(confirmation consensus.ReadState) {
	if confirmation.Context != r.lastContext {
		return
	}
	for _, request := range r.started {
		r.confirmed = append(r.confirmed, confirmedRead{read: request, index: confirmation.Index})
	}
	r.started = nil
}

// finish answers the reads whose log index is applied.
func (r *readRounds) finish(applied uint64, revision state.Revision) {
	remaining := r.confirmed[:0]
	for _, request := range r.confirmed {
		if request.index > applied {
			remaining = append(remaining, request)
			continue
		}
		request.done <- revision
	}
	r.confirmed = remaining
}
