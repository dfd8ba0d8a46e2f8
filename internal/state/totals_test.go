package state

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// totalsMatch compares the totals with sums computed from every shard.
func totalsMatch(t *testing.T, view *State) bool {
	t.Helper()
	var counts PhaseCounts
	widths := make(map[ServerID]float64)
	for _, shard := range view.ShardsOf("s") {
		counts.add(shard.Phase, 1)
		widths[shard.Owner] += shard.Range.Width()
	}
	if got := view.PhaseCounts("s"); got != counts || got.All() != len(view.ShardsOf("s")) {
		t.Logf("phases: got %+v, want %+v", got, counts)
		return false
	}
	for _, server := range []ServerID{"a", "b"} {
		if got := view.OwnedWidth(server); math.Abs(got-widths[server]) > 1e-12 {
			t.Logf("width of %s: got %g, want %g", server, got, widths[server])
			return false
		}
	}
	return true
}

// applyRandom applies a random command to a shard or a server.
func (m *machine) applyRandom(random *rand.Rand) {
	servers := []ServerID{"a", "b"}
	server, other := servers[random.IntN(2)], servers[random.IntN(2)]
	shard, _ := m.state.ShardAt("s", random.Uint64())
	current, _ := m.state.Server(server)
	switch random.IntN(7) {
	case 0:
		m.apply(Command{AssignShards: &AssignShards{Assignments: []ShardAssignment{
			{Shard: shard.ID, Epoch: shard.Epoch, Server: server, Session: current.Session.Number},
		}}})
	case 1:
		m.apply(Command{RevokeShards: &RevokeShards{Moves: []MoveShard{{Shard: shard.ID, Epoch: shard.Epoch, From: shard.Owner, To: other}}}})
	case 2:
		m.apply(Command{ReleaseShards: &ReleaseShards{Server: shard.Owner, Shards: []ShardEpoch{{Shard: shard.ID, Epoch: shard.Epoch}}}})
	case 3:
		m.apply(Command{CloseSession: &CloseSession{Server: server, Session: current.Session.Number}})
	case 4:
		m.apply(Command{OpenSession: &OpenSession{Server: server, Incarnation: "i", After: current.Session.Number}})
	case 5:
		hash := shard.Range.First + random.Uint64N(max(1, shard.Range.Last-shard.Range.First))
		m.confirm(PlanID(rune('k'+m.index)), Operation{IsolateKey: &IsolateKey{Shard: shard.ID, Epoch: shard.Epoch, Hash: hash, To: other}})
	case 6:
		m.mergeAt(shard)
	}
}

func TestTotalsAgreeWithEveryShard(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("totals are sums over the shards", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 0))
		m := withService(t, 1+random.IntN(8))
		for range 60 {
			m.applyRandom(random)
			if !totalsMatch(t, m.state) {
				return false
			}
		}
		encoded, err := m.state.Encode()
		if err != nil {
			t.Log(err)
			return false
		}
		restored, err := Decode(encoded)
		return err == nil && totalsMatch(t, restored)
	}, gen.UInt64()))
	properties.TestingRun(t)
}
