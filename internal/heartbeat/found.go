package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// maxStripes bounds the ranges of a service at first, unless it has more instances: each
	// gets one at least.
	maxStripes = 2048
	// mostGathers is for how many times Gather the first layout waits while instances go on to
	// announce themselves: where thousands do, those of the first two seconds would get all
	// keys.
	mostGathers = 4
	// announcePause is the time without a new instance after which no more are waited for.
	announcePause = 300 * time.Millisecond
)

// announced reports whether the instances had time to announce themselves.
func (c *Core) announced(now time.Duration, service string) bool {
	first, seen := c.firstSeen[service]
	if !seen || now-first < c.config.Gather {
		return false
	}
	return now-c.lastSeen[service] >= announcePause || now-first >= mostGathers*c.config.Gather
}

// found makes the first layout once the instances had time to announce themselves.
func (d *draft) found() {
	if len(d.layout.Holdings) > 0 || !d.core.announced(d.now, d.layout.Service) || len(d.candidates) == 0 {
		return
	}
	owners := d.bySlots()
	stripes := min(d.core.config.Stripes*len(d.candidates), max(maxStripes, len(owners)), int(directory.MaxKey)+1)
	next := directory.Key(0)
	for index := range stripes {
		last := directory.Key((index+1)*int(directory.MaxKey+1)/stripes) - 1
		owner := owners[index%len(owners)]
		d.layout.Holdings = append(d.layout.Holdings, directory.Holding{First: next, Last: last, Fence: 1, Owner: owner.id})
		d.touched[owner.id] = true
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
