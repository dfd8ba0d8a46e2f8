package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Target is a server that can take shards, with what it carries already.
type Target struct {
	Server
	// Load and Shards are those that the server owns.
	Load   float64
	Shards int
}

// Orphan is a shard that needs an owner.
type Orphan struct {
	Shard state.ShardID
	// Load is zero when it is not known.
	Load float64
	// Except is a server that may not get the shard, if any.
	Except state.ServerID
}

// Assignment gives a shard an owner.
type Assignment struct {
	Shard state.ShardID
	To    state.ServerID
}

// baseShare is what each shard weighs besides its load, as a share of the mean
// load of a shard, so that shards without load are spread as well.
const baseShare = 0.1

// Assign chooses an owner for each orphan: the busiest first, each to the
// server that is then least loaded for its slots. Equal servers take turns by
// zone. It costs O((n + m) log(n + m)) for n servers and m orphans, and is
// meant for the path that recovers from a loss. Orphans that no server can
// take are left out.
func Assign(now time.Duration, limits Limits, takers []Target, orphans []Orphan) []Assignment {
	load := 0.0
	for _, orphan := range orphans {
		load += sane(orphan.Load)
	}
	pool := NewPool(now, limits, takers, load, len(orphans))
	ordered := slices.Clone(orphans)
	slices.SortFunc(ordered, func(a, b Orphan) int {
		return cmp.Or(cmp.Compare(sane(b.Load), sane(a.Load)), cmp.Compare(a.Shard, b.Shard))
	})
	assignments := make([]Assignment, 0, len(ordered))
	for _, orphan := range ordered {
		if target, found := pool.Assign(orphan); found {
			assignments = append(assignments, Assignment{Shard: orphan.Shard, To: target})
		}
	}
	return assignments
}

// entry is one server in the pool.
type entry struct {
	id state.ServerID
	// weight is its load with the base of each shard; capacity its slots, less
	// while it is cold.
	weight   float64
	capacity float64
	// key is the weight per capacity after one more shard.
	key float64
	// turn orders equal servers: by position within the zone, then by zone.
	turn int
}

// Pool is the servers that can take shards, the least loaded first.
type Pool struct {
	entries entries
	base    float64
}

// NewPool returns a pool of those takers that accept shards. Load and shards
// are what is to be given away, as far as it is known.
func NewPool(now time.Duration, limits Limits, takers []Target, load float64, shards int) *Pool {
	for _, taker := range takers {
		load += sane(taker.Load)
		shards += taker.Shards
	}
	p := &Pool{base: 1}
	if load > 0 {
		p.base = baseShare * load / float64(max(shards, 1))
	}
	for _, taker := range inTurns(takers) {
		if !taker.Accepts {
			continue
		}
		known := &entry{
			id:       taker.ID,
			weight:   sane(taker.Load) + p.base*float64(taker.Shards),
			capacity: float64(max(taker.Slots, 1)) * warmth(taker.Server, now, limits),
			turn:     len(p.entries),
		}
		known.key = (known.weight + p.base) / known.capacity
		p.entries = append(p.entries, known)
	}
	heap.Init(&p.entries)
	return p
}

// inTurns orders servers so that zones alternate.
func inTurns(takers []Target) []Target {
	ordered := slices.Clone(takers)
	slices.SortFunc(ordered, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	seen := make(map[string]int)
	rank := make(map[state.ServerID]int, len(ordered))
	for _, taker := range ordered {
		rank[taker.ID] = seen[taker.Zone]
		seen[taker.Zone]++
	}
	slices.SortStableFunc(ordered, func(a, b Target) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	return ordered
}

// Len returns how many servers the pool has.
func (p *Pool) Len() int { return len(p.entries) }

// Assign gives the orphan to the least loaded server that may have it. It returns
// false when there is none.
func (p *Pool) Assign(orphan Orphan) (state.ServerID, bool) {
	position := 0
	if len(p.entries) > 0 && p.entries[0].id == orphan.Except {
		position = p.entries.second()
	}
	if position < 0 || position >= len(p.entries) {
		return "", false
	}
	chosen := p.entries[position]
	chosen.weight += sane(orphan.Load) + p.base
	chosen.key = (chosen.weight + p.base) / chosen.capacity
	heap.Fix(&p.entries, position)
	return chosen.id, true
}

// entries is a heap of servers.
type entries []*entry

// second returns the position of the second server in order, or -1.
func (e entries) second() int {
	switch {
	case len(e) < 2:
		return -1
	case len(e) > 2 && e.Less(2, 1):
		return 2
	default:
		return 1
	}
}

// Len implements heap.Interface.
func (e entries) Len() int { return len(e) }

// Less implements heap.Interface: the server with less weight for its capacity
// after one more shard goes first.
func (e entries) Less(i, j int) bool {
	if e[i].key != e[j].key {
		return e[i].key < e[j].key
	}
	return e[i].turn < e[j].turn
}

// Swap implements heap.Interface.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries) Push(value any) { *e = append(*e, value.(*entry)) }

// Pop implements heap.Interface.
func (e *entries) Pop() any {
	last := len(*e) - 1
	taken := (*e)[last]
	*e = (*e)[:last]
	return taken
}

// warmth is the share of its full load that a server may carry: it rises from
// coldStart to 1 during the ramp.
func warmth(server Server, now time.Duration, limits Limits) float64 {
	age := now - server.ReadyAt
	if limits.Ramp <= 0 || age >= limits.Ramp {
		return 1
	}
	return coldStart + (1-coldStart)*max(age.Seconds(), 0)/limits.Ramp.Seconds()
}
