package experiment

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// strategy decides who owns which shard.
type strategy interface {
	decide(seen *view) choice
}

// view is what a strategy may know. Loads are of the last interval.
type view struct {
	now time.Duration
	// first is true before any shard has an owner.
	first bool
	// serversChanged is true when a server came, left or was lost since the last
	// view; loadsChanged when there are new loads.
	serversChanged, loadsChanged bool
	servers                      []serverView
	shards                       []shardView
	inFlight                     int
}

type serverView struct {
	zone    int
	slots   int
	accepts bool
	readyAt time.Duration
}

type shardView struct {
	id, parent int
	keys       state.KeyRange
	// owner is the source during a handover.
	owner  int
	moving bool
	// counted is the load by the routers' counts, reported that by the server's
	// word, in busy slots.
	counted, reported float64
	hotHash           uint64
	hotShare          float64
}

// choice is what a strategy wants. Moves wait in order until they may begin;
// a new choice replaces those that wait.
type choice struct {
	assign []assignment
	move   []assignment
	split  []cutting
	merge  []merging
	// unfinished asks for another decision once the moves are done.
	unfinished bool
}

// assignment gives a shard an owner. With part set, only that range moves.
type assignment struct {
	shard, to int
	part      *state.KeyRange
}

type cutting struct {
	shard int
	part  state.KeyRange
}

type merging struct{ first, second int }

// Names of the strategies.
const (
	StaticHashing = "static hashing"
	BoundedLoads  = "consistent hashing, bounded loads"
	Greedy        = "greedy least-loaded"
	ByCount       = "ours before: fewest shards"
	Ours          = "ours: placement"
	OursRanges    = "ours, no counts by key"
)

// Strategies lists the names in the order of the table.
func Strategies() []string {
	return []string{StaticHashing, BoundedLoads, Greedy, ByCount, OursRanges, Ours}
}

func newStrategy(name string, workload Workload) strategy {
	switch name {
	case StaticHashing:
		return &staticHashing{}
	case BoundedLoads:
		return newBoundedLoads(workload)
	case Greedy:
		return &greedy{loads: smoothed{}}
	case ByCount:
		return &byCount{}
	case OursRanges:
		return newPlacement(workload, false)
	default:
		return newPlacement(workload, true)
	}
}

// place turns wanted owners into assignments of orphans and moves of others.
func place(seen *view, wanted func(position int) int) choice {
	var chosen choice
	for position, known := range seen.shards {
		target := wanted(position)
		switch {
		case target == noServer || known.moving || target == known.owner:
		case known.owner == noServer:
			chosen.assign = append(chosen.assign, assignment{shard: known.id, to: target})
		default:
			chosen.move = append(chosen.move, assignment{shard: known.id, to: target})
		}
	}
	return chosen
}

// accepting lists the servers that may own shards.
func (v *view) accepting() []int {
	var servers []int
	for number, known := range v.servers {
		if known.accepts {
			servers = append(servers, number)
		}
	}
	return servers
}

// smoothed keeps an exponentially weighted mean of each shard's counted load,
// for the strategies that use one.
type smoothed map[int]float64

// newShare is the weight of the newest interval; it gives a half-life of 15 s
// at intervals of 5 s, as ours has.
const newShare = 0.206

func (s smoothed) observe(seen *view) {
	if !seen.loadsChanged {
		return
	}
	for _, known := range seen.shards {
		if before, found := s[known.id]; found {
			s[known.id] = before + newShare*(known.counted-before)
		} else {
			s[known.id] = known.counted
		}
	}
}
