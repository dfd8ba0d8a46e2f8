package state

import (
	"strconv"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// mergeShards merges pairs of adjacent shards of services whose policy allows it.
// Either all pairs are merged or none.
func (tx *transaction) mergeShards(command *MergeShards) Result {
	used := make(map[ShardID]bool, 2*len(command.Merges))
	mergeCounts := make(map[ServiceName]int)
	for _, merge := range command.Merges {
		if used[merge.First.Shard] || used[merge.Second.Shard] {
			return failure(fault.Conflict, "a shard stands in two of the merges")
		}
		used[merge.First.Shard], used[merge.Second.Shard] = true, true
		if problem := tx.mergeProblem(merge); problem != "" {
			return failure(fault.Conflict, problem)
		}
		shard, _ := tx.state.Shard(merge.First.Shard)
		mergeCounts[shard.Service]++
		if problem := tx.mergePolicyProblem(shard.Service, mergeCounts[shard.Service]); problem != "" {
			return failure(fault.Conflict, problem)
		}
	}
	for _, merge := range command.Merges {
		tx.merge(merge)
	}
	return Result{}
}

// mergePolicyProblem returns the reason why the service's policy does not allow the
// controllers this number of automatic merges, or "" if it does.
func (tx *transaction) mergePolicyProblem(name ServiceName, merges int) string {
	service, _ := tx.state.Service(name)
	if !service.Placement.Automatic || !service.Placement.Merge {
		return "the policy of service " + string(name) + " allows no merges"
	}
	if tx.state.ShardCount(name)-merges < service.Placement.MinShards {
		return "service " + string(name) + " would have fewer shards than its policy asks for"
	}
	return ""
}

// mergeProblem returns the reason why two shards cannot be merged, or "" if they
// can. Both must be at the given epochs, without a pending move, and owned by the
// given server in the given session. A shard that is changing owners must keep
// its identifier until the move is complete.
func (tx *transaction) mergeProblem(merge ShardMerge) string {
	first, found := tx.state.Shard(merge.First.Shard)
	if !found {
		return shardName(merge.First.Shard) + " is gone"
	}
	second, found := tx.state.Shard(merge.Second.Shard)
	if !found {
		return shardName(merge.Second.Shard) + " is gone"
	}
	follows := first.Range.Last < second.Range.First && first.Range.Last+1 == second.Range.First
	if first.Service != second.Service || !follows {
		return shardName(second.ID) + " does not follow " + shardName(first.ID)
	}
	if tx.state.isObserved(first.Service) {
		return "service " + string(first.Service) + " is observed"
	}
	if problem := ownershipProblem(first, merge.First.Epoch, merge.Owner); problem != "" {
		return problem
	}
	if problem := ownershipProblem(second, merge.Second.Epoch, merge.Owner); problem != "" {
		return problem
	}
	owner, found := tx.state.Server(merge.Owner)
	if !found || !owner.Session.Open || owner.Session.Number != merge.Session {
		return "the session of server " + string(merge.Owner) + " changed"
	}
	return ""
}

// ownershipProblem returns the reason why a shard is not stably owned by a server at an
// epoch, or "" if it is.
func ownershipProblem(shard Shard, epoch Epoch, owner ServerID) string {
	switch {
	case shard.Phase != ShardOwned || shard.Target != "":
		return shardName(shard.ID) + " is moving or has no owner"
	case shard.Owner != owner || shard.Epoch != epoch:
		return shardName(shard.ID) + " changed its owner"
	default:
		return ""
	}
}

func shardName(id ShardID) string {
	return "shard " + strconv.FormatUint(uint64(id), 10)
}

// merge merges two adjacent shards. The new epoch is above both old ones, so that
// for every key a request routed by an old shard can be told from one routed by
// the merged shard: a back end rejects the latter until it has the new shard set,
// and the former from then on.
func (tx *transaction) merge(merge ShardMerge) {
	first, _ := tx.state.Shard(merge.First.Shard)
	second, _ := tx.state.Shard(merge.Second.Shard)
	gone := Shard{ID: second.ID, Service: second.Service, Revision: tx.revision}
	tx.put(Object{Shard: &gone, Deleted: true})
	first.Range.Last = second.Range.Last
	first.Epoch = max(first.Epoch, second.Epoch) + 1
	tx.putShard(first)
}
