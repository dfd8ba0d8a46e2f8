package coordinator

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

// merge proposes merges of cold neighbours, if the service's policy allows them.
// MaxMoves bounds those that their owners have yet to confirm: until then
// requests for their keys are refused and sent again.
func (c *Coordinator) merge(name state.ServiceName, known *balanced, chosen []placement.Merge, view *state.State, actions *Actions) {
	service, _ := view.Service(name)
	if !service.Placement.Merge {
		return
	}
	known.merging = slices.DeleteFunc(known.merging, func(merged state.ShardEpoch) bool { return c.mergeSettled(merged, view) })
	room := min(service.MaxMoves-len(known.merging), view.ShardCount(name)-service.Placement.MinShards)
	merges := make([]state.ShardMerge, 0, max(min(room, len(chosen)), 0))
	for _, option := range chosen {
		if len(merges) >= room {
			break
		}
		if merge, fits := c.mergeOf(option, view); fits {
			merges = append(merges, merge)
			known.merging = append(known.merging, state.ShardEpoch{
				Shard: merge.First.Shard, Epoch: max(merge.First.Epoch, merge.Second.Epoch) + 1,
			})
		}
	}
	if len(merges) > 0 {
		c.pendingBalance = c.propose(actions, state.Command{MergeShards: &state.MergeShards{Merges: merges}})
	}
}

// mergeSettled reports whether the owner of a merged shard has its set in force,
// or the shard has changed since or was never merged.
func (c *Coordinator) mergeSettled(merged state.ShardEpoch, view *state.State) bool {
	shard, found := view.Shard(merged.Shard)
	if !found || shard.Epoch != merged.Epoch {
		return true
	}
	owner := c.contacts[shard.Owner]
	return owner != nil && owner.version >= shard.Revision
}

// mergeOf names two shards as they are now, if both are at rest with one owner
// that takes shards.
func (c *Coordinator) mergeOf(chosen placement.Merge, view *state.State) (state.ShardMerge, bool) {
	first, _ := view.Shard(chosen.First)
	second, _ := view.Shard(chosen.Second)
	owner, found := view.Server(first.Owner)
	if !found || second.Owner != first.Owner || !takesShards(owner, c.contacts[owner.ID]) {
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
