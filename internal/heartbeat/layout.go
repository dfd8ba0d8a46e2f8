package heartbeat

import (
	"github.com/thorntiller/thorntiller/internal/directory"
)

// maxParts bounds the number of parts into which an unowned holding is split.
const maxParts = 8

// minPartWidth is the minimum number of keys in such a part.
const minPartWidth = 64

// freeReleased frees the revoked holdings that their owner no longer holds.
func (d *draft) freeReleased(beat Beat, state *heartbeatState) {
	released := func(holding directory.Holding) bool {
		return releasesHolding(holding, beat) && state.isAfterGrant(holding)
	}
	if !d.mayHaveHolding(beat.Instance, released) {
		return
	}
	d.layoutScans++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if holding.Owner != beat.Instance || !released(*holding) {
			continue
		}
		d.freeHolding(holding, handoverFor(*holding, beat.Released))
	}
}

// handoverFor returns the handover that the last holder left for released keys.
func handoverFor(holding directory.Holding, released []Released) string {
	for _, row := range released {
		if row.First <= holding.First && holding.Last <= row.Last {
			return row.Handover
		}
	}
	return ""
}

// freeHolding removes the owner of a holding.
func (d *draft) freeHolding(holding *directory.Holding, handover string) {
	d.modified[holding.Owner] = true
	d.unowned++
	if !holding.Revoked {
		d.moving++
	}
	holding.Owner = ""
	holding.Revoked = false
	holding.Granted = false
	holding.GrantSequence = 0
	holding.Handover = handover
	d.changed = true
}

// markGranted marks the holdings that the answer to their owner's newest heartbeat contains. Those that the heartbeat
// does not list are granted with it, for the first time or once more.
func (d *draft) markGranted(id directory.InstanceID, state *heartbeatState) {
	granted := func(holding directory.Holding) bool { return mustRecord(holding, state.sequence, state.held) }
	if !d.mayHaveHolding(id, granted) {
		return
	}
	d.layoutScans++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if holding.Owner == id && granted(*holding) {
			d.grant(holding, state)
		}
	}
}

// mustRecord reports whether the answer to a heartbeat with a sequence number and held ranges grants a holding in a way
// that is not recorded yet: for the first time, or once more to an instance that did not list it.
func mustRecord(holding directory.Holding, sequence uint64, held []Held) bool {
	return !holding.Revoked && (!holding.Granted || holding.GrantSequence < sequence && !listsKeys(held, holding))
}

// grant records that the answer to the owner's newest heartbeat grants a holding.
func (d *draft) grant(holding *directory.Holding, state *heartbeatState) {
	holding.Granted = true
	holding.GrantSequence = max(holding.GrantSequence, state.sequence)
	d.changed = true
}

// freeExpired frees the holdings of instances that certainly hold nothing any more.
func (d *draft) freeExpired() {
	d.layoutScans++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if holding.Owner != "" && d.core.holdsNothing(d.now, holding.Owner, d.view) {
			d.freeHolding(holding, "")
		}
	}
}

// assignUnowned assigns all holdings without an owner.
func (d *draft) assignUnowned() {
	if len(d.candidates) == 0 || d.unowned == 0 {
		return
	}
	d.measureDemand()
	d.layoutScans++
	assigned := make([]directory.Holding, 0, len(d.layout.Holdings)+maxParts*d.unowned)
	for _, holding := range d.layout.Holdings {
		if holding.Owner != "" {
			assigned = append(assigned, holding)
			continue
		}
		var previousOwner directory.InstanceID
		if len(assigned) > 0 {
			previousOwner = assigned[len(assigned)-1].Owner
		}
		assigned = append(assigned, d.assignHolding(holding, previousOwner)...)
	}
	d.layout.Holdings = assigned
}

// maxRanges is the number of ranges above which an instance gets no others and its adjacent ranges are
// merged, so that the answer to its heartbeat is at most 4 KiB: a range takes 20 to 24 bytes, and 16
// more with a handover, which only new ranges have.
const maxRanges = 150

// mergeRanges merges the adjacent ranges of an instance that owns more than maxRanges. The merged range
// has the highest fence of its parts.
func (d *draft) mergeRanges(id directory.InstanceID) {
	if !d.modified[id] && len(d.owned[id]) <= maxRanges {
		return
	}
	d.layoutScans++
	count := 0
	for _, holding := range d.layout.Holdings {
		if holding.Owner == id {
			count++
		}
	}
	if count <= maxRanges {
		return
	}
	mergeable := func(holding directory.Holding) bool {
		return holding.Owner == id && holding.Granted && !holding.Revoked
	}
	var merged []directory.Holding
	for _, holding := range d.layout.Holdings {
		last := len(merged) - 1
		if last >= 0 && mergeable(merged[last]) && mergeable(holding) {
			merged[last].Last = holding.Last
			merged[last].Fence = max(merged[last].Fence, holding.Fence)
			merged[last].GrantSequence = max(merged[last].GrantSequence, holding.GrantSequence)
			merged[last].Handover = ""
			d.changed = true
			continue
		}
		merged = append(merged, holding)
	}
	d.layout.Holdings = merged
}

// assignHolding assigns a holding without an owner to the instance that it was revoked for. Without such
// an instance it splits the holding and assigns each part to the cheapest owner; if that one has
// maxRanges already, to the owner of the keys before the part, whose ranges can then be merged.
func (d *draft) assignHolding(holding directory.Holding, previousOwner directory.InstanceID) []directory.Holding {
	d.unowned--
	d.moving--
	if target := d.candidate(d.core.target(d.layout.Service, holding.First)); target != nil {
		holding.Owner = target.id
		holding.Fence++
		d.core.clearTarget(d.layout.Service, holding.First)
		d.modified[target.id] = true
		target.keyCount += holding.Width()
		target.rangeCount++
		d.changed = true
		return []directory.Holding{holding}
	}
	var parts []directory.Holding
	for _, part := range splitHolding(holding) {
		target := d.cheapestOwner()
		if neighbour := d.candidate(previousOwner); target.rangeCount >= maxRanges && neighbour != nil {
			target = neighbour
		}
		previousOwner = target.id
		d.modified[target.id] = true
		target.rangeCount++
		part.Owner = target.id
		part.Fence = holding.Fence + 1
		target.keyCount += part.Width()
		target.rate += d.demand().rate(part.First, part.Last)
		last := len(parts) - 1
		if last >= 0 && parts[last].Owner == part.Owner {
			parts[last].Last = part.Last
			continue
		}
		parts = append(parts, part)
	}
	d.changed = true
	return parts
}

// splitHolding splits a holding into parts of nearly equal width.
func splitHolding(holding directory.Holding) []directory.Holding {
	count := max(1, min(maxParts, holding.Width()/minPartWidth))
	parts := make([]directory.Holding, 0, count)
	width := holding.Width()
	for index := range count {
		part := holding
		part.First = holding.First + directory.Key(index*width/count)
		part.Last = holding.First + directory.Key((index+1)*width/count) - 1
		parts = append(parts, part)
	}
	return parts
}
