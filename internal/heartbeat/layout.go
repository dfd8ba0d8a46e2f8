package heartbeat

import (
	"cmp"
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

// pieces bounds into how many parts a holding that changes hands is cut.
const pieces = 8

// minimumWidth is the least number of keys in a part that is cut off.
const minimumWidth = 64

func (c *Core) draft(now time.Duration, service string, view *directory.Directory) *draft {
	d := &draft{
		core: c, now: now, view: view, before: view.Layout(service),
		touched: make(map[directory.InstanceID]bool), byID: make(map[directory.InstanceID]*candidate),
	}
	index := c.index(service, view)
	d.owned, d.free, d.moving = index.owned, index.free, index.moving
	d.layout = d.before
	d.layout.Holdings = slices.Clone(d.before.Holdings)
	for instance := range view.EachInstance() {
		if instance.Service != service || instance.State != directory.InstanceReady || !c.lives(now, instance.ID) || view.Evacuated(instance.Zone) {
			continue
		}
		added := &candidate{id: instance.ID, slots: max(instance.Slots, 1), warm: c.warm(now, instance.ID)}
		d.candidates = append(d.candidates, added)
		d.byID[added.id] = added
	}
	for _, holding := range d.layout.Holdings {
		if owner := d.candidate(holding.Owner); owner != nil && !holding.Revoked {
			owner.keys += holding.Width()
			owner.rows++
		}
	}
	return d
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

// any reports whether an instance has a holding of a kind, or may have: those of an instance
// that the draft has touched are not looked at.
func (d *draft) any(id directory.InstanceID, kind func(directory.Holding) bool) bool {
	return d.touched[id] || slices.ContainsFunc(d.owned[id], kind)
}

// release frees the revoked keys that their owner does not hold any more.
func (d *draft) release(beat Beat) {
	if !d.any(beat.Instance, func(holding directory.Holding) bool { return mayRelease(holding, beat) }) {
		return
	}
	d.walks++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if holding.Owner != beat.Instance || !mayRelease(*holding, beat) {
			continue
		}
		d.freeHolding(holding, handoverFor(*holding, beat.Released))
	}
}

// handoverFor returns what the last holder left for keys that it let go.
func handoverFor(holding directory.Holding, released []Released) string {
	for _, row := range released {
		if row.First <= holding.First && holding.Last <= row.Last {
			return row.Handover
		}
	}
	return ""
}

func (d *draft) freeHolding(holding *directory.Holding, handover string) {
	d.touched[holding.Owner] = true
	d.free++
	if !holding.Revoked {
		d.moving++
	}
	holding.Owner = ""
	holding.Revoked = false
	holding.Granted = false
	holding.Handover = handover
	d.changed = true
}

// grant marks what the answer to the owner's heartbeat tells it.
func (d *draft) grant(id directory.InstanceID) {
	untold := func(holding directory.Holding) bool { return !holding.Revoked && !holding.Granted }
	if !d.any(id, untold) {
		return
	}
	d.walks++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if holding.Owner == id && !holding.Revoked && !holding.Granted {
			holding.Granted = true
			d.changed = true
		}
	}
}

// passOnEnded frees the keys of instances that surely hold nothing any more.
func (d *draft) passOnEnded() {
	d.walks++
	for index := range d.layout.Holdings {
		holding := &d.layout.Holdings[index]
		if holding.Owner != "" && d.core.ended(d.now, holding.Owner, d.view) {
			d.freeHolding(holding, "")
		}
	}
}

// settle gives the keys without an owner to the instances with the fewest keys.
func (d *draft) settle() {
	if len(d.candidates) == 0 || d.free == 0 {
		return
	}
	d.measure()
	d.walks++
	settled := make([]directory.Holding, 0, len(d.layout.Holdings)+pieces*d.free)
	for _, holding := range d.layout.Holdings {
		if holding.Owner != "" {
			settled = append(settled, holding)
			continue
		}
		var before directory.InstanceID
		if len(settled) > 0 {
			before = settled[len(settled)-1].Owner
		}
		settled = append(settled, d.share(holding, before)...)
	}
	d.layout.Holdings = settled
}

// maxRows is the number of ranges of one instance above which its neighbours are
// joined and no others are added, so that the answer to its heartbeat has at most
// 4 KiB: a row takes 20 to 24 bytes, and 16 more with a handover, which only new ones
// have.
const maxRows = 150

