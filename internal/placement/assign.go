package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Taker is a server that can take shards, with what it carries already.
type Taker struct {
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
func Assign(now time.Duration, limits Limits, takers []Taker, orphans []Orphan) []Assignment {
	pool := newPool(now, limits, takers, orphans)
	ordered := slices.Clone(orphans)
	slices.SortFunc(ordered, func(a, b Orphan) int {
		return cmp.Or(cmp.Compare(sane(b.Load), sane(a.Load)), cmp.Compare(a.Shard, b.Shard))
	})
	assignments := make([]Assignment, 0, len(ordered))
	for _, orphan := range ordered {
		if target, found := pool.take(orphan); found {
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
	// turn orders equal servers: by position within the zone, then by zone.
	turn int
}

// pool is a heap of servers, the least loaded first.
type pool struct {
	entries []*entry
	base    float64
}

func newPool(now time.Duration, limits Limits, takers []Taker, orphans []Orphan) *pool {
	p := &pool{base: baseWeight(takers, orphans)}
	for _, taker := range inTurns(takers) {
		if !taker.Accepts {
			continue
		}
		p.entries = append(p.entries, &entry{
			id:       taker.ID,
			weight:   sane(taker.Load) + p.base*float64(taker.Shards),
			capacity: float64(max(taker.Slots, 1)) * warmth(taker.Server, now, limits),
			turn:     len(p.entries),
		})
	}
	heap.Init(p)
	return p
}

// baseWeight returns what each shard weighs besides its load.
func baseWeight(takers []Taker, orphans []Orphan) float64 {
	load, shards := 0.0, len(orphans)
	for _, taker := range takers {
		load += sane(taker.Load)
		shards += taker.Shards
	}
	for _, orphan := range orphans {
		load += sane(orphan.Load)
	}
	if load == 0 {
		return 1
	}
	return baseShare * load / float64(shards)
}

// inTurns orders servers so that zones alternate.
func inTurns(takers []Taker) []Taker {
	ordered := slices.Clone(takers)
	slices.SortFunc(ordered, func(a, b Taker) int { return cmp.Compare(a.ID, b.ID) })
	seen := make(map[string]int)
	rank := make(map[state.ServerID]int, len(ordered))
	for _, taker := range ordered {
		rank[taker.ID] = seen[taker.Zone]
		seen[taker.Zone]++
	}
	slices.SortStableFunc(ordered, func(a, b Taker) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	return ordered
}

// take gives the orphan to the least loaded server that may have it.
func (p *pool) take(orphan Orphan) (state.ServerID, bool) {
	if len(p.entries) == 0 {
		return "", false
	}
	position := 0
	if p.entries[0].id == orphan.Except {
		position = p.second()
	}
	if position < 0 {
		return "", false
	}
	chosen := p.entries[position]
	chosen.weight += sane(orphan.Load) + p.base
	heap.Fix(p, position)
	return chosen.id, true
}

// second returns the position of the second server in order, or -1.
func (p *pool) second() int {
	switch {
	case len(p.entries) < 2:
		return -1
	case len(p.entries) > 2 && p.Less(2, 1):
		return 2
	default:
		return 1
	}
}

// Len implements heap.Interface.
func (p *pool) Len() int { return len(p.entries) }

// Less implements heap.Interface: the server with less weight for its capacity
// after one more shard goes first.
func (p *pool) Less(i, j int) bool {
	a, b := p.entries[i], p.entries[j]
	left, right := (a.weight+p.base)*b.capacity, (b.weight+p.base)*a.capacity
	if left != right {
		return left < right
	}
	return a.turn < b.turn
}

// Swap implements heap.Interface.
func (p *pool) Swap(i, j int) { p.entries[i], p.entries[j] = p.entries[j], p.entries[i] }

// Push implements heap.Interface.
func (p *pool) Push(value any) { p.entries = append(p.entries, value.(*entry)) }

// Pop implements heap.Interface.
func (p *pool) Pop() any {
	last := p.entries[len(p.entries)-1]
	p.entries = p.entries[:len(p.entries)-1]
	return last
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
