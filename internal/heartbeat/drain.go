package heartbeat

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// drainDuration is the time over which keys are revoked from an instance that leaves. Such an instance
// sends a heartbeat every releaseTime while it releases keys. Each heartbeat revokes a part of the
// keys and moves them to instances that learn of them soon; the remaining keys are served meanwhile.
const drainDuration = 900 * time.Millisecond

// drain revokes a part of the keys of an instance that has been draining for a given time, and all of
// them at the end of drainDuration. It revokes none if no other instance can take them.
func (d *draft) drain(id directory.InstanceID, drainingFor time.Duration) {
	if candidate := d.candidate(id); candidate != nil {
		d.totalRate -= candidate.rate
	}
	d.candidates = slices.DeleteFunc(d.candidates, func(candidate *candidate) bool { return candidate.id == id })
	delete(d.byID, id)
	if len(d.candidates) == 0 {
		return
	}
	if !d.mayHaveHolding(id, func(holding directory.Holding) bool { return !holding.Revoked }) {
		return
	}
	d.layoutScans++
	var remaining []int
	for index, holding := range d.layout.Holdings {
		if holding.Owner == id && !holding.Revoked {
			remaining = append(remaining, index)
		}
	}
	heartbeatsLeft := max(1, int((drainDuration-drainingFor)/releaseTime))
	d.measureDemand()
	leaving := &candidate{id: id, slots: 1}
	for _, index := range remaining[:(len(remaining)+heartbeatsLeft-1)/heartbeatsLeft] {
		d.revokeForDrain(index, leaving)
	}
}

// revokeForDrain revokes a holding of an instance that leaves, and chooses its next owner.
func (d *draft) revokeForDrain(index int, leaving *candidate) {
	holding := &d.layout.Holdings[index]
	holding.Revoked = true
	d.modified[holding.Owner] = true
	d.moving++
	d.changed = true
	if target := d.bestTarget(leaving, nil); target != nil {
		d.core.setTarget(d.layout.Service, holding.First, target.id)
		target.rate += d.demand().rate(holding.First, holding.Last)
		target.incoming++
	}
}
