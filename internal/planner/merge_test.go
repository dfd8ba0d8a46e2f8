package planner

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// noHandoverTimes implements HandoverTimes without any measurement.
type noHandoverTimes struct{}

func (noHandoverTimes) Expected(state.ServiceName) (time.Duration, bool) { return 0, false }

// ownedShards returns a state with service s and four shards: server a owns the
// first two and b the third; the last has no owner.
func ownedShards() *state.State {
	view := state.New()
	operations := []state.Operation{{PutService: &state.Service{Name: "s", Keyed: true}}}
	for _, id := range []state.ServerID{"a", "b"} {
		operations = append(operations, state.Operation{PutServer: &state.Server{ID: id, Service: "s", Intent: state.ServerActive}})
	}
	operations = append(operations, state.Operation{CreateShards: &state.CreateShards{Service: "s", Count: 4}})
	for index, command := range []state.Command{
		{StorePlan: &state.StorePlan{Plan: state.Plan{ID: "p", Operations: operations}}},
		{ConfirmPlan: &state.ConfirmPlan{Plan: "p"}},
		{OpenSession: &state.OpenSession{Server: "a", Incarnation: "i"}},
		{OpenSession: &state.OpenSession{Server: "b", Incarnation: "i"}},
		{AssignShards: &state.AssignShards{Assignments: []state.ShardAssignment{
			{Shard: 1, Server: "a", Session: 1}, {Shard: 2, Server: "a", Session: 1}, {Shard: 3, Server: "b", Session: 1},
		}}},
	} {
		view.Apply(uint64(index+1), command)
	}
	return view
}

func TestPlanOfMerge(t *testing.T) {
	view := ownedShards()
	build := func(first, second state.ShardID) (state.Plan, error) {
		return Build(view, noHandoverTimes{}, state.Intent{ID: "i", Kind: state.IntentMergeShards,
			MergeShards: &state.MergeNeighbours{Service: "s", First: first, Second: second}})
	}
	plan, err := build(2, 1)
	want := state.ShardMerge{First: state.ShardEpoch{Shard: 1, Epoch: 1}, Second: state.ShardEpoch{Shard: 2, Epoch: 1}, Owner: "a", Session: 1}
	if err != nil || len(plan.Operations) != 1 || *plan.Operations[0].MergeShards != want || plan.Prediction.Churn != 0 {
		t.Fatalf("plan %+v, error %v, want a single merge of shards 1 and 2 without churn", plan, err)
	}
	for _, c := range []struct {
		first, second state.ShardID
		want          fault.Kind
	}{{1, 1, fault.InvalidArgument}, {1, 3, fault.InvalidArgument}, {2, 3, fault.Conflict}, {3, 4, fault.Conflict}, {1, 9, fault.NotFound}} {
		if _, err := build(c.first, c.second); !fault.Is(err, c.want) {
			t.Errorf("merge of shards %d and %d: error %v, want %s", c.first, c.second, err, c.want)
		}
	}
}

func TestPolicyOfMergesIsChecked(t *testing.T) {
	for _, policy := range []state.PlacementPolicy{{Merge: true, MinShards: 4}, {Automatic: true, Merge: true}, {MinShards: -1}} {
		if err := checkPlacement("placement", policy); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("policy %+v: error %v, want invalid_argument", policy, err)
		}
	}
}
