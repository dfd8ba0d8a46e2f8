package planner

import (
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// retireServer plans that a server retires, with the moves of its shards.
func (d *draft) retireServer(request state.RetireServer) error {
	server, found := d.view.Server(request.Server)
	if !found {
		return fault.Newf(fault.NotFound, "retire_server.server: no server %q: list them with get servers", request.Server)
	}
	if server.Intent != state.ServerActive {
		return fault.Newf(fault.Conflict, "retire_server.server: %q is %s already", request.Server, server.Intent)
	}
	if d.view.OwnedCount(server.ID) > 0 {
		if _, err := d.managedService("retire_server.server", server.Service); err != nil {
			return err
		}
	}
	moves, err := d.evacuationMoves(server)
	if err != nil {
		return err
	}
	retiring := server
	retiring.Intent = state.ServerRetiring
	d.add(state.Operation{PutServer: &retiring}, "server %s gets no new work and retires once it owns no shard", server.ID)
	for _, move := range moves {
		d.add(state.Operation{MoveShard: &move}, "shard %d moves from %s to %s", move.Shard, move.From, move.To)
	}
	return nil
}

// evacuationMoves returns the moves of a server's shards to the others, each to the
// one that owns the fewest at that point, and predicts their effect. Shards that are
// moving already are left out.
func (d *draft) evacuationMoves(server state.Server) ([]state.MoveShard, error) {
	owned := d.view.OwnedBy(server.ID)
	if len(owned) == 0 {
		return nil, nil
	}
	counts := d.countsOfOthers(server)
	if len(counts) == 0 {
		return nil, fault.Newf(fault.Conflict, "retire_server.server: service %q has no other server that can take shards: add servers first", server.Service)
	}
	moves := make([]state.MoveShard, 0, len(owned))
	planned := make([]plannedMove, 0, len(owned))
	for _, shard := range owned {
		if shard.Phase != state.ShardOwned || shard.Target != "" {
			continue
		}
		target := fewestShards(counts)
		target.shards++
		moves = append(moves, state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: server.ID, To: target.server})
		planned = append(planned, plannedMove{from: server.ID, to: target.server, width: shard.Range.Width()})
	}
	d.predictMoves(server.Service, planned)
	return moves, nil
}

type shardCount struct {
	server state.ServerID
	shards int
}

// countsOfOthers returns the shard counts of the service's other servers that accept
// shards.
func (d *draft) countsOfOthers(server state.Server) []*shardCount {
	var counts []*shardCount
	for _, other := range d.view.ServersOf(server.Service) {
		if other.ID != server.ID && acceptsShards(other) {
			counts = append(counts, &shardCount{server: other.ID, shards: d.view.OwnedCount(other.ID)})
		}
	}
	return counts
}

func fewestShards(counts []*shardCount) *shardCount {
	best := counts[0]
	for _, count := range counts[1:] {
		if count.shards < best.shards {
			best = count
		}
	}
	return best
}

// rebalance plans moves of whole shards from servers that own more of the key space
// to those that own least, as long as each move narrows the gap.
func (d *draft) rebalance(request state.Rebalance) error {
	if _, err := d.managedService("rebalance.service", request.Service); err != nil {
		return err
	}
	moves := d.balancingMoves(request.Service)
	planned := make([]plannedMove, 0, len(moves))
	for _, move := range moves {
		shard, _ := d.view.Shard(move.Shard)
		planned = append(planned, plannedMove{from: move.From, to: move.To, width: shard.Range.Width()})
		d.add(state.Operation{MoveShard: &move}, "shard %d moves from %s to %s, which owns less of the key space", move.Shard, move.From, move.To)
	}
	d.predictMoves(request.Service, planned)
	return nil
}
