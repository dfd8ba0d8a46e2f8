package heartbeat

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// drainSpread is how long the keys of an instance that leaves are taken away. While
// it lets some go it sends a heartbeat each releaseTime, so that each time those keys
// are taken whose next holder will be told soon; the others are served meanwhile.
const drainSpread = 900 * time.Millisecond

// drain takes a part of the keys of an instance that has said for a while that it
// leaves, if others can take them, and all of them in the end.
func (d *draft) drain(id directory.InstanceID, since time.Duration) {
	if each := d.candidate(id); each != nil {
		d.total -= each.rate
	}
	d.candidates = slices.DeleteFunc(d.candidates, func(each *candidate) bool { return each.id == id })
	delete(d.byID, id)
	if len(d.candidates) == 0 {
		return
	}
	if !d.mayHave(id, func(holding directory.Holding) bool { return !holding.Revoked }) {
		return
	}
	d.walks++
	var left []int
	for index, holding := range d.layout.Holdings {
		if holding.Owner == id && !holding.Revoked {
			left = append(left, index)
		}
	}
	beats := max(1, int((drainSpread-since)/releaseTime))
	d.measure()
	leaving := &candidate{id: id, slots: 1}
	for _, index := range left[:(len(left)+beats-1)/beats] {
		d.drainOne(index, leaving)
	}
}

func (d *draft) drainOne(index int, leaving *candidate) {
	holding := &d.layout.Holdings[index]
	holding.Revoked = true
	d.touched[holding.Owner] = true
	d.moving++
	d.changed = true
	if target := d.bestTarget(leaving, nil); target != nil {
		d.core.setTarget(d.layout.Service, holding.First, target.id)
		target.rate += d.demand().rate(holding.First, holding.Last)
		target.awaited++
	}
}
