package planner

import (
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// mergeShards plans the merge of two neighbouring shards. The merged shard keeps the
// identifier of the one with the lower hashes.
func (d *draft) mergeShards(request state.MergeNeighbours) error {
	if _, err := d.managedService("merge_shards.service", request.Service); err != nil {
		return err
	}
	first, err := d.shard("merge_shards.first", request.Service, request.First)
	if err != nil {
		return err
	}
	second, err := d.shard("merge_shards.second", request.Service, request.Second)
	if err != nil {
		return err
	}
	if second.Range.First < first.Range.First {
		first, second = second, first
	}
	if err := checkNeighbours(first, second); err != nil {
		return err
	}
	owner, found := d.view.Server(first.Owner)
	if !found || !owner.Session.Open {
		return fault.Newf(fault.Conflict, "merge_shards.first: server %q, which owns shard %d, is not in service: wait until another one owns it", first.Owner, first.ID)
	}
	merge := state.ShardMerge{
		First:  state.ShardEpoch{Shard: first.ID, Epoch: first.Epoch},
		Second: state.ShardEpoch{Shard: second.ID, Epoch: second.Epoch},
		Owner:  owner.ID, Session: owner.Session.Number,
	}
	d.add(state.Operation{MergeShards: &merge}, "shard %d on %s takes the keys of shard %d, which is gone; no key changes its owner", first.ID, owner.ID, second.ID)
	d.predictMoves(request.Service, nil)
	return nil
}

// shard returns a shard of the service that has an owner and is not moving.
func (d *draft) shard(field string, service state.ServiceName, id state.ShardID) (state.Shard, error) {
	shard, found := d.view.Shard(id)
	if !found || shard.Service != service {
		return state.Shard{}, fault.Newf(fault.NotFound, "%s: service %q has no shard %d: list them with get shards", field, service, id)
	}
	if shard.Phase != state.ShardOwned || shard.Target != "" {
		return state.Shard{}, fault.Newf(fault.Conflict, "%s: shard %d is moving or has no owner: wait until status shows it owned", field, id)
	}
	return shard, nil
}

// checkNeighbours checks that second directly follows first and has the same owner.
func checkNeighbours(first, second state.Shard) error {
	if first.ID == second.ID || first.Range.Last+1 != second.Range.First {
		return fault.Newf(fault.InvalidArgument, "merge_shards.second: shards %d and %d are no neighbours: get shards lists them in the order of their keys", first.ID, second.ID)
	}
	if first.Owner != second.Owner {
		return fault.Newf(fault.Conflict, "merge_shards.second: shard %d is owned by %s and shard %d by %s: only shards of one owner can be merged",
			first.ID, first.Owner, second.ID, second.Owner)
	}
	return nil
}

func checkPlacement(field string, policy state.PlacementPolicy) error {
	lowest := 0
	if policy.Merge {
		lowest = 1
	}
	switch {
	case policy.Merge && !policy.Automatic:
		return fault.Newf(fault.InvalidArgument, "%s.merge: needs automatic: set both, or neither", field)
	case policy.MinShards < lowest || policy.MinShards > maxShards:
		return fault.Newf(fault.InvalidArgument, "%s.min_shards: %d: use %d to %d", field, policy.MinShards, lowest, maxShards)
	default:
		return nil
	}
}
