package experiment

import (
	"fmt"
	"strconv"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

// ours runs the product's placement.
type ours struct {
	limits    placement.Limits
	layout    *placement.Layout
	estimator *placement.Estimator
	// keyed is true when the routers count by key.
	keyed   bool
	servers map[int]placement.Server
	shards  map[int]placement.Shard
	// hot is the busiest key of each shard, of the last interval.
	hot map[int]hotKey
}

type hotKey struct {
	hash  uint64
	share float64
}

func newPlacement(workload Workload, keyed bool) *ours {
	limits := placement.DefaultLimits()
	return &ours{
		limits: limits, layout: placement.NewLayout(workload.Weights, limits), keyed: keyed,
		estimator: placement.NewEstimator(placement.DefaultEstimatorConfig()),
		servers:   make(map[int]placement.Server), shards: make(map[int]placement.Shard), hot: make(map[int]hotKey),
	}
}

// serverID names a server so that the order of names is that of numbers.
func serverID(number int) state.ServerID {
	if number == noServer {
		return ""
	}
	return state.ServerID(fmt.Sprintf("s%03d", number))
}

func serverNumber(id state.ServerID) int {
	number, err := strconv.Atoi(string(id[1:]))
	if err != nil {
		panic("experiment: server without a number: " + string(id))
	}
	return number
}

func (o *ours) decide(seen *view) choice {
	o.follow(seen)
	if seen.loadsChanged {
		o.observe(seen)
	}
	chosen := choice{assign: o.assign(seen)}
	if len(chosen.assign) > 0 {
		return chosen
	}
	decision := o.layout.Decide(seen.now)
	for _, move := range decision.Moves {
		wanted := assignment{shard: int(move.Shard), to: serverNumber(move.To)}
		if move.Isolate {
			wanted.part = &move.Range
		}
		chosen.move = append(chosen.move, wanted)
	}
	for _, split := range decision.Splits {
		chosen.split = append(chosen.split, cutting{shard: int(split.Shard), part: split.Part})
	}
	for _, merge := range decision.Merges {
		chosen.merge = append(chosen.merge, merging{first: int(merge.First), second: int(merge.Second)})
	}
	chosen.unfinished = decision.Deferred > 0
	return chosen
}

// follow tells the layout what changed.
func (o *ours) follow(seen *view) {
	for number, known := range seen.servers {
		next := placement.Server{
			ID: serverID(number), Zone: strconv.Itoa(known.zone), Slots: known.slots, Accepts: known.accepts, ReadyAt: known.readyAt,
		}
		if o.servers[number] != next {
			o.servers[number] = next
			o.layout.PutServer(next)
		}
	}
	present := make(map[int]bool, len(seen.shards))
	for _, known := range seen.shards {
		present[known.id] = true
		next := placement.Shard{ID: state.ShardID(known.id), Range: known.keys, Owner: serverID(known.owner), Moving: known.moving}
		before, found := o.shards[known.id]
		if found && before == next {
			continue
		}
		o.shards[known.id] = next
		if !found {
			next.Load = o.inherit(known)
		}
		o.layout.PutShard(seen.now, next)
	}
	for id := range o.shards {
		if !present[id] {
			delete(o.shards, id)
			delete(o.hot, id)
			o.estimator.Forget(state.ShardID(id))
			o.layout.RemoveShard(state.ShardID(id))
		}
	}
}

// inherit gives a part that was cut off its share of the load and returns it.
func (o *ours) inherit(created shardView) float64 {
	parent, found := o.shards[created.parent]
	if !found {
		return 0
	}
	share := min(created.keys.Width()/parent.Range.Width(), 1)
	hottest := o.hot[created.parent]
	if created.keys.First == created.keys.Last && created.keys.First == hottest.hash {
		share = hottest.share
		delete(o.hot, created.parent)
	}
	o.estimator.Split(parent.ID, state.ShardID(created.id), share)
	rest, _ := o.estimator.ShardLoad(parent.ID)
	o.layout.SetLoad(parent.ID, rest, 0, 0)
	load, _ := o.estimator.ShardLoad(state.ShardID(created.id))
	return load
}

func (o *ours) observe(seen *view) {
	observations := make([]placement.Observation, 0, len(seen.shards))
	for _, known := range seen.shards {
		observations = append(observations, placement.Observation{
			Shard: state.ShardID(known.id), Routed: known.counted, RoutedKnown: true,
			Reported: known.reported, ReportedKnown: true,
		})
	}
	o.estimator.Observe(seen.now, observations)
	for _, known := range seen.shards {
		load, _ := o.estimator.ShardLoad(state.ShardID(known.id))
		hotHash, hotShare := known.hotHash, known.hotShare
		if !o.keyed {
			hotHash, hotShare = 0, 0
		}
		o.hot[known.id] = hotKey{hash: hotHash, share: hotShare}
		o.layout.SetLoad(state.ShardID(known.id), load, hotHash, hotShare)
	}
}

// assign chooses owners for shards without one.
func (o *ours) assign(seen *view) []assignment {
	var orphans []placement.Orphan
	carried, counts := make(map[int]float64), make(map[int]int)
	for _, known := range seen.shards {
		load, _ := o.estimator.ShardLoad(state.ShardID(known.id))
		if known.owner == noServer && !known.moving {
			orphans = append(orphans, placement.Orphan{Shard: state.ShardID(known.id), Load: load})
		}
		carried[known.owner] += load
		counts[known.owner]++
	}
	if len(orphans) == 0 {
		return nil
	}
	takers := make([]placement.Target, 0, len(seen.servers))
	for number := range seen.servers {
		takers = append(takers, placement.Target{Server: o.servers[number], Load: carried[number], Shards: counts[number]})
	}
	var chosen []assignment
	for _, given := range placement.Assign(seen.now, o.limits, takers, orphans) {
		chosen = append(chosen, assignment{shard: int(given.Shard), to: serverNumber(given.To)})
	}
	return chosen
}
