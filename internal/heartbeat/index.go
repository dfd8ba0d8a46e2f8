package heartbeat

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// index lists the holdings of each instance in one layout, so that a heartbeat that changes nothing
// does not scan the holdings of other instances.
type index struct {
	revision directory.Revision
	owned    map[directory.InstanceID][]directory.Holding
	// moving is the number of holdings that are revoked or have no owner; unowned is the number of
	// those without an owner.
	moving  int
	unowned int
	// slots is the sum of the slots of all instances that own keys.
	slots int
}

func newIndex(layout directory.Layout, view *directory.Directory) *index {
	built := &index{revision: layout.Revision, owned: make(map[directory.InstanceID][]directory.Holding)}
	for _, holding := range layout.Holdings {
		if holding.Owner == "" {
			built.unowned++
		} else {
			built.owned[holding.Owner] = append(built.owned[holding.Owner], holding)
		}
		if holding.Revoked || holding.Owner == "" {
			built.moving++
		}
	}
	for owner := range built.owned {
		if instance, found := view.Instance(owner); found {
			built.slots += max(instance.Slots, 1)
		}
	}
	return built
}

// index returns the index of the current layout of a service.
func (c *Core) index(service string, view *directory.Directory) *index {
	layout := view.Layout(service)
	existing, found := c.indexes[service]
	if !found || existing.revision != layout.Revision {
		existing = newIndex(layout, view)
		c.indexes[service] = existing
	}
	return existing
}

// keepsLayout reports whether a heartbeat leaves the layout unchanged: the instance is not draining,
// knows its keys, releases none, and need not give any away.
func (c *Core) keepsLayout(now time.Duration, beat Beat, view *directory.Directory) bool {
	index := c.index(beat.Service, view)
	if index.unowned > 0 {
		return false
	}
	owned := index.owned[beat.Instance]
	c.trackEmptyInstance(now, beat, len(owned) == 0)
	if len(owned) == 0 {
		return true
	}
	if beat.Draining || view.Evacuated(beat.Zone) || len(owned) > maxRanges {
		return false
	}
	hasRevoked := false
	for _, holding := range owned {
		if releasesHolding(holding, beat) || mustRecord(holding, beat.Sequence, beat.Held) {
			return false
		}
		hasRevoked = hasRevoked || holding.Revoked
	}
	if hasRevoked {
		return true
	}
	if index.moving >= c.maxMoves(len(index.owned)) {
		return true
	}
	if c.hasEmptyInstance(now, beat.Service) && c.mayGiveKeys(now, beat.Service, owned, len(index.owned)) {
		return false
	}
	return c.certainUtilisation(now, directory.Instance{ID: beat.Instance, Service: beat.Service, Slots: beat.Slots}, owned) < c.busyThreshold(now, beat.Service, view)
}

// mayGiveKeys reports whether the demand for an instance's keys is at least the mean, so that it may
// give keys to an empty instance. Other instances skip the scan of the whole layout; otherwise, with
// 5,800 instances and 3,900 new ones that wait for keys, each heartbeat would cost a scan.
func (c *Core) mayGiveKeys(now time.Duration, service string, owned []directory.Holding, holders int) bool {
	demand := c.demandOf(now, service)
	var own windowRates
	for _, holding := range owned {
		own = own.plus(demand.windowRates(holding.First, holding.Last))
	}
	rate := demand.estimate(own).rate
	total := demand.estimate(demand.windowRates(0, directory.MaxKey)).rate
	return rate > 0 && rate*float64(holders+len(c.emptyInstances[service])) >= total
}

// trackEmptyInstance records whether an instance owns no keys. Other instances give it some at their
// heartbeats.
func (c *Core) trackEmptyInstance(now time.Duration, beat Beat, empty bool) {
	empties := c.emptyInstances[beat.Service]
	switch {
	case !empty || beat.Draining:
		delete(empties, beat.Instance)
	case empties == nil:
		c.emptyInstances[beat.Service] = map[directory.InstanceID]time.Duration{beat.Instance: now}
	default:
		empties[beat.Instance] = now
	}
}

// hasEmptyInstance reports whether an instance without keys sent a heartbeat recently.
func (c *Core) hasEmptyInstance(now time.Duration, service string) bool {
	empties := c.emptyInstances[service]
	for id, heardAt := range empties {
		if now-heardAt <= c.config.livenessTimeout() {
			return true
		}
		delete(empties, id)
	}
	return false
}

// releasesHolding reports whether a heartbeat releases a revoked holding.
func releasesHolding(holding directory.Holding, beat Beat) bool {
	return holding.Revoked && !slices.ContainsFunc(beat.Held, func(held Held) bool { return held.Overlaps(rangeOf(holding)) })
}

// certainUtilisation returns the share of an instance's slots that the demand for its keys keeps in
// use, by the lower confidence bound of the demand.
func (c *Core) certainUtilisation(now time.Duration, instance directory.Instance, owned []directory.Holding) float64 {
	demand := c.demandOf(now, instance.Service)
	var rates windowRates
	for _, holding := range owned {
		rates = rates.plus(demand.windowRates(holding.First, holding.Last))
	}
	return demand.serviceTimeOf(now, instance.ID, instance.Slots) * demand.estimate(rates).lowerBound() / float64(max(instance.Slots, 1))
}