// join makes one holding of neighbours that one instance holds, if it has many. The
// fence of the joined keys is the highest of theirs.
func (d *draft) join(id directory.InstanceID) {
	if !d.touched[id] && len(d.owned[id]) <= maxRows {
		return
	}
	d.walks++
	rows := 0
	for _, holding := range d.layout.Holdings {
		if holding.Owner == id {
			rows++
		}
	}
	if rows <= maxRows {
		return
	}
	settled := func(holding directory.Holding) bool {
		return holding.Owner == id && holding.Granted && !holding.Revoked
	}
	var joined []directory.Holding
	for _, holding := range d.layout.Holdings {
		last := len(joined) - 1
		if last >= 0 && settled(joined[last]) && settled(holding) {
			joined[last].Last = holding.Last
			joined[last].Fence = max(joined[last].Fence, holding.Fence)
			joined[last].Handover = ""
			d.changed = true
			continue
		}
		joined = append(joined, holding)
	}
	d.layout.Holdings = joined
}

// share gives a holding without an owner to the instance that it was taken away for,
// or else cuts it into parts and gives each to the instance with the least burden.
// Where that one has many ranges already, the holding goes to the instance that holds
// the keys before it, with which it will be joined.
func (d *draft) share(holding directory.Holding, before directory.InstanceID) []directory.Holding {
	d.free--
	d.moving--
	if target := d.candidate(d.core.target(d.layout.Service, holding.First)); target != nil {
		holding.Owner = target.id
		holding.Fence++
		d.core.clearTarget(d.layout.Service, holding.First)
		d.touched[target.id] = true
		target.keys += holding.Width()
		target.rows++
		d.changed = true
		return []directory.Holding{holding}
	}
	var parts []directory.Holding
	for _, part := range cut(holding) {
		target := d.least()
		if neighbour := d.candidate(before); target.rows >= maxRows && neighbour != nil {
			target = neighbour
		}
		before = target.id
		d.touched[target.id] = true
		target.rows++
		part.Owner = target.id
		part.Fence = holding.Fence + 1
		target.keys += part.Width()
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

// cut divides a holding into parts of nearly the same width.
func cut(holding directory.Holding) []directory.Holding {
	count := max(1, min(pieces, holding.Width()/minimumWidth))
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

// mostLooked bounds the candidates among which one choice is made. A choice among all 5,800
// instances of a service took 2.7 ms, and the keys of 116 instances that left at once 323 ms, in
// which the leader answered nobody; the best of 256 is nearly as good.
const mostLooked = 256

// window returns the candidates among which the next choice is made: all, or the next ones in
// turn.
func (d *draft) window() []*candidate {
	if len(d.candidates) <= mostLooked {
		return d.candidates
	}
	first := d.core.looked % len(d.candidates)
	d.core.looked = first + mostLooked
	window := d.candidates[first:min(first+mostLooked, len(d.candidates))]
	return append(slices.Clip(window), d.candidates[:mostLooked-len(window)]...)
}

// least returns the instance to which keys that nobody holds cost least: by the demand for its
// slots, the keys that it has, and the time until it is told, in which nobody serves them. A cold
// instance carries few requests, so that it gets keys only while no warm one is there.
func (d *draft) least() *candidate {
	cost := func(each *candidate) float64 { return d.burden(each) + gapCost*d.untilTold(each).Seconds() }
	return slices.MinFunc(d.window(), func(a, b *candidate) int {
		return cmp.Or(compareCold(a, b), cmp.Compare(cost(a), cost(b)), cmp.Compare(a.id, b.id))
	})
}

// untilTold returns how long it is expected to take until an instance hears of keys that it gets
// now: nothing while its answer waits, else until its next heartbeat.
func (d *draft) untilTold(each *candidate) time.Duration {
	known := d.core.contacts[each.id]
	if known == nil || known.interval <= 0 {
		return unknownGap
	}
	if d.now < known.answerableUntil {
		return 0
	}
	return max(known.beatAt+known.interval-d.now, 0)
}

func compareCold(a, b *candidate) int {
	switch {
	case a.warm == b.warm:
		return 0
	case a.warm:
		return -1
	default:
		return 1
	}
}

// keysBurden is the share of the slots that all keys count for by their number, so
// that keys without demand are spread as well.
const keysBurden = 0.5

func (d *draft) burden(each *candidate) float64 {
	return d.utilisation(each) + keysBurden*float64(each.keys)/float64(directory.MaxKey+1)/float64(each.slots)
}
