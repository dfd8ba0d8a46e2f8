package heartbeat

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// The answer to a heartbeat may be held back for a short time (long polling), so that the instance
// learns of new keys at once instead of at its next heartbeat. Keys that move have no holder until the
// next one is notified, so most moves take a round trip instead of a heartbeat interval.

// commitMargin is the part of the hold-back time that is reserved for the commit: a decision needs a
// quorum before it is sent. A commit takes two disk syncs and a round trip, about 15 ms on the
// machines measured.
const commitMargin = 80 * time.Millisecond

// HoldBack reports whether the answer to an instance's newest heartbeat, received at receivedAt, should
// wait because there is nothing new for the instance. It may be called only where Answer may be.
func (c *Core) HoldBack(now, receivedAt time.Duration, beat Beat, view *directory.Directory) bool {
	state := c.heartbeats[beat.Instance]
	if !c.IsNewest(beat) || beat.Draining || c.config.HoldBack == 0 {
		return false
	}
	service, found := view.Service(beat.Service)
	end := c.HoldBackEnd(receivedAt, beat)
	if !found || !service.Keyed || now >= end || c.hasChangedKeys(state, beat, view) {
		state.answerableUntil = 0
		return false
	}
	state.answerableUntil = end - commitMargin
	return true
}

// HoldBackEnd returns until when the answer to a heartbeat received at receivedAt may be held back.
//
// Invariant: the answer to an instance that holds keys is not held back beyond the end of the lease that
// it renews. It is also held back for at most half a lease: the new lease counts from the heartbeat, and
// its other half is left for the next heartbeat, which is sent after the answer.
func (c *Core) HoldBackEnd(receivedAt time.Duration, beat Beat) time.Duration {
	end := receivedAt + min(c.config.HoldBack, c.config.Lease/2)
	if len(beat.Held) == 0 {
		return end
	}
	state, tracked := c.heartbeats[beat.Instance]
	if !tracked || state.renewedAt == 0 {
		// The lease is one of an earlier leader and may end at any time.
		return receivedAt
	}
	return min(end, state.renewedAt+c.runsFor(c.config.Lease))
}

// IsNewest reports whether no later heartbeat of the instance has been received. An answer to an earlier
// heartbeat renews nothing, since the instance no longer waits for it.
func (c *Core) IsNewest(beat Beat) bool {
	state, tracked := c.heartbeats[beat.Instance]
	return tracked && state.sequence == beat.Sequence
}

// hasChangedKeys reports whether the keys that an instance is to hold differ from those in its
// heartbeat. It also returns true for an instance that is not ready.
func (c *Core) hasChangedKeys(state *heartbeatState, beat Beat, view *directory.Directory) bool {
	instance, found := view.Instance(beat.Instance)
	if !found || instance.State != directory.InstanceReady {
		return true
	}
	count := 0
	for _, holding := range c.index(beat.Service, view).owned[beat.Instance] {
		if holding.Revoked || !holding.Granted {
			continue
		}
		if !state.maySend(holding) {
			c.unrecorded[beat.Instance] = true
			continue
		}
		if !state.holds(holding) {
			return true
		}
		count++
	}
	return count != len(state.held)
}

// answerPending reports whether an answer to an instance is held back and can still carry a decision.
func (c *Core) answerPending(now time.Duration, id directory.InstanceID) bool {
	state, tracked := c.heartbeats[id]
	return tracked && now < state.answerableUntil
}

// grantsPending reports whether a pending answer is to grant a holding in a way that is not recorded yet.
func (c *Core) grantsPending(now time.Duration, holding directory.Holding) bool {
	if holding.Owner == "" || holding.Granted && !c.unrecorded[holding.Owner] {
		return false
	}
	state, tracked := c.heartbeats[holding.Owner]
	return tracked && now < state.answerableUntil && mustRecord(holding, state.sequence, state.held)
}

// grantPending marks the holdings that pending answers will contain, and merges the ranges of instances
// that then have too many for an answer.
func (d *draft) grantPending() {
	granted := make(map[directory.InstanceID]bool)
	d.layoutScans++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if !d.core.grantsPending(d.now, *holding) {
			continue
		}
		d.grant(holding, d.core.heartbeats[holding.Owner])
		granted[holding.Owner] = true
	}
	for _, id := range slices.Sorted(maps.Keys(granted)) {
		d.mergeRanges(id)
	}
}

// offloadPending starts to move keys away from busy instances whose answers are pending.
func (d *draft) offloadPending() {
	for _, candidate := range d.candidates {
		if d.core.answerPending(d.now, candidate.id) {
			d.offload(candidate.id)
		}
	}
}

// busyInstancePending reports whether the answer to a busy instance is pending, so that its keys can be
// moved now.
func (b *Batch) busyInstancePending(service string) bool {
	index := b.core.index(service, b.view)
	if index.moving >= b.core.maxMoves(len(index.owned)) {
		return false
	}
	threshold := b.core.busyThreshold(b.now, service, b.view)
	for id, owned := range index.owned {
		if !b.core.answerPending(b.now, id) {
			continue
		}
		if instance, found := b.view.Instance(id); found && b.core.certainUtilisation(b.now, instance, owned) >= threshold {
			return true
		}
	}
	return false
}
