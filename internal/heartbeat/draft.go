package heartbeat

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// candidate is an instance that may get keys.
type candidate struct {
	id    directory.InstanceID
	slots int
	// keyCount and rangeCount are the numbers of keys and ranges that it owns, without revoked ones.
	keyCount   int
	rangeCount int
	// incoming is the number of ranges that are being moved to it.
	incoming int
	warm     bool
	// rate is the demand for its keys in requests per second. rateLowerBound is the part of it that is
	// statistically significant, as of measureDemand.
	rate           float64
	rateLowerBound float64
}

// draft is the next layout of one service.
type draft struct {
	core *Core
	now  time.Duration
	view *directory.Directory
	// before is the current layout, and layout the next one.
	before  directory.Layout
	layout  directory.Layout
	changed bool
	// owned are the holdings of each instance in the current layout. They are the same in the draft,
	// except for the instances in modified.
	owned    map[directory.InstanceID][]directory.Holding
	modified map[directory.InstanceID]bool
	// unowned is the number of holdings without an owner; moving includes the revoked ones as well.
	unowned int
	moving  int
	// layoutScans is the number of scans over all holdings. A heartbeat that concerns only its own
	// instance must not cause any: with 5,800 instances, 118 heartbeats that each scanned and copied
	// the layout blocked the leader for 1.1 s.
	layoutScans int
	// demandMeasured is true once the rates of the candidates are known; they are kept up to date
	// from then on. totalRate is their sum. busyThreshold is the utilisation from which on an
	// instance gives keys away.
	demandMeasured bool
	totalRate      float64
	busyThreshold  float64
	// emptyCandidates may include candidates that got keys meanwhile; nextEmptyCandidate drops those.
	emptyCandidates []*candidate
	candidates      []*candidate
	byID            map[directory.InstanceID]*candidate
}

// draft starts the next layout of a service from the current one.
func (c *Core) draft(now time.Duration, service string, view *directory.Directory) *draft {
	d := &draft{
		core: c, now: now, view: view, before: view.Layout(service),
		modified: make(map[directory.InstanceID]bool), byID: make(map[directory.InstanceID]*candidate),
	}
	index := c.index(service, view)
	d.owned, d.unowned, d.moving = index.owned, index.unowned, index.moving
	d.layout = d.before
	d.layout.Holdings = slices.Clone(d.before.Holdings)
	d.addCandidates()
	return d
}

// addCandidates adds the instances that may get keys, with the numbers of keys they own.
func (d *draft) addCandidates() {
	for instance := range d.view.EachInstance() {
		ready := instance.Service == d.layout.Service && instance.State == directory.InstanceReady
		if !ready || !d.core.heardRecently(d.now, instance.ID) || d.view.Evacuated(instance.Zone) {
			continue
		}
		added := &candidate{id: instance.ID, slots: max(instance.Slots, 1), warm: d.core.warm(d.now, instance.ID)}
		d.candidates = append(d.candidates, added)
		d.byID[added.id] = added
	}
	for _, holding := range d.layout.Holdings {
		if owner := d.candidate(holding.Owner); owner != nil && !holding.Revoked {
			owner.keyCount += holding.Width()
			owner.rangeCount++
		}
	}
}

// heardRecently reports whether the last heartbeat of an instance is recent enough to assign keys to
// it. A new leader, which has not received any, counts all instances as alive until they had time to
// send one; otherwise the instances whose heartbeats arrive first would get all keys.
func (c *Core) heardRecently(now time.Duration, id directory.InstanceID) bool {
	lastHeard := c.leadSince
	if state, tracked := c.heartbeats[id]; tracked {
		lastHeard = state.receivedAt
	}
	return now-lastHeard <= c.config.livenessTimeout()
}

// warm reports whether the warm-up of an instance is over.
func (c *Core) warm(now time.Duration, id directory.InstanceID) bool {
	state, tracked := c.heartbeats[id]
	return !tracked || now >= state.warmAt
}

func (d *draft) candidate(id directory.InstanceID) *candidate { return d.byID[id] }

// commands returns the command that puts the draft into effect, or none if it changes nothing.
func (d *draft) commands() []directory.Command {
	if !d.changed {
		return nil
	}
	command := directory.PutLayout{Service: d.layout.Service, After: d.before.Revision}
	for _, holding := range d.layout.Holdings {
		earlier, found := d.before.At(holding.First)
		if !found || !earlier.Contains(holding.Last) || !earlier.Same(holding) {
			command.Changed = append(command.Changed, holding)
		}
	}
	if len(command.Changed) == 0 {
		return nil
	}
	return []directory.Command{{Layout: &command}}
}

// mayHaveHolding reports whether an instance has, or may have, a holding that matches. It is a cheap
// check without a scan of the layout, so it returns true for all instances that the draft modified.
func (d *draft) mayHaveHolding(id directory.InstanceID, kind func(directory.Holding) bool) bool {
	return d.modified[id] || slices.ContainsFunc(d.owned[id], kind)
}
