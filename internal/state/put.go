package state

import (
	"cmp"
	"slices"
)

// put stores a routing-visible object and updates the digests and the indexes. The
// caller must not modify the object afterwards.
func (s *State) put(object Object) {
	previous, existed := s.lookup(object)
	if existed {
		s.toggleDigest(previous)
	}
	s.toggleDigest(object)
	switch {
	case object.Deleted && object.Router != nil:
		delete(s.routers, object.Router.ID)
	case object.Deleted && object.Shard != nil:
		s.removeShard(previous.Shard, object.Shard.Revision)
	case object.Service != nil:
		s.services[object.Service.Name] = object.Service
	case object.Server != nil:
		s.servers[object.Server.ID] = object.Server
	case object.Shard != nil:
		s.putShard(previous.Shard, object.Shard)
	case object.Router != nil:
		s.routers[object.Router.ID] = object.Router
	case object.Partition != nil:
		s.partitions[object.Partition.Number] = object.Partition
	}
}

// toggleDigest adds an object to the digests or removes it from them; with XOR both
// are the same operation.
func (s *State) toggleDigest(object Object) {
	digest := ObjectDigest(object)
	s.digest ^= digest
	s.sections.toggle(object, digest)
	s.differences.toggle(object, digest)
}

func (s *State) lookup(object Object) (Object, bool) {
	var previous Object
	var existed bool
	switch {
	case object.Service != nil:
		previous.Service, existed = s.services[object.Service.Name]
	case object.Server != nil:
		previous.Server, existed = s.servers[object.Server.ID]
	case object.Shard != nil:
		previous.Shard, existed = s.shards[object.Shard.ID]
	case object.Router != nil:
		previous.Router, existed = s.routers[object.Router.ID]
	case object.Partition != nil:
		previous.Partition, existed = s.partitions[object.Partition.Number]
	}
	return previous, existed
}

func (s *State) putShard(previous, shard *Shard) {
	s.totals.replace(previous, shard)
	if previous == nil {
		s.insertRange(shard)
	} else if previous.Owner != "" {
		delete(s.owned[previous.Owner], previous.ID)
		s.assignmentVersions[previous.Owner] = shard.Revision
	}
	s.shards[shard.ID] = shard
	if shard.Owner != "" {
		if s.owned[shard.Owner] == nil {
			s.owned[shard.Owner] = make(map[ShardID]*Shard)
		}
		s.owned[shard.Owner][shard.ID] = shard
		s.assignmentVersions[shard.Owner] = shard.Revision
	}
	s.active.put(previous, shard)
}

// insertRange adds a new shard to its service's list, which is sorted by
// Range.First. No two shards of a service share that value once a command has been
// applied.
func (s *State) insertRange(shard *Shard) {
	ids := s.shardsByRange[shard.Service]
	s.shards[shard.ID] = shard
	if len(ids) == 0 || s.shards[ids[len(ids)-1]].Range.First < shard.Range.First {
		s.shardsByRange[shard.Service] = append(ids, shard.ID)
		return
	}
	position, _ := s.rangePosition(shard.Service, shard.Range.First)
	s.shardsByRange[shard.Service] = slices.Insert(ids, position, shard.ID)
}

// removeShard removes a shard that was merged into another from every index.
func (s *State) removeShard(previous *Shard, revision Revision) {
	s.totals.remove(previous)
	s.active.remove(previous)
	if position, found := s.rangePosition(previous.Service, previous.Range.First); found {
		s.shardsByRange[previous.Service] = slices.Delete(s.shardsByRange[previous.Service], position, position+1)
	}
	delete(s.shards, previous.ID)
	if previous.Owner != "" {
		delete(s.owned[previous.Owner], previous.ID)
		s.assignmentVersions[previous.Owner] = revision
	}
}

// rangePosition returns the position in a service's sorted list of the shard that
// begins at a hash, or the position at which it would be inserted.
func (s *State) rangePosition(service ServiceName, first uint64) (int, bool) {
	return slices.BinarySearchFunc(s.shardsByRange[service], first, func(id ShardID, first uint64) int {
		return cmp.Compare(s.shards[id].Range.First, first)
	})
}

func (s *State) storePlan(plan Plan) {
	if _, exists := s.plans[plan.ID]; !exists {
		s.planOrder = append(s.planOrder, plan.ID)
	}
	s.plans[plan.ID] = &plan
	for len(s.planOrder) > MaxPlans {
		s.receipts.add(receiptOf(s.plans[s.planOrder[0]]))
		delete(s.plans, s.planOrder[0])
		s.planOrder = s.planOrder[1:]
	}
}
