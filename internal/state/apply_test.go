package state

import (
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// machine applies commands at increasing log indexes.
type machine struct {
	t     *testing.T
	state *State
	index uint64
}

func newMachine(t *testing.T) *machine {
	return &machine{t: t, state: New()}
}

func (m *machine) apply(command Command) Result {
	m.t.Helper()
	m.index++
	return m.state.Apply(m.index, command)
}

func (m *machine) confirm(id PlanID, operations ...Operation) Result {
	m.t.Helper()
	stored := m.apply(Command{StorePlan: &StorePlan{Plan: Plan{ID: id, Intent: Intent{ID: IntentID(id)}, Operations: operations}}})
	if stored.Err != nil {
		m.t.Fatalf("store plan %s: %v", id, stored.Err)
	}
	return m.apply(Command{ConfirmPlan: &ConfirmPlan{Plan: id}})
}

// withService returns a machine with service s, two servers with open sessions and the
// given shards.
func withService(t *testing.T, shards int) *machine {
	t.Helper()
	m := newMachine(t)
	operations := []Operation{{PutService: &Service{Name: "s", Keyed: true, MaxMoves: 4}}}
	for _, id := range []ServerID{"a", "b"} {
		operations = append(operations, Operation{PutServer: &Server{ID: id, Service: "s", Intent: ServerActive}})
	}
	operations = append(operations, Operation{CreateShards: &CreateShards{Service: "s", Count: shards}})
	if result := m.confirm("create", operations...); result.Err != nil {
		t.Fatal(result.Err)
	}
	for _, id := range []ServerID{"a", "b"} {
		m.apply(Command{OpenSession: &OpenSession{Server: id, Incarnation: "i-" + string(id)}})
	}
	return m
}

func (m *machine) assign(shard ShardID, server ServerID) {
	m.t.Helper()
	current, _ := m.state.Shard(shard)
	owner, _ := m.state.Server(server)
	m.apply(Command{AssignShards: &AssignShards{Assignments: []ShardAssignment{{
		Shard: shard, Epoch: current.Epoch, Server: server, Session: owner.Session.Number,
	}}}})
}

func TestShardsCoverTheKeySpace(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("each hash lies in exactly one shard", prop.ForAll(func(count int, hash uint64) bool {
		m := withService(t, count)
		shards := m.state.ShardsOf("s")
		if shards[0].Range.First != 0 || shards[count-1].Range.Last != math.MaxUint64 {
			return false
		}
		for position := 1; position < count; position++ {
			if shards[position].Range.First != shards[position-1].Range.Last+1 {
				return false
			}
		}
		found, ok := m.state.ShardAt("s", hash)
		return ok && found.Range.Contains(hash)
	}, gen.IntRange(1, 300), gen.UInt64()))
	properties.TestingRun(t)
}

func TestMoveTakesTwoSteps(t *testing.T) {
	m := withService(t, 1)
	m.assign(1, "a")
	m.apply(Command{RevokeShards: &RevokeShards{Moves: []MoveShard{{Shard: 1, Epoch: 1, From: "a", To: "b"}}}})
	m.assign(1, "b")
	if shard, _ := m.state.Shard(1); shard.Owner != "a" || shard.Phase != ShardRevoking {
		t.Fatalf("a shard was reassigned before its owner released it: %+v", shard)
	}
	m.apply(Command{ReleaseShards: &ReleaseShards{Server: "a", Shards: []ShardEpoch{{Shard: 1, Epoch: 1}}}})
	m.assign(1, "b")
	if shard, _ := m.state.Shard(1); shard.Owner != "b" || shard.Epoch != 2 {
		t.Fatalf("after the release: %+v", shard)
	}
}

func TestStaleCommandsChangeNothing(t *testing.T) {
	m := withService(t, 1)
	m.assign(1, "a")
	before := m.state.Digest()
	stale := []Command{
		{CloseSession: &CloseSession{Server: "a", Session: 7}},
		{OpenSession: &OpenSession{Server: "a", Incarnation: "x", After: 0}},
		{ReleaseShards: &ReleaseShards{Server: "a", Shards: []ShardEpoch{{Shard: 1, Epoch: 1}}}},
		{AssignShards: &AssignShards{Assignments: []ShardAssignment{{Shard: 1, Epoch: 1, Server: "b", Session: 1}}}},
		{RevokeShards: &RevokeShards{Moves: []MoveShard{{Shard: 1, Epoch: 9, To: "b"}}}},
		{RetireServerDone: &RetireServerDone{Server: "a"}},
		{},
	}
	for position, command := range stale {
		m.apply(command)
		if m.state.Digest() != before {
			t.Errorf("stale command %d changed the table", position)
		}
	}
}

func TestClosedSessionFreesShardsAndNumbersRise(t *testing.T) {
	m := withService(t, 2)
	m.assign(1, "a")
	m.apply(Command{CloseSession: &CloseSession{Server: "a", Session: 1}})
	shard, _ := m.state.Shard(1)
	if shard.Phase != ShardUnowned || shard.Owner != "" || shard.Epoch != 1 {
		t.Fatalf("after the session closed: %+v", shard)
	}
	m.assign(1, "a")
	if shard, _ := m.state.Shard(1); shard.Owner != "" {
		t.Fatal("a shard was assigned to a server without an open session")
	}
	m.apply(Command{OpenSession: &OpenSession{Server: "a", Incarnation: "new", After: 1}})
	if server, _ := m.state.Server("a"); server.Session.Number != 2 {
		t.Fatalf("session number %d was used before", server.Session.Number)
	}
}

func TestIsolateKeyKeepsOwnerAndCoverage(t *testing.T) {
	for _, hash := range []uint64{0, 1, 1 << 40, math.MaxUint64 - 1, math.MaxUint64} {
		m := withService(t, 1)
		m.assign(1, "a")
		result := m.confirm("move", Operation{IsolateKey: &IsolateKey{Shard: 1, Epoch: 1, Hash: hash, To: "b"}})
		if result.Err != nil {
			t.Fatal(result.Err)
		}
		moved, _ := m.state.ShardAt("s", hash)
		if moved.Range != (KeyRange{First: hash, Last: hash}) || moved.Target != "b" || moved.Owner != "a" {
			t.Errorf("hash %d: %+v", hash, moved)
		}
		next := uint64(0)
		for _, shard := range m.state.ShardsOf("s") {
			if shard.Range.First != next || shard.Owner != "a" || shard.Epoch != 1 {
				t.Errorf("hash %d: gap or changed owner at %+v", hash, shard)
			}
			next = shard.Range.Last + 1
		}
	}
}

func TestIntentAnswers(t *testing.T) {
	m := withService(t, 1)
	m.assign(1, "a")
	intent := Intent{ID: "i", Operator: "first", Kind: IntentMoveKey, MoveKey: &MoveKey{Service: "s", Key: "k"}}
	plan := Plan{ID: "i", Intent: intent, Digest: "d", Operations: []Operation{{MoveShard: &MoveShard{Shard: 1, Epoch: 1, From: "a", To: "b"}}}}
	m.apply(Command{StorePlan: &StorePlan{Plan: plan}})
	resent := plan
	resent.Intent.Operator = "second"
	resent.Digest = "other"
	if answer := m.apply(Command{StorePlan: &StorePlan{Plan: resent}}); answer.Err != nil || answer.Plan.Digest != "d" {
		t.Errorf("a retry must get the original answer: %+v", answer)
	}
	other := plan
	other.Intent.MoveKey = &MoveKey{Service: "s", Key: "another"}
	if answer := m.apply(Command{StorePlan: &StorePlan{Plan: other}}); answer.Err == nil || answer.Err.Kind != fault.Conflict {
		t.Errorf("the same identifier with different content must conflict: %+v", answer)
	}
	if answer := m.apply(Command{ConfirmPlan: &ConfirmPlan{Plan: "i", Digest: "wrong"}}); answer.Err == nil || answer.Err.Kind != fault.Conflict {
		t.Errorf("a different digest must conflict: %+v", answer)
	}
	first := m.apply(Command{ConfirmPlan: &ConfirmPlan{Plan: "i", Digest: "d"}})
	again := m.apply(Command{ConfirmPlan: &ConfirmPlan{Plan: "i", Digest: "d"}})
	if first.Err != nil || again.Err != nil || again.Plan.Accepted != first.Plan.Accepted || len(again.Changed) != 0 {
		t.Errorf("a repeated confirmation must get the original answer: %+v then %+v", first, again)
	}
}

func TestPlansThatRestOnOldStateAreStale(t *testing.T) {
	m := withService(t, 1)
	m.assign(1, "a")
	move := Operation{MoveShard: &MoveShard{Shard: 1, Epoch: 1, From: "a", To: "b"}}
	for _, id := range []PlanID{"one", "two"} {
		m.apply(Command{StorePlan: &StorePlan{Plan: Plan{ID: id, Intent: Intent{ID: IntentID(id)}, Operations: []Operation{move}}}})
	}
	if first := m.apply(Command{ConfirmPlan: &ConfirmPlan{Plan: "one"}}); first.Err != nil {
		t.Fatal(first.Err)
	}
	second := m.apply(Command{ConfirmPlan: &ConfirmPlan{Plan: "two"}})
	if second.Err == nil || second.Err.Kind != fault.StalePlan || len(second.Changed) != 0 {
		t.Errorf("the second plan must be stale, because its shard is already moving: %+v", second)
	}
}

func TestSnapshotRestoresEverything(t *testing.T) {
	m := withService(t, 5)
	m.assign(1, "a")
	m.assign(2, "b")
	m.apply(Command{RevokeShards: &RevokeShards{Moves: []MoveShard{{Shard: 2, Epoch: 1, To: "a"}}}})
	encoded, err := m.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if restored.Digest() != m.state.Digest() || restored.Revision() != m.state.Revision() {
		t.Error("digest or revision differs after the restore")
	}
	if restored.AssignmentVersion("b") != m.state.AssignmentVersion("b") || len(restored.ActiveShards()) != len(m.state.ActiveShards()) {
		t.Error("an index differs after the restore")
	}
	command := Command{ReleaseShards: &ReleaseShards{Server: "b", Shards: []ShardEpoch{{Shard: 2, Epoch: 1}}}}
	m.state.Apply(100, command)
	restored.Apply(100, command)
	if restored.Digest() != m.state.Digest() {
		t.Error("the same command led to different states")
	}
}
