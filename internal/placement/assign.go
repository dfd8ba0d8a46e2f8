package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Target is a server that can be assigned shards, with its present load.
type Target struct {
	Server
	// Load is the load of the shards that the server owns, Shards their number.
	Load   float64
	Shards int
}

// Orphan is a shard that needs an owner.
type Orphan struct {
	Shard state.ShardID
	// Load is zero when it is not known.
	Load float64
	// Except is a server that must not get the shard; empty for none.
	Except state.ServerID
}

// Assignment gives a shard an owner.
type Assignment struct {
	Shard state.ShardID
	To    state.ServerID
}

// baseWeightShare is the weight that each shard has in addition to its load, as a
// share of the mean load of a shard, so that shards without load are spread as
// well.
const baseWeightShare = 0.1

// Assign chooses an owner for each orphan, in descending order of load: the
// server with the lowest load per slot at that point. Among equally loaded
// servers, zones alternate. Orphans that no server can take are left out. It
// takes O((n + m) log(n + m)) for n servers and m orphans, and is meant for the
// recovery from the loss of servers.
func Assign(now time.Duration, limits Limits, targets []Target, orphans []Orphan) []Assignment {
	load := 0.0
	for _, orphan := range orphans {
		load += sanitizeLoad(orphan.Load)
	}
	pool := NewPool(now, limits, targets, load, len(orphans))
	ordered := slices.Clone(orphans)
	slices.SortFunc(ordered, func(a, b Orphan) int {
		return cmp.Or(cmp.Compare(sanitizeLoad(b.Load), sanitizeLoad(a.Load)), cmp.Compare(a.Shard, b.Shard))
	})
	assignments := make([]Assignment, 0, len(ordered))
	for _, orphan := range ordered {
		if server, found := pool.Assign(orphan); found {
			assignments = append(assignments, Assignment{Shard: orphan.Shard, To: server})
		}
	}
	return assignments
}

// entry is one server of a pool.
type entry struct {
	id state.ServerID
	// weight is the server's load plus the base weight of each of its shards.
	// capacity is the number of its slots, reduced while it ramps up.
	weight   float64
	capacity float64
	// relativeWeight is the weight per capacity if the server had one more shard
	// without load.
	relativeWeight float64
	// rank orders servers of equal relativeWeight: by position within the zone,
	// then by zone.
	rank int
}

// Pool holds the servers that can be assigned shards, the least loaded first.
type Pool struct {
	entries    entries
	baseWeight float64
}

// NewPool returns a pool of those targets that accept shards. The parameters load
// and shards are the total load and the number of the shards that are to be
// assigned, as far as they are known. They count towards the base weight.
func NewPool(now time.Duration, limits Limits, targets []Target, load float64, shards int) *Pool {
	for _, target := range targets {
		load += sanitizeLoad(target.Load)
		shards += target.Shards
	}
	p := &Pool{baseWeight: 1}
	if load > 0 {
		p.baseWeight = baseWeightShare * load / float64(max(shards, 1))
	}
	for _, target := range interleaveZones(targets) {
		if !target.Accepts {
			continue
		}
		server := &entry{
			id:       target.ID,
			weight:   sanitizeLoad(target.Load) + p.baseWeight*float64(target.Shards),
			capacity: float64(max(target.Slots, 1)) * rampFactor(target.Server, now, limits),
			rank:     len(p.entries),
		}
		server.relativeWeight = (server.weight + p.baseWeight) / server.capacity
		p.entries = append(p.entries, server)
	}
	heap.Init(&p.entries)
	return p
}

// interleaveZones returns the targets in an order in which zones alternate.
func interleaveZones(targets []Target) []Target {
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	zoneCounts := make(map[string]int)
	rank := make(map[state.ServerID]int, len(ordered))
	for _, target := range ordered {
		rank[target.ID] = zoneCounts[target.Zone]
		zoneCounts[target.Zone]++
	}
	slices.SortStableFunc(ordered, func(a, b Target) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	return ordered
}

// Len returns the number of servers in the pool.
func (p *Pool) Len() int { return len(p.entries) }

// Assign assigns the orphan to the least loaded server that is not excepted. It
// returns false if there is none.
func (p *Pool) Assign(orphan Orphan) (state.ServerID, bool) {
	position := 0
	if len(p.entries) > 0 && p.entries[0].id == orphan.Except {
		position = p.entries.second()
	}
	if position < 0 || position >= len(p.entries) {
		return "", false
	}
	chosen := p.entries[position]
	chosen.weight += sanitizeLoad(orphan.Load) + p.baseWeight
	chosen.relativeWeight = (chosen.weight + p.baseWeight) / chosen.capacity
	heap.Fix(&p.entries, position)
	return chosen.id, true
}

// entries is a min-heap of servers.
type entries []*entry

// second returns the position of the server with the second-lowest weight, or -1.
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

// Less implements heap.Interface. It orders by relativeWeight, then by rank.
func (e entries) Less(i, j int) bool {
	if e[i].relativeWeight != e[j].relativeWeight {
		return e[i].relativeWeight < e[j].relativeWeight
	}
	return e[i].rank < e[j].rank
}

// Swap implements heap.Interface.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries) Push(value any) { *e = append(*e, value.(*entry)) }

// Pop implements heap.Interface.
func (e *entries) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// rampFactor returns the share of its full load that a server may carry: it rises
// linearly from coldStartShare to 1 during the ramp.
func rampFactor(server Server, now time.Duration, limits Limits) float64 {
	age := now - server.ReadyAt
	if limits.Ramp <= 0 || age >= limits.Ramp {
		return 1
	}
	return coldStartShare + (1-coldStartShare)*max(age.Seconds(), 0)/limits.Ramp.Seconds()
}
