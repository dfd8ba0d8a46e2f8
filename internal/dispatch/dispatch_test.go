package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// fixedFleet reports fixed loads; Choose leaves out the servers in unavailable.
type fixedFleet struct {
	loads       map[state.ServerID]Load
	unavailable map[state.ServerID]bool
}

func (f fixedFleet) Load(server *state.Server) Load { return f.loads[server.ID] }

func (f fixedFleet) Choose(servers []*state.Server, _ time.Duration) []*state.Server {
	var usable []*state.Server
	for _, server := range servers {
		if !f.unavailable[server.ID] {
			usable = append(usable, server)
		}
	}
	return usable
}

func tableOf(t *testing.T, objects ...state.Object) *table.Table {
	t.Helper()
	digest := uint64(0)
	for _, object := range objects {
		digest ^= state.ObjectDigest(object)
	}
	builder := table.NewBuilder()
	part := message.TableSnapshot{Cluster: "c", Revision: 1, Objects: objects, Digest: digest, First: true, Last: true}
	if _, err := builder.ApplySnapshot(part); err != nil {
		t.Fatal(err)
	}
	return builder.Table()
}

func server(id state.ServerID, zone string, change func(*state.Server)) state.Object {
	result := &state.Server{ID: id, Service: "s", Zone: zone, Slots: 2, Intent: state.ServerActive, Session: state.Session{Number: 1, Open: true}}
	if change != nil {
		change(result)
	}
	return state.Object{Server: result}
}

func shard(phase state.ShardPhase, epoch state.Epoch) state.Object {
	return state.Object{Shard: &state.Shard{
		ID: 5, Service: "s", Range: state.KeyRange{Last: ^uint64(0)}, Phase: phase, Owner: "a", Epoch: epoch,
	}}
}

func planner(seed uint64) *Planner {
	random := rand.New(rand.NewPCG(seed, 0))
	return NewPlanner(DefaultSettings("z1"), random.IntN)
}

