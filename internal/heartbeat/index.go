package heartbeat

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// index tells of one layout what each instance holds, so that a heartbeat which
// changes nothing does not look at the holdings of the others.
type index struct {
	revision directory.Revision
	owned    map[directory.InstanceID][]directory.Holding
	// moving counts the holdings that are revoked or have no owner, and free those
	// without an owner.
	moving int
	free   int
	// slots are those of all instances that hold keys.
	slots int
}

func newIndex(layout directory.Layout, view *directory.Directory) *index {
	made := &index{revision: layout.Revision, owned: make(map[directory.InstanceID][]directory.Holding)}
	for _, holding := range layout.Holdings {
		if holding.Owner == "" {
			made.free++
		} else {
			made.owned[holding.Owner] = append(made.owned[holding.Owner], holding)
		}
		if holding.Revoked || holding.Owner == "" {
			made.moving++
		}
	}
	for owner := range made.owned {
		if instance, found := view.Instance(owner); found {
			made.slots += max(instance.Slots, 1)
		}
	}
	return made
}

// index returns that of a service's layout in force.
func (c *Core) index(service string, view *directory.Directory) *index {
	layout := view.Layout(service)
	known, found := c.indexes[service]
	if !found || known.revision != layout.Revision {
		known = newIndex(layout, view)
		c.indexes[service] = known
	}
	return known
}

// changesNothing reports whether a heartbeat leaves the layout as it is: the instance
// stays, has been told of its keys, lets none go, and is not too busy.
func (c *Core) changesNothing(now time.Duration, beat Beat, view *directory.Directory) bool {
	index := c.index(beat.Service, view)
	if index.free > 0 {
		return false
	}
	owned := index.owned[beat.Instance]
	c.noteNewcomer(now, beat, len(owned) == 0)
	if len(owned) == 0 {
		return true
	}
	if beat.Draining || view.Evacuated(beat.Zone) || len(owned) > maxRows {
		return false
	}
	revoked := false
	for _, holding := range owned {
		if mayRelease(holding, beat) || !holding.Granted && !holding.Revoked {
			return false
		}
		revoked = revoked || holding.Revoked
	}
	if revoked {
		return true
	}
	if index.moving >= c.mostMoves(len(index.owned)) {
		return true
	}
	if c.hasNewcomer(now, beat.Service) && c.mayGive(now, beat.Service, owned, len(index.owned)) {
		return false
	}
	return c.used(now, directory.Instance{ID: beat.Instance, Service: beat.Service, Slots: beat.Slots}, owned) < c.busyFrom(now, beat.Service, view)
}

// mayGive reports whether an instance has at least the mean of the demand, so that it may give
// keys to one that has none. The others need no look at the whole layout: of 5,800 instances that
// wait for 3,900 newcomers each heartbeat would else cost one.
func (c *Core) mayGive(now time.Duration, service string, owned []directory.Holding, holders int) bool {
	demand := c.demandOf(now, service)
	var own counted
	for _, holding := range owned {
		own = own.plus(demand.counts(holding.First, holding.Last))
	}
	rate := demand.estimate(own).rate
	total := demand.estimate(demand.counts(0, directory.MaxKey)).rate
	return rate > 0 && rate*float64(holders+len(c.newcomers[service])) >= total
}

// noteNewcomer remembers whether an instance holds no keys, so that others give it some
// at their heartbeats.
func (c *Core) noteNewcomer(now time.Duration, beat Beat, without bool) {
	waiting := c.newcomers[beat.Service]
	switch {
	case !without || beat.Draining:
		delete(waiting, beat.Instance)
	case waiting == nil:
		c.newcomers[beat.Service] = map[directory.InstanceID]time.Duration{beat.Instance: now}
	default:
		waiting[beat.Instance] = now
	}
}

// hasNewcomer reports whether an instance without keys sent a heartbeat of late.
func (c *Core) hasNewcomer(now time.Duration, service string) bool {
	waiting := c.newcomers[service]
	for id, heardAt := range waiting {
		if now-heardAt <= c.config.recent() {
			return true
		}
		delete(waiting, id)
	}
	return false
}

// mayRelease reports whether a heartbeat lets a revoked holding go.
func mayRelease(holding directory.Holding, beat Beat) bool {
	return holding.Revoked && !slices.ContainsFunc(beat.Held, func(held Held) bool { return held.Overlaps(rangeOf(holding)) })
}

// used returns the share of an instance's slots that the demand for its keys surely
// keeps in use.
func (c *Core) used(now time.Duration, instance directory.Instance, owned []directory.Holding) float64 {
	demand := c.demandOf(now, instance.Service)
	var rates counted
	for _, holding := range owned {
		rates = rates.plus(demand.counts(holding.First, holding.Last))
	}
	return demand.timeOf(now, instance.ID, instance.Slots) * demand.estimate(rates).atLeast() / float64(max(instance.Slots, 1))
}
