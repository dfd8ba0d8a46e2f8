package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// assumedHandover is the time that a moved shard has no owner, for a service of
// which no move was measured: one lease message to each server and two log
// commits.
const assumedHandover = 50 * time.Millisecond

// plannedMove is what a prediction needs to know of one move.
type plannedMove struct {
	from, to state.ServerID
	width    float64
}

// predictMoves fills the prediction: load is taken as the share of the key
// space that a server owns.
func (d *draft) predictMoves(service state.ServiceName, moves []plannedMove) {
	load := d.keySpaceOf(service)
	before := imbalance(load)
	churn := 0.0
	for _, move := range moves {
		load[move.from] -= move.width
		load[move.to] += move.width
		churn += move.width
	}
	d.plan.Prediction = state.Prediction{
		Moves: len(moves), ImbalanceBefore: before, ImbalanceAfter: imbalance(load), Churn: churn,
	}
	if len(moves) > 0 {
		d.predictHandover(service)
	}
}

// predictHandover predicts from the moves of the service that were measured.
func (d *draft) predictHandover(service state.ServiceName) {
	measured, found := d.costs.Expected(service)
	d.plan.Prediction.Measured = found
	d.plan.Prediction.Unavailable = assumedHandover
	if found {
		d.plan.Prediction.Unavailable = measured
	}
}

// keySpaceOf returns the share of the key space that each server owns.
func (d *draft) keySpaceOf(service state.ServiceName) map[state.ServerID]float64 {
	load := make(map[state.ServerID]float64)
	for _, server := range d.view.ServersOf(service) {
		if takesShards(server) || d.view.OwnedCount(server.ID) > 0 {
			load[server.ID] = d.view.OwnedWidth(server.ID)
		}
	}
	return load
}

// imbalance returns maximum / mean, or 0 without servers. It adds in a fixed
// order, since a sum of floating-point numbers depends on it.
func imbalance(load map[state.ServerID]float64) float64 {
	total, highest := 0.0, 0.0
	for _, server := range slices.Sorted(maps.Keys(load)) {
		total += load[server]
		highest = max(highest, load[server])
	}
	if total == 0 {
		return 0
	}
	return highest * float64(len(load)) / total
}

func (d *draft) balancingMoves(service state.ServiceName) []state.MoveShard {
	load := d.keySpaceOf(service)
	shards := d.movable(service)
	var moves []state.MoveShard
	for _, shard := range shards {
		least := leastOf(load)
		width := shard.Range.Width()
		if least == "" || least == shard.Owner || load[shard.Owner]-load[least] <= width {
			continue
		}
		load[shard.Owner] -= width
		load[least] += width
		moves = append(moves, state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: shard.Owner, To: least})
	}
	return moves
}

// movable returns the owned shards at rest, the widest first.
func (d *draft) movable(service state.ServiceName) []state.Shard {
	shards := slices.DeleteFunc(d.view.ShardsOf(service), func(shard state.Shard) bool {
		return shard.Phase != state.ShardOwned || shard.Target != ""
	})
	slices.SortStableFunc(shards, func(a, b state.Shard) int {
		return cmp.Compare(b.Range.Last-b.Range.First, a.Range.Last-a.Range.First)
	})
	return shards
}

func leastOf(load map[state.ServerID]float64) state.ServerID {
	var least state.ServerID
	for server, share := range load {
		if least == "" || share < load[least] || (share == load[least] && server < least) {
			least = server
		}
	}
	return least
}
