package heartbeat

import "github.com/thorntiller/thorntiller/internal/directory"

// maxStripes bounds the ranges of a service at first.
const maxStripes = 2048

// found makes the first layout once the instances had time to announce themselves.
func (d *draft) found() {
	first, seen := d.core.firstSeen[d.layout.Service]
	if len(d.layout.Holdings) > 0 || !seen || d.now-first < d.core.config.Gather || len(d.candidates) == 0 {
		return
	}
	owners := d.bySlots()
	stripes := min(d.core.config.Stripes*len(d.candidates), maxStripes)
	next := directory.Key(0)
	for index := range stripes {
		last := directory.Key((index+1)*int(directory.MaxKey+1)/stripes) - 1
		owner := owners[index%len(owners)]
		d.layout.Holdings = append(d.layout.Holdings, directory.Holding{First: next, Last: last, Fence: 1, Owner: owner.id})
		owner.keys += int(last-next) + 1
		next = last + 1
	}
	d.changed = true
}

// bySlots returns the candidates in turn, those with more slots the more often.
func (d *draft) bySlots() []*candidate {
	most := 0
	for _, each := range d.candidates {
		most = max(most, each.slots)
	}
	var turns []*candidate
	for round := range most {
		for _, each := range d.candidates {
			if each.slots > round {
				turns = append(turns, each)
			}
		}
	}
	return turns
}