func TestKeyedDecisions(t *testing.T) {
	owner := server("a", "z1", nil)
	closed := server("a", "z1", func(s *state.Server) { s.Session.Open = false })
	refused := func(epoch state.Epoch, waiting bool) *History {
		return &History{Waiting: waiting, Attempts: []Attempt{{Server: "a", Shard: 5, Epoch: epoch, Kind: fault.WrongEpoch, NotBefore: 50}}}
	}
	ownerWait := DefaultSettings("").OwnerWait
	for name, c := range map[string]struct {
		objects []state.Object
		history *History
		now     time.Duration
		want    Decision
	}{
		"owned":               {[]state.Object{owner, shard(state.ShardOwned, 3)}, &History{}, 0, Decision{Action: Send, Epoch: 3}},
		"revoking":            {[]state.Object{owner, shard(state.ShardRevoking, 3)}, &History{}, 1, Decision{Action: Wait, Until: 1 + ownerWait, Buffered: true}},
		"unowned":             {[]state.Object{shard(state.ShardUnowned, 3)}, &History{Waiting: true}, 1, Decision{Action: Wait, Until: ownerWait, Buffered: true}},
		"session closed":      {[]state.Object{closed, shard(state.ShardOwned, 3)}, &History{}, 0, Decision{Action: Wait, Until: ownerWait, Buffered: true}},
		"no shard, too long":  {nil, &History{Waiting: true}, ownerWait, Decision{Action: Refuse, Kind: fault.NoOwner}},
		"backs off":           {[]state.Object{owner, shard(state.ShardOwned, 3)}, refused(3, false), 10, Decision{Action: Wait, Until: 50, Buffered: true}},
		"after the back-off":  {[]state.Object{owner, shard(state.ShardOwned, 3)}, refused(3, true), 50, Decision{Action: Send, Epoch: 3}},
		"new epoch, at once":  {[]state.Object{owner, shard(state.ShardOwned, 4)}, refused(3, true), 10, Decision{Action: Send, Epoch: 4}},
		"same owner too long": {[]state.Object{owner, shard(state.ShardOwned, 3)}, refused(3, true), ownerWait, Decision{Action: Refuse, Kind: fault.WrongEpoch}},
		"deadline":            {[]state.Object{owner, shard(state.ShardOwned, 3)}, &History{}, time.Minute, Decision{Action: Refuse, Kind: fault.DeadlineBeforeStart}},
	} {
		request := &Request{Service: "s", Keyed: true, KeyHash: 9, Deadline: time.Minute}
		got := planner(1).Plan(c.now, tableOf(t, c.objects...), fixedFleet{}, request, c.history)
		got.Detail = ""
		if got.Action == Send && (got.Server.ID != "a" || got.Shard != 5) {
			t.Errorf("%s: sent to %v", name, got.Server)
		}
		got.Server, got.Shard = nil, 0
		if got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// countChoices plans 1000 requests without keys and returns how many went to each server.
func countChoices(t *testing.T, fleet fixedFleet, history *History, objects ...state.Object) map[state.ServerID]int {
	t.Helper()
	request := &Request{Service: "s", Deadline: time.Minute}
	counts := make(map[state.ServerID]int)
	plan := planner(3)
	current := tableOf(t, objects...)
	for range 1000 {
		decision := plan.Plan(0, current, fleet, request, history)
		if decision.Action != Send {
			t.Fatalf("got %+v", decision)
		}
		counts[decision.Server.ID]++
	}
	return counts
}

func TestFreeServersInServiceOnly(t *testing.T) {
	all := []state.Object{
		server("a", "z1", nil), server("b", "z1", func(s *state.Server) { s.Leaving = true }),
		server("c", "z1", func(s *state.Server) { s.Intent = state.ServerRetiring }),
		server("d", "z1", func(s *state.Server) { s.Session.Open = false }), server("e", "z1", nil), server("f", "z1", nil),
	}
	fleet := fixedFleet{unavailable: map[state.ServerID]bool{"f": true}}
	if counts := countChoices(t, fleet, &History{}, all...); len(counts) != 2 || counts["a"] == 0 || counts["e"] == 0 {
		t.Errorf("got %v", counts)
	}
	tried := &History{Attempts: []Attempt{{Server: "a", Kind: fault.ConnectFailed}}}
	if counts := countChoices(t, fleet, tried, all...); counts["e"] != 1000 {
		t.Errorf("after a failure at a: got %v", counts)
	}
	none := planner(1).Plan(0, tableOf(t, all[1:4]...), fleet, &Request{Service: "s", Deadline: time.Minute}, &History{})
	if none.Action != Wait || !none.Buffered {
		t.Errorf("no server: got %+v", none)
	}
}

func TestLeastLoadedZoneAndRampUp(t *testing.T) {
	warm := func(inFlight int) Load { return Load{InFlight: inFlight, Limit: 10, Age: time.Hour} }
	cold := Load{InFlight: 1, Limit: 10, Age: time.Second}
	near, near2, far := server("a", "z1", nil), server("b", "z1", nil), server("c", "z2", nil)
	for name, c := range map[string]struct {
		loads map[state.ServerID]Load
		want  state.ServerID
	}{
		"less loaded of two":       {map[state.ServerID]Load{"a": warm(5), "b": warm(4), "c": warm(0)}, "b"},
		"cold counts as fuller":    {map[state.ServerID]Load{"a": cold, "b": warm(3), "c": warm(0)}, "b"},
		"reports only break ties":  {map[state.ServerID]Load{"a": {InFlight: 2, Limit: 10, Age: time.Hour}, "b": {InFlight: 1, Limit: 10, Age: time.Hour, Reported: 9}, "c": warm(0)}, "b"},
		"other zone when all full": {map[state.ServerID]Load{"a": warm(9), "b": warm(9), "c": warm(1)}, "c"},
	} {
		counts := countChoices(t, fixedFleet{loads: c.loads}, &History{}, near, near2, far)
		rest := 1000 - counts[c.want]
		// Two of the three candidates are drawn, so the best one is left out one time in three.
		if within := name != "other zone when all full"; (within && rest != 0) || rest > 400 {
			t.Errorf("%s: got %v", name, counts)
		}
	}
}

func TestGiveUpNeverHidesAnUnknownOutcome(t *testing.T) {
	lost := &History{Attempts: []Attempt{{Kind: fault.ConnectionLost}, {Kind: fault.WrongEpoch}}}
	notRun := &History{Attempts: []Attempt{{Kind: fault.WrongEpoch}}}
	for _, kind := range fault.Kinds() {
		if got := FinalKind(notRun, kind); got != kind {
			t.Errorf("%s became %s", kind, got)
		}
		if got := FinalKind(lost, kind); fault.AnswerFor(got).Outcome == fault.NotRun {
			t.Errorf("%s after a lost connection says not run", kind)
		}
	}
}
