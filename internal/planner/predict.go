package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// assumedHandover is the predicted time for which a moved shard has no owner while
// no move of the service has been measured: one lease message to each of the two
// servers and two log commits.
const assumedHandover = 50 * time.Millisecond

// plannedMove is one move for a prediction.
type plannedMove struct {
	from, to state.ServerID
	// width is the share of the key space that moves.
	width float64
}

// predictMoves sets the prediction for the moves. It uses the share of the key space
// that a server owns as its load.
func (d *draft) predictMoves(service state.ServiceName, moves []plannedMove) {
	shares := d.keySpaceShares(service)
	before := imbalance(shares)
	churn := 0.0
	for _, move := range moves {
		shares[move.from] -= move.width
		shares[move.to] += move.width
		churn += move.width
	}
	d.plan.Prediction = state.Prediction{
		Moves: len(moves), ImbalanceBefore: before, ImbalanceAfter: imbalance(shares), Churn: churn,
	}
	if len(moves) > 0 {
		d.predictHandover(service)
	}
}

// predictHandover predicts the time without an owner from the measured moves of the
// service, or as assumedHandover if there are none.
func (d *draft) predictHandover(service state.ServiceName) {
	measured, found := d.handoverTimes.Expected(service)
	d.plan.Prediction.Measured = found
	d.plan.Prediction.Unavailable = assumedHandover
	if found {
		d.plan.Prediction.Unavailable = measured
	}
}

// keySpaceShares returns the share of the key space that each server owns, for the
// servers that accept or own shards.
func (d *draft) keySpaceShares(service state.ServiceName) map[state.ServerID]float64 {
	shares := make(map[state.ServerID]float64)
	for _, server := range d.view.ServersOf(service) {
		if acceptsShards(server) || d.view.OwnedCount(server.ID) > 0 {
			shares[server.ID] = d.view.OwnedWidth(server.ID)
		}
	}
	return shares
}

// imbalance returns the maximum load divided by the mean load, or 0 if there is no
// load. It sums in a fixed order, since the rounding of a floating-point sum depends
// on the order.
func imbalance(loads map[state.ServerID]float64) float64 {
	total, highest := 0.0, 0.0
	for _, server := range slices.Sorted(maps.Keys(loads)) {
		total += loads[server]
		highest = max(highest, loads[server])
	}
	if total == 0 {
		return 0
	}
	return highest * float64(len(loads)) / total
}

// balancingMoves returns moves of shards, the widest first, each to the server that
// owns the least of the key space at that point, if this narrows the gap to the
// shard's owner.
func (d *draft) balancingMoves(service state.ServiceName) []state.MoveShard {
	shares := d.keySpaceShares(service)
	shards := d.movableShards(service)
	var moves []state.MoveShard
	for _, shard := range shards {
		target := leastLoadedServer(shares)
		width := shard.Range.Width()
		if target == "" || target == shard.Owner || shares[shard.Owner]-shares[target] <= width {
			continue
		}
		shares[shard.Owner] -= width
		shares[target] += width
		moves = append(moves, state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: shard.Owner, To: target})
	}
	return moves
}

// movableShards returns the shards that have an owner and are not moving, the widest
// first.
func (d *draft) movableShards(service state.ServiceName) []state.Shard {
	shards := slices.DeleteFunc(d.view.ShardsOf(service), func(shard state.Shard) bool {
		return shard.Phase != state.ShardOwned || shard.Target != ""
	})
	slices.SortStableFunc(shards, func(a, b state.Shard) int {
		return cmp.Compare(b.Range.Last-b.Range.First, a.Range.Last-a.Range.First)
	})
	return shards
}

// leastLoadedServer returns the server with the lowest load, of equal ones the first
// by ID, whatever the order of the map.
func leastLoadedServer(loads map[state.ServerID]float64) state.ServerID {
	var least state.ServerID
	for server, load := range loads {
		if least == "" || load < loads[least] || (load == loads[least] && server < least) {
			least = server
		}
	}
	return least
}
