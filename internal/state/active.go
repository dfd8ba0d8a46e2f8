package state

import (
	"cmp"
	"maps"
	"slices"
)

// activeIndex indexes the shards that the controllers must act on, by the kind of action.
type activeIndex struct {
	unowned map[ServiceName]map[ShardID]struct{}
	// revoking holds shards that their owners must release; targeted holds owned
	// shards with a pending move.
	revoking map[ShardID]struct{}
	targeted map[ShardID]struct{}
}

func newActiveIndex() activeIndex {
	return activeIndex{
		unowned:  make(map[ServiceName]map[ShardID]struct{}),
		revoking: make(map[ShardID]struct{}), targeted: make(map[ShardID]struct{}),
	}
}

func (a activeIndex) put(previous, shard *Shard) {
	if previous != nil {
		a.remove(previous)
	}
	switch {
	case shard.Phase == ShardUnowned:
		if a.unowned[shard.Service] == nil {
			a.unowned[shard.Service] = make(map[ShardID]struct{})
		}
		a.unowned[shard.Service][shard.ID] = struct{}{}
	case shard.Phase == ShardRevoking:
		a.revoking[shard.ID] = struct{}{}
	case shard.Target != "":
		a.targeted[shard.ID] = struct{}{}
	}
}

func (a activeIndex) remove(shard *Shard) {
	delete(a.revoking, shard.ID)
	delete(a.targeted, shard.ID)
	if ids := a.unowned[shard.Service]; ids != nil {
		delete(ids, shard.ID)
		if len(ids) == 0 {
			delete(a.unowned, shard.Service)
		}
	}
}

// ActiveShards returns the shards that the controllers must act on (unowned,
// revoking, or owned with a target), sorted by identifier.
func (s *State) ActiveShards() []Shard {
	shards := slices.Concat(s.RevokingShards(), s.TargetedShards())
	for _, service := range s.UnownedServices() {
		shards = append(shards, s.shardsByID(s.active.unowned[service])...)
	}
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	return shards
}

// ActiveCount returns the number of shards that ActiveShards returns.
func (s *State) ActiveCount() int {
	count := len(s.active.revoking) + len(s.active.targeted)
	for _, unowned := range s.active.unowned {
		count += len(unowned)
	}
	return count
}

// RevokingShards returns the shards that their owners must release, sorted by
// identifier.
func (s *State) RevokingShards() []Shard { return s.shardsByID(s.active.revoking) }

// TargetedShards returns the owned shards with a pending move, sorted by identifier.
func (s *State) TargetedShards() []Shard { return s.shardsByID(s.active.targeted) }

// UnownedServices returns the services that have unowned shards, sorted by name.
func (s *State) UnownedServices() []ServiceName {
	return slices.Sorted(maps.Keys(s.active.unowned))
}

// UnownedCount returns the number of unowned shards of a service.
func (s *State) UnownedCount(service ServiceName) int { return len(s.active.unowned[service]) }

// UnownedShards returns up to limit unowned shards of a service, lowest
// identifiers first. It collects and sorts all unowned shards of the service.
func (s *State) UnownedShards(service ServiceName, limit int) []Shard {
	ids := make([]ShardID, 0, len(s.active.unowned[service]))
	for id := range s.active.unowned[service] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	shards := make([]Shard, 0, min(limit, len(ids)))
	for _, id := range ids[:min(limit, len(ids))] {
		shards = append(shards, *s.shards[id])
	}
	return shards
}
