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

// totals are sums over shards, kept with each change, so that a plan or a status
// need not look at every shard.
type totals struct {
	phases map[ServiceName]PhaseCounts
	// spans adds up Last - First of the shards that a server owns. A server
	// belongs to one service, whose shards do not overlap, so that the sum fits.
	spans map[ServerID]uint64
}

func newTotals() totals {
	return totals{phases: make(map[ServiceName]PhaseCounts), spans: make(map[ServerID]uint64)}
}

// replace takes the earlier version of a shard out, if there is one, and the new
// version in.
func (t *totals) replace(previous, shard *Shard) {
	if previous != nil {
		t.remove(previous)
	}
	counts := t.phases[shard.Service]
	counts.add(shard.Phase, 1)
	t.phases[shard.Service] = counts
	t.spans[shard.Owner] += shard.Range.Last - shard.Range.First
}

// remove takes a shard out.
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

// OwnedWidth returns the share of its service's key space that a server owns,
// revoking shards included, 0 to 1.
func (s *State) OwnedWidth(server ServerID) float64 {
	if s.OwnedCount(server) == 0 {
		return 0
	}
	return (float64(s.totals.spans[server]) + float64(s.OwnedCount(server))) / keySpace
}
