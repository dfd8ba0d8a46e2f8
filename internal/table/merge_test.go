package table

import (
	"math"
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestMergeIsOneRevision checks that a merge arrives as one delta: the next table
// has one shard less and the remaining one wider, with the digest of the state,
// and the earlier table still has both shards.
func TestMergeIsOneRevision(t *testing.T) {
	view := state.New()
	index := uint64(0)
	apply := func(command state.Command) state.Result {
		index++
		return view.Apply(index, command)
	}
	apply(state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: "p", Operations: []state.Operation{
		{PutService: &state.Service{Name: service, Keyed: true, Placement: state.PlacementPolicy{Automatic: true, Merge: true}}},
		{PutServer: &state.Server{ID: "s1", Service: service, Intent: state.ServerActive}},
		{CreateShards: &state.CreateShards{Service: service, Count: 4}},
	}}}})
	apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: "p"}})
	apply(state.Command{OpenSession: &state.OpenSession{Server: "s1", Incarnation: "i"}})
	apply(state.Command{AssignShards: &state.AssignShards{Assignments: []state.ShardAssignment{
		{Shard: 2, Server: "s1", Session: 1}, {Shard: 3, Server: "s1", Session: 1},
	}}})
	builder := NewBuilder()
	snapshot := message.TableSnapshot{Cluster: "c", Revision: view.Revision(), Digest: view.Digest(), Objects: view.Objects(), First: true, Last: true}
	if _, err := builder.ApplySnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	before, from := builder.Table(), view.Revision()
	result := apply(state.Command{MergeShards: &state.MergeShards{Merges: []state.ShardMerge{{
		First: state.ShardEpoch{Shard: 2, Epoch: 1}, Second: state.ShardEpoch{Shard: 3, Epoch: 1}, Owner: "s1", Session: 1,
	}}}})
	if err := builder.ApplyDelta(message.TableDelta{From: from, To: view.Revision(), Objects: result.Changed, Digest: view.Digest()}); err != nil {
		t.Fatal(err)
	}
	const hashInThirdShard = math.MaxUint64/2 + 5
	old, _ := before.Lookup(service, hashInThirdShard)
	merged, _ := builder.Table().Lookup(service, hashInThirdShard)
	if old.ID != 3 || merged.ID != 2 || merged.Epoch != 2 || merged.Owner != "s1" || builder.Table().Summary().Shards != 3 {
		t.Errorf("before %+v, after %+v, %d shards", old, merged, builder.Table().Summary().Shards)
	}
}
