package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A key has one holder, so a hot key cannot be served faster than by its holder. An overloading key is
// isolated: it moves alone to the fastest instance, whose other keys are then moved away like those
// of any busy instance.

const (
	// dominantLoad is the share of an instance's slots that a key must keep in use to be isolated. A
	// key below it can share an instance with other keys once some of those have moved away.
	dominantLoad = 0.6
	// minSpeedup is how many times as fast the other instance must be to justify a move, during which
	// the key is not served. It exceeds the error of the measured service times.
	minSpeedup = 1.4
	// maxHotKeyGap bounds the expected time without a holder of a hot key: the time to release it and
	// to notify an instance whose answer is pending, with allowance for a slow request.
	maxHotKeyGap = 300 * time.Millisecond
	// reservationTime is how long an instance that is to get a hot key gets no other keys. They would
	// use up its pending answer, and it would learn of the hot key only at its next heartbeat.
	reservationTime = 400 * time.Millisecond
)

// isolate starts to move the hottest key that alone overloads the source to the fastest instance.
// It reports whether it did.
func (d *draft) isolate(source *candidate) bool {
	for _, hot := range d.demand().hotKeys() {
		index, found := d.movable(source, hot.key)
		if !found || hot.rate*d.utilisationPerRate(source) < dominantLoad {
			continue
		}
		target := d.fastest(source)
		if target == nil {
			return false
		}
		source.rangeCount += d.revokePart(index, Range{First: hot.key, Last: hot.key}, target)
		source.rate -= hot.rate
		target.rate += hot.rate
		target.incoming++
		d.core.reservedUntil[target.id] = d.now + reservationTime
		return true
	}
	return false
}

// movable returns the index of the holding that contains a key. The second result is false if the
// source does not own the holding or cannot release it yet.
func (d *draft) movable(source *candidate, key directory.Key) (int, bool) {
	for index, holding := range d.layout.Holdings {
		if holding.Contains(key) {
			return index, holding.Owner == source.id && holding.Granted && !holding.Revoked
		}
	}
	return 0, false
}

// fastest returns the fastest candidate that has no hot key of its own and is faster than the source
// by at least minSpeedup; nil if there is none.
func (d *draft) fastest(source *candidate) *candidate {
	hotHolders := d.hotHolders()
	var best *candidate
	bestCost := 0.0
	for _, candidate := range d.candidates {
		if candidate == source || !candidate.warm || candidate.rangeCount+candidate.incoming >= maxRanges || hotHolders[candidate.id] || d.utilisationPerRate(candidate) <= 0 {
			continue
		}
		if d.utilisationPerRate(candidate)*minSpeedup > d.utilisationPerRate(source) || d.reserved(candidate) || d.handoverGap(source, candidate) > d.maxHandoverGap() {
			continue
		}
		if cost := d.utilisationPerRate(candidate) * (1 + d.handoverGap(source, candidate).Seconds()); best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// hotHolders returns the instances that own, or are about to get, a key that keeps at least
// dominantLoad of their slots in use.
func (d *draft) hotHolders() map[directory.InstanceID]bool {
	holders := make(map[directory.InstanceID]bool)
	for _, hot := range d.demand().hotKeys() {
		holding, found := d.layout.At(hot.key)
		if !found {
			continue
		}
		holder := d.candidate(holding.Owner)
		if holding.Revoked || holding.Owner == "" {
			holder = d.candidate(d.core.target(d.layout.Service, holding.First))
		}
		if holder != nil && hot.rate*d.utilisationPerRate(holder) >= dominantLoad {
			holders[holder.id] = true
		}
	}
	return holders
}

// maxHandoverGap bounds the time without a holder of a hot key. If answers are not held back, every
// instance learns of keys only at its next heartbeat, so the bound is assumedGap.
func (d *draft) maxHandoverGap() time.Duration {
	if d.core.config.HoldBack == 0 {
		return assumedGap
	}
	return maxHotKeyGap
}

// reserved reports whether an instance is reserved for a hot key.
func (d *draft) reserved(candidate *candidate) bool {
	return d.now < d.core.reservedUntil[candidate.id]
}
