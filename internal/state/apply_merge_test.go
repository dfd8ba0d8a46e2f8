package state

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// mergeOf returns the merge of a shard with the next one at their current epochs.
func (m *machine) mergeOf(first Shard) ShardMerge {
	second, _ := m.state.ShardAt(first.Service, first.Range.Last+1)
	owner, _ := m.state.Server(first.Owner)
	return ShardMerge{
		First: ShardEpoch{first.ID, first.Epoch}, Second: ShardEpoch{second.ID, second.Epoch},
		Owner: owner.ID, Session: owner.Session.Number,
	}
}

// mergeAt merges a shard with the next one, if the state allows it.
func (m *machine) mergeAt(first Shard) {
	merge := m.mergeOf(first)
	m.confirm(PlanID(rune('k'+m.index)), Operation{MergeShards: &merge})
}

// withMerges returns a service with four shards, the first three owned by a at the
// epochs 1, 2 and 1, and a policy that allows merges down to three shards.
func withMerges(t *testing.T) *machine {
	m := withService(t, 4)
	for _, shard := range []ShardID{1, 2, 3} {
		m.assign(shard, "a")
	}
	m.assign(4, "b")
	m.apply(Command{RevokeShards: &RevokeShards{Moves: []MoveShard{{Shard: 2, Epoch: 1, From: "a", To: "a"}}}})
	m.apply(Command{ReleaseShards: &ReleaseShards{Server: "a", Shards: []ShardEpoch{{2, 1}}}})
	m.assign(2, "a")
	service, _ := m.state.Service("s")
	service.Placement = PlacementPolicy{Automatic: true, Merge: true, MinShards: 3}
	m.confirm("policy", Operation{PutService: &service})
	return m
}

func (m *machine) merge(merges ...ShardMerge) Result {
	return m.apply(Command{MergeShards: &MergeShards{Merges: merges}})
}

func TestMergeShards(t *testing.T) {
	m := withMerges(t)
	good := ShardMerge{First: ShardEpoch{1, 1}, Second: ShardEpoch{2, 2}, Owner: "a", Session: 1}
	result := m.merge(good)
	if result.Err != nil || len(result.Changed) != 2 {
		t.Fatalf("%+v", result)
	}
	merged, _ := m.state.ShardAt("s", math.MaxUint64/4+1)
	if merged.ID != 1 || merged.Epoch != 3 || merged.Owner != "a" || merged.Range.First != 0 || merged.Range.Last != math.MaxUint64/2 {
		t.Errorf("merged: %+v", merged)
	}
	if _, found := m.state.Shard(2); found || m.state.OwnedCount("a") != 2 || m.state.AssignmentVersion("a") != merged.Revision {
		t.Errorf("the second shard still exists, or the assignment version of its owner did not change")
	}
	if result := m.merge(ShardMerge{First: ShardEpoch{1, 3}, Second: ShardEpoch{3, 1}, Owner: "a", Session: 1}); !fault.Is(result.Err, fault.Conflict) {
		t.Errorf("merged below the minimum number of shards: %+v", result)
	}
	m.assign(3, "a")
	if created := m.state.nextShard; created != 5 {
		t.Errorf("the next shard gets number %d", created)
	}
}

