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
	// keys and rows count the keys that it holds or is about to get, and their ranges.
	keys int
	rows int
	// awaited counts the ranges that are being moved to it.
	awaited int
	warm    bool
	// rate is the demand for its keys in requests a second, and surely the part of it
	// that is not chance, when the draft was begun.
	rate   float64
	surely float64
}

// draft is the next layout of one service.
type draft struct {
	core *Core
	now  time.Duration
	view *directory.Directory
	// before is the layout in force, and layout the next one.
	before  directory.Layout
	layout  directory.Layout
	changed bool
	// owned are the holdings of each instance in the layout in force. They are those of the
	// draft, too, for all instances that are not in touched.
	owned   map[directory.InstanceID][]directory.Holding
	touched map[directory.InstanceID]bool
	// free counts the holdings without an owner, and moving those and the revoked ones.
	free   int
	moving int
	// walks counts how often all holdings were looked at. A heartbeat that concerns its own
	// instance alone must not add to it: with 5,800 instances, 118 heartbeats that each walked
	// through the layout and copied it held the leader up for 1.1 s.
	walks int
	// measured is true once the rates of the candidates are known; they are kept up
	// to date from then on. total is their sum, and busy the share of its slots from which
	// on an instance gives keys away.
	measured bool
	total    float64
	busy     float64
	// newcomers may hold no keys; those that got some are dropped when they are met.
	newcomers  []*candidate
	candidates []*candidate
	byID       map[directory.InstanceID]*candidate
}

// draft begins the next layout of a service with the one in force.
func (c *Core) draft(now time.Duration, service string, view *directory.Directory) *draft {
	d := &draft{
		core: c, now: now, view: view, before: view.Layout(service),
		touched: make(map[directory.InstanceID]bool), byID: make(map[directory.InstanceID]*candidate),
	}
	index := c.index(service, view)
	d.owned, d.free, d.moving = index.owned, index.free, index.moving
	d.layout = d.before
	d.layout.Holdings = slices.Clone(d.before.Holdings)
	d.addCandidates()
	return d
}

// addCandidates adds the instances that may get keys, with what they hold.
func (d *draft) addCandidates() {
	for instance := range d.view.EachInstance() {
		ready := instance.Service == d.layout.Service && instance.State == directory.InstanceReady
		if !ready || !d.core.lives(d.now, instance.ID) || d.view.Evacuated(instance.Zone) {
			continue
		}
		added := &candidate{id: instance.ID, slots: max(instance.Slots, 1), warm: d.core.warm(d.now, instance.ID)}
		d.candidates = append(d.candidates, added)
		d.byID[added.id] = added
	}
	for _, holding := range d.layout.Holdings {
		if owner := d.candidate(holding.Owner); owner != nil && !holding.Revoked {
			owner.keys += holding.Width()
			owner.rows++
		}
	}
}

// lives reports whether an instance was heard of late. A new leader has heard nobody: it
// takes all for alive until they had the time for a heartbeat, lest those whose
// heartbeat comes first get everything.
func (c *Core) lives(now time.Duration, id directory.InstanceID) bool {
	heardAt := c.leadSince
	if known, met := c.contacts[id]; met {
		heardAt = known.beatAt
	}
	return now-heardAt <= c.config.recent()
}

// warm reports whether an instance is not slow from its start any more.
func (c *Core) warm(now time.Duration, id directory.InstanceID) bool {
	known, met := c.contacts[id]
	return !met || now >= known.warmAt
}

func (d *draft) candidate(id directory.InstanceID) *candidate { return d.byID[id] }

// commands returns the command that puts the draft in force, if it changed.
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

// mayHave reports whether an instance has a holding of a kind, or may have one: those of an
// instance that the draft has touched are not looked at.
func (d *draft) mayHave(id directory.InstanceID, kind func(directory.Holding) bool) bool {
	return d.touched[id] || slices.ContainsFunc(d.owned[id], kind)
}
