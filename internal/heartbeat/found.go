package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// maxStripes bounds the number of ranges in the first layout of a service. A service with more
	// instances gets one range per instance.
	maxStripes = 2048
	// maxGatherPeriods bounds the wait for the first layout, in multiples of Gather, while new
	// instances keep registering. When thousands register, those of the first two seconds would
	// otherwise get all keys.
	maxGatherPeriods = 4
	// registrationPause is the time without a new instance after which the first layout is created.
	registrationPause = 300 * time.Millisecond
)

// registrationSettled reports whether the instances of a service had time to register.
func (c *Core) registrationSettled(now time.Duration, service string) bool {
	first, seen := c.firstInstanceAt[service]
	if !seen || now-first < c.config.Gather {
		return false
	}
	return now-c.lastNewInstanceAt[service] >= registrationPause || now-first >= maxGatherPeriods*c.config.Gather
}

// createLayout creates the first layout once the instances had time to register.
func (d *draft) createLayout() {
	if len(d.layout.Holdings) > 0 || !d.core.registrationSettled(d.now, d.layout.Service) || len(d.candidates) == 0 {
		return
	}
	owners := d.ownersBySlots()
	stripes := min(d.core.config.Stripes*len(d.candidates), max(maxStripes, len(owners)), int(directory.MaxKey)+1)
	first := directory.Key(0)
	for index := range stripes {
		last := directory.Key((index+1)*int(directory.MaxKey+1)/stripes) - 1
		owner := owners[index%len(owners)]
		d.layout.Holdings = append(d.layout.Holdings, directory.Holding{First: first, Last: last, Fence: 1, Owner: owner.id})
		d.modified[owner.id] = true
		owner.keyCount += int(last-first) + 1
		first = last + 1
	}
	d.changed = true
}

// ownersBySlots returns a round-robin order in which each candidate occurs once per slot.
func (d *draft) ownersBySlots() []*candidate {
	maxSlots := 0
	for _, candidate := range d.candidates {
		maxSlots = max(maxSlots, candidate.slots)
	}
	var owners []*candidate
	for round := range maxSlots {
		for _, candidate := range d.candidates {
			if candidate.slots > round {
				owners = append(owners, candidate)
			}
		}
	}
	return owners
}
