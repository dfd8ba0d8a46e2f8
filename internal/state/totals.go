package state

// PhaseCounts counts the shards of a service by phase.
type PhaseCounts struct {
	Unowned  int
	Owned    int
	Revoking int
}

// All returns the number of shards.
func (c PhaseCounts) All() int {
	return c.Unowned + c.Owned + c.Revoking
}

// totals are sums over shards that are updated with each change, so that a plan or a
// status query does not have to scan every shard.
type totals struct {
	phases map[ServiceName]PhaseCounts
	// spans is the sum of Last - First over the shards that a server owns. It does
	// not overflow, because a server belongs to one service, whose shards do not
	// overlap.
	spans map[ServerID]uint64
}

func newTotals() totals {
	return totals{phases: make(map[ServiceName]PhaseCounts), spans: make(map[ServerID]uint64)}
}

// replace subtracts the previous version of a shard, if there is one, and adds the
// new version.
func (t *totals) replace(previous, shard *Shard) {
	if previous != nil {
		t.remove(previous)
	}
	counts := t.phases[shard.Service]
	counts.add(shard.Phase, 1)
	t.phases[shard.Service] = counts
	t.spans[shard.Owner] += shard.Range.Last - shard.Range.First
}

// remove subtracts a shard from the totals.
func (t *totals) remove(previous *Shard) {
	counts := t.phases[previous.Service]
	counts.add(previous.Phase, -1)
	t.phases[previous.Service] = counts
	t.spans[previous.Owner] -= previous.Range.Last - previous.Range.First
}

func (c *PhaseCounts) add(phase ShardPhase, count int) {
	switch phase {
	case ShardUnowned:
		c.Unowned += count
	case ShardOwned:
		c.Owned += count
	case ShardRevoking:
		c.Revoking += count
	}
}

// PhaseCounts counts a service's shards by phase.
func (s *State) PhaseCounts(service ServiceName) PhaseCounts {
	return s.totals.phases[service]
}

// OwnedWidth returns the fraction (0 to 1) of its service's key space that a server
// owns, including revoking shards.
func (s *State) OwnedWidth(server ServerID) float64 {
	if s.OwnedCount(server) == 0 {
		return 0
	}
	return (float64(s.totals.spans[server]) + float64(s.OwnedCount(server))) / keySpace
}
