package heartbeat

import (
	"github.com/thorntiller/thorntiller/internal/directory"
)

// pieces bounds into how many parts a holding that changes hands is cut.
const pieces = 8

// minimumWidth is the least number of keys in a part that is cut off.
const minimumWidth = 64

// release frees the revoked keys that their owner does not hold any more.
func (d *draft) release(beat Beat) {
	if !d.mayHave(beat.Instance, func(holding directory.Holding) bool { return mayRelease(holding, beat) }) {
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
	if !d.mayHave(id, untold) {
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
