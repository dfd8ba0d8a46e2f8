package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// maxWindow bounds the candidates considered for one choice. When each choice considered all 5,800
// instances of a service, reassigning the keys of 116 instances that left at once took 323 ms, during
// which the leader answered no heartbeat.
const maxWindow = 256

// nextWindow returns the candidates considered for the next choice: all of them, or the next
// maxWindow in round-robin order.
func (d *draft) nextWindow() []*candidate {
	if len(d.candidates) <= maxWindow {
		return d.candidates
	}
	first := d.core.nextCandidate % len(d.candidates)
	d.core.nextCandidate = first + maxWindow
	window := d.candidates[first:min(first+maxWindow, len(d.candidates))]
	return append(slices.Clip(window), d.candidates[:maxWindow-len(window)]...)
}

// cheapestOwner returns the candidate with the lowest cost as the owner of unowned keys. The cost
// consists of the demand for its slots, the number of its keys, and the time until it learns of the
// keys, during which they are not served. A cold instance carries few requests, so it gets keys only
// if the window contains no warm one.
func (d *draft) cheapestOwner() *candidate {
	cost := func(candidate *candidate) float64 {
		return d.load(candidate) + gapCost*d.notificationDelay(candidate).Seconds()
	}
	return slices.MinFunc(d.nextWindow(), func(a, b *candidate) int {
		return cmp.Or(warmFirst(a, b), cmp.Compare(cost(a), cost(b)), cmp.Compare(a.id, b.id))
	})
}

// notificationDelay returns the expected time until an instance learns of keys assigned to it now:
// zero while its answer is pending, else the time until its next heartbeat.
func (d *draft) notificationDelay(candidate *candidate) time.Duration {
	state := d.core.heartbeats[candidate.id]
	if state == nil || state.interval <= 0 {
		return assumedGap
	}
	if d.now < state.answerableUntil {
		return 0
	}
	return max(state.receivedAt+state.interval-d.now, 0)
}

// warmFirst orders warm candidates before cold ones.
func warmFirst(a, b *candidate) int {
	switch {
	case a.warm == b.warm:
		return 0
	case a.warm:
		return -1
	default:
		return 1
	}
}

// keyCountWeight is the load, as a share of slots, that an instance with one slot has from the number
// of its keys if it owns all keys. It spreads keys without demand as well.
const keyCountWeight = 0.5

func (d *draft) load(candidate *candidate) float64 {
	return d.utilisation(candidate) + keyCountWeight*float64(candidate.keyCount)/float64(directory.MaxKey+1)/float64(candidate.slots)
}

// bestTarget returns the warm candidate with the lowest cost as the next owner of the source's keys.
// The cost consists of the demand for its slots and the expected time without a holder. Candidates
// in chosen are skipped.
func (d *draft) bestTarget(source *candidate, chosen []*candidate) *candidate {
	var best *candidate
	bestCost := 0.0
	for _, candidate := range d.nextWindow() {
		if candidate == source || !candidate.warm || candidate.rangeCount+candidate.incoming >= maxRanges || slices.Contains(chosen, candidate) || d.reserved(candidate) {
			continue
		}
		cost := d.utilisation(candidate) + gapCost*d.handoverGap(source, candidate).Seconds()
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// handoverGap returns the expected time without a holder for keys that move from source to target:
// from the source's heartbeat, which was just received, to the first heartbeat of the target after
// the source has released the keys.
func (d *draft) handoverGap(source, target *candidate) time.Duration {
	state := d.core.heartbeats[target.id]
	if state == nil || state.interval <= 0 {
		return assumedGap
	}
	releasedAfter := releaseTime + time.Duration(d.serviceTime(source)*float64(time.Second))
	if d.now+releasedAfter < state.answerableUntil {
		return releasedAfter
	}
	untilHeartbeat := state.receivedAt + state.interval - d.now
	for untilHeartbeat < releasedAfter {
		untilHeartbeat += state.interval
	}
	return untilHeartbeat
}
