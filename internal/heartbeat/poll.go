package heartbeat

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// An answer to a heartbeat may be held back for a moment (a long poll): the instance
// can then be told of keys at once instead of at its next heartbeat. Keys that move are
// without a holder only until their next holder is told, so that most moves cost a
// round trip in place of a heartbeat interval.

// decisionMargin is kept of the time that an answer is held back: what is decided must
// be agreed on by a quorum before it is told. A commit takes two disk syncs and a round
// trip, some 15 ms on the machines measured.
const decisionMargin = 80 * time.Millisecond

// HoldBack reports whether the answer to an instance's newest heartbeat, received at a
// time, has no news for it and may wait for some. It must be called where Answer could be.
func (c *Core) HoldBack(now, receivedAt time.Duration, beat Beat, view *directory.Directory) bool {
	known := c.contacts[beat.Instance]
	if !c.Newest(beat) || beat.Draining || c.config.HoldBack == 0 {
		return false
	}
	service, found := view.Service(beat.Service)
	if !found || !service.Keyed || now >= receivedAt+c.config.HoldBack || c.hasNews(known, beat, view) {
		known.answerableUntil = 0
		return false
	}
	known.answerableUntil = receivedAt + c.config.HoldBack - decisionMargin
	return true
}

// Newest reports whether no later heartbeat of the instance has come. An answer to an
// earlier one renews nothing: the instance has given it up.
func (c *Core) Newest(beat Beat) bool {
	known, met := c.contacts[beat.Instance]
	return met && known.sequence == beat.Sequence
}

// hasNews reports whether the keys that an instance is to hold differ from those that
// it told of.
func (c *Core) hasNews(known *contact, beat Beat, view *directory.Directory) bool {
	instance, found := view.Instance(beat.Instance)
	if !found || instance.State != directory.InstanceReady {
		return true
	}
	count := 0
	for _, holding := range c.index(beat.Service, view).owned[beat.Instance] {
		if holding.Revoked || !holding.Granted {
			continue
		}
		if !known.holds(holding) {
			return true
		}
		count++
	}
	return count != len(known.held)
}

// reachable reports whether an answer to an instance waits for news.
func (c *Core) reachable(now time.Duration, id directory.InstanceID) bool {
	known, met := c.contacts[id]
	return met && now < known.answerableUntil
}

// tellReachable marks what the answers that wait will tell, and joins the ranges of
// instances that then have too many for an answer.
func (d *draft) tellReachable() {
	told := make(map[directory.InstanceID]bool)
	d.walks++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if holding.Owner == "" || holding.Revoked || holding.Granted || !d.core.reachable(d.now, holding.Owner) {
			continue
		}
		holding.Granted = true
		d.changed = true
		told[holding.Owner] = true
	}
	for _, id := range slices.Sorted(maps.Keys(told)) {
		d.join(id)
	}
}

// offloadReachable begins to move keys away from busy instances whose answers wait.
func (d *draft) offloadReachable() {
	for _, each := range d.candidates {
		if d.core.reachable(d.now, each.id) {
			d.offload(each.id)
		}
	}
}

// busyReachable reports whether an instance whose answer waits has more demand than
// most, so that its keys may move now.
func (b *Batch) busyReachable(service string) bool {
	index := b.core.index(service, b.view)
	if index.moving >= b.core.mostMoves(len(index.owned)) {
		return false
	}
	busy := b.core.busyFrom(b.now, service, b.view)
	for id, owned := range index.owned {
		if !b.core.reachable(b.now, id) {
			continue
		}
		if instance, found := b.view.Instance(id); found && b.core.used(b.now, instance, owned) >= busy {
			return true
		}
	}
	return false
}