func TestMergeShardsIsRefused(t *testing.T) {
	m := withMerges(t)
	good := ShardMerge{First: ShardEpoch{1, 1}, Second: ShardEpoch{2, 2}, Owner: "a", Session: 1}
	changed := func(change func(*ShardMerge)) []ShardMerge {
		merge := good
		change(&merge)
		return []ShardMerge{merge}
	}
	for name, merges := range map[string][]ShardMerge{
		"old epoch of the first":  changed(func(m *ShardMerge) { m.First.Epoch = 0 }),
		"old epoch of the second": changed(func(m *ShardMerge) { m.Second.Epoch = 1 }),
		"other order":             changed(func(m *ShardMerge) { m.First, m.Second = m.Second, m.First }),
		"itself":                  changed(func(m *ShardMerge) { m.Second = m.First }),
		"not neighbours":          changed(func(m *ShardMerge) { m.Second = ShardEpoch{3, 1} }),
		"around the end":          changed(func(m *ShardMerge) { m.First, m.Second = ShardEpoch{4, 1}, m.First }),
		"other owner":             changed(func(m *ShardMerge) { m.First, m.Second = ShardEpoch{3, 1}, ShardEpoch{4, 1} }),
		"gone":                    changed(func(m *ShardMerge) { m.Second.Shard = 9 }),
		"other session":           changed(func(m *ShardMerge) { m.Session = 2 }),
		"twice":                   {good, good},
		"one of two":              {good, {First: ShardEpoch{3, 1}, Second: ShardEpoch{4, 1}, Owner: "a", Session: 1}},
	} {
		before := m.state.Digest()
		if result := m.merge(merges...); !fault.Is(result.Err, fault.Conflict) || m.state.Digest() != before {
			t.Errorf("%s: %v", name, result.Err)
		}
	}
	m.apply(Command{RevokeShards: &RevokeShards{Moves: []MoveShard{{Shard: 2, Epoch: 2, From: "a", To: "b"}}}})
	if result := m.merge(good); !fault.Is(result.Err, fault.Conflict) {
		t.Errorf("a moving shard: %v", result.Err)
	}
	service, _ := m.state.Service("s")
	service.Placement.Merge = false
	m.confirm("no merges", Operation{PutService: &service})
	if result := m.merge(m.mergeOf(Shard{ID: 1, Epoch: 1, Service: "s", Owner: "a"})); !fault.Is(result.Err, fault.Conflict) {
		t.Errorf("without a policy: %v", result.Err)
	}
}

func TestStalePlanOfMerge(t *testing.T) {
	m := withMerges(t)
	first, _ := m.state.Shard(1)
	merge := m.mergeOf(first)
	plan := Plan{ID: "merge", Operations: []Operation{{MergeShards: &merge}}}
	m.apply(Command{StorePlan: &StorePlan{Plan: plan}})
	m.apply(Command{CloseSession: &CloseSession{Server: "a", Session: 1}})
	before := m.state.Digest()
	if result := m.apply(Command{ConfirmPlan: &ConfirmPlan{Plan: "merge"}}); !fault.Is(result.Err, fault.StalePlan) || m.state.Digest() != before {
		t.Errorf("%v", result.Err)
	}
}

// coversKeySpace reports whether the shards cover the key space without gap or overlap.
func (m *machine) coversKeySpace() bool {
	next := uint64(0)
	shards := m.state.ShardsOf("s")
	for position, shard := range shards {
		last := position == len(shards)-1
		if shard.Range.First != next || shard.Range.Last < next || last != (shard.Range.Last == math.MaxUint64) {
			return false
		}
		next = shard.Range.Last + 1
	}
	return len(shards) > 0
}

// isSuccessor reports whether a key's shard is a valid successor of its previous shard:
// the epoch never decreases, and increases with a new owner and with a wider range.
func isSuccessor(before, after Shard) bool {
	moved := before.Owner != "" && after.Owner != "" && before.Owner != after.Owner
	if moved || after.Range.Width() > before.Range.Width() {
		return after.Epoch > before.Epoch
	}
	return after.Epoch >= before.Epoch
}

func TestSplitsMergesAndMovesKeepKeysFenced(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(12)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	merges := 0
	properties.Property("each key has one shard, at rising epochs", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		m := withService(t, 1+random.IntN(8))
		keys := map[uint64]Shard{0: {Range: KeyRange{Last: math.MaxUint64}}}
		for range 30 {
			keys[random.Uint64()] = Shard{Range: KeyRange{Last: math.MaxUint64}}
		}
		for range 80 {
			count := m.state.ShardCount("s")
			m.applyRandom(random)
			merges += max(count-m.state.ShardCount("s"), 0)
			for key, before := range keys {
				after, found := m.state.ShardAt("s", key)
				if !found || !m.coversKeySpace() || !isSuccessor(before, after) {
					t.Logf("seed %d: key %d goes from %+v to %+v", seed, key, before, after)
					return false
				}
				keys[key] = after
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
	if merges == 0 {
		t.Error("no shards were merged")
	}
}
