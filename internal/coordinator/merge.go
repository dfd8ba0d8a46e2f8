package coordinator

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

// proposeMerges proposes merges of adjacent shards with low load, if the service's
// policy allows them. MaxMoves bounds the merges that the owners have not
// confirmed, because until then requests for their keys are refused and retried.
func (c *Coordinator) proposeMerges(name state.ServiceName, balanced *balancedService, chosen []placement.Merge, view *state.State, actions *Actions) {
	service, _ := view.Service(name)
	if !service.Placement.Merge {
		return
	}
	balanced.unconfirmedMerges = slices.DeleteFunc(balanced.unconfirmedMerges, func(merged state.ShardEpoch) bool { return c.mergeSettled(merged, view) })
	allowed := min(service.MaxMoves-len(balanced.unconfirmedMerges), view.ShardCount(name)-service.Placement.MinShards)
	merges := make([]state.ShardMerge, 0, max(min(allowed, len(chosen)), 0))
	for _, candidate := range chosen {
		if len(merges) >= allowed {
			break
		}
		if merge, valid := c.buildMerge(candidate, view); valid {
			merges = append(merges, merge)
			balanced.unconfirmedMerges = append(balanced.unconfirmedMerges, state.ShardEpoch{
				Shard: merge.First.Shard, Epoch: max(merge.First.Epoch, merge.Second.Epoch) + 1,
			})
		}
	}
	if len(merges) > 0 {
		c.pendingBalance = c.propose(actions, state.Command{MergeShards: &state.MergeShards{Merges: merges}})
	}
}

// mergeSettled reports whether the owner of a merged shard has the set with the
// shard in force, or the shard has changed since or was never merged.
func (c *Coordinator) mergeSettled(merged state.ShardEpoch, view *state.State) bool {
	shard, found := view.Shard(merged.Shard)
	if !found || shard.Epoch != merged.Epoch {
		return true
	}
	owner := c.trackers[shard.Owner]
	return owner != nil && owner.assignmentVersion >= shard.Revision
}

// buildMerge returns the merge with the shards' current epochs. It returns false
// unless both shards are owned, with no move planned, by one server that accepts
// shards.
func (c *Coordinator) buildMerge(chosen placement.Merge, view *state.State) (state.ShardMerge, bool) {
	first, _ := view.Shard(chosen.First)
	second, _ := view.Shard(chosen.Second)
	owner, found := view.Server(first.Owner)
	if !found || second.Owner != first.Owner || !acceptsShards(owner, c.trackers[owner.ID]) {
		return state.ShardMerge{}, false
	}
	for _, shard := range []state.Shard{first, second} {
		if shard.Phase != state.ShardOwned || shard.Target != "" {
			return state.ShardMerge{}, false
		}
	}
	return state.ShardMerge{
		First:  state.ShardEpoch{Shard: first.ID, Epoch: first.Epoch},
		Second: state.ShardEpoch{Shard: second.ID, Epoch: second.Epoch},
		Owner:  owner.ID, Session: owner.Session.Number,
	}, true
}
