package experiment

import "math"

// counts holds the requests by key: of the interval that runs, of the one that
// ended, and of the one that the strategies see.
type counts struct {
	running, ended, seen []int
}

func newCounts(keys int) counts {
	return counts{running: make([]int, keys), ended: make([]int, keys), seen: make([]int, keys)}
}

func (c *counts) add(key int) { c.running[key]++ }

// turn ends an interval.
func (c *counts) turn() {
	c.running, c.ended, c.seen = c.seen, c.running, c.ended
	clear(c.running)
}

// view returns what the strategy may know now.
func (e *engine) view(loadsChanged bool) *view {
	seen := &view{
		now: e.now, first: e.first, serversChanged: e.serversChanged, loadsChanged: loadsChanged, inFlight: e.inFlight,
	}
	for _, known := range e.servers {
		seen.servers = append(seen.servers, serverView{
			zone: known.zone, slots: len(known.slots), accepts: known.accepts(), readyAt: known.readyAt,
		})
	}
	positions := make(map[*shard]int, len(e.owners.ordered))
	for position, known := range e.owners.ordered {
		positions[known] = position
		owner := known.owner
		if known.moving {
			owner = known.source
		}
		seen.shards = append(seen.shards, shardView{
			id: known.id, parent: known.parent, keys: known.keys, owner: owner, moving: known.moving,
		})
	}
	if loadsChanged {
		e.fillLoads(seen, positions)
	}
	return seen
}

// fillLoads adds the counts of the interval before last, as loads.
func (e *engine) fillLoads(seen *view, positions map[*shard]int) {
	scale := e.trace.workload.ServiceTime.Seconds() / loadInterval.Seconds()
	for key, count := range e.counts.seen {
		if count == 0 {
			continue
		}
		known := &seen.shards[positions[e.owners.shardOf[key]]]
		load := float64(count) * scale
		known.counted += load
		if load > known.hotShare {
			known.hotShare, known.hotHash = load, e.trace.hashes[key]
		}
	}
	for position := range seen.shards {
		known := &seen.shards[position]
		if known.counted > 0 {
			known.hotShare = math.Min(known.hotShare/known.counted, 1)
		}
		known.reported = known.counted
		if known.owner != noServer {
			known.reported *= e.trace.lies(known.owner, e.now)
		}
	}
}
