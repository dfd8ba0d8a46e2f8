package state

import (
	"math"
	"testing"
)

// Splits keep owner, epoch and coverage, and are made only if the service's policy
// allows them and the shard still has the epoch given in the command.
func TestSplitShards(t *testing.T) {
	m := withService(t, 2)
	m.assign(1, "a")
	owned, _ := m.state.Shard(1)
	middle := KeyRange{First: owned.Range.First + 10, Last: owned.Range.First + 20}
	split := func(part ShardPart) int {
		m.apply(Command{SplitShards: &SplitShards{Parts: []ShardPart{part}}})
		return len(m.state.ShardsOf("s"))
	}
	good := ShardPart{Shard: 1, Epoch: owned.Epoch, Range: middle}
	if count := split(good); count != 2 {
		t.Fatalf("split without a policy: %d shards", count)
	}
	service, _ := m.state.Service("s")
	service.Placement.Automatic = true
	m.confirm("policy", Operation{PutService: &service})
	for name, part := range map[string]ShardPart{
		"old epoch": {Shard: 1, Epoch: owned.Epoch + 1, Range: middle},
		"outside":   {Shard: 1, Epoch: owned.Epoch, Range: KeyRange{First: 1, Last: math.MaxUint64}},
		"reversed":  {Shard: 1, Epoch: owned.Epoch, Range: KeyRange{First: middle.Last, Last: middle.First}},
		"whole":     {Shard: 1, Epoch: owned.Epoch, Range: owned.Range},
		"own owner": {Shard: 1, Epoch: owned.Epoch, Range: middle, To: "a"},
		"no server": {Shard: 1, Epoch: owned.Epoch, Range: middle, To: "c"},
		"unowned":   {Shard: 2, Range: KeyRange{First: 1 << 63, Last: 1<<63 + 5}},
	} {
		if count := split(part); count != 2 {
			t.Errorf("%s: %d shards", name, count)
		}
	}
	if count := split(good); count != 4 {
		t.Fatalf("want three parts and the other shard: %d", count)
	}
	next := uint64(0)
	for _, shard := range m.state.ShardsOf("s")[:3] {
		if shard.Owner != "a" || shard.Epoch != owned.Epoch || shard.Phase != ShardOwned || shard.Range.First != next {
			t.Errorf("part %+v, want it to begin at %d", shard, next)
		}
		next = shard.Range.Last + 1
	}
	part, _ := m.state.ShardAt("s", middle.First)
	hot := KeyRange{First: middle.First + 5, Last: middle.First + 5}
	if count := split(ShardPart{Shard: part.ID, Epoch: part.Epoch, Range: hot, To: "b"}); count != 6 {
		t.Fatalf("want the hot key in a shard of its own: %d shards", count)
	}
	if alone, _ := m.state.ShardAt("s", hot.First); alone.Range != hot || alone.Target != "b" || alone.Owner != "a" {
		t.Errorf("the hot key's shard: %+v", alone)
	}
}
