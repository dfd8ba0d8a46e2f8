package placement

import (
	"math"
	"testing"
	"time"
)

// A shard is merged only after it has been cold for MergeRest, so that splits and
// merges do not alternate.
func TestMergesWaitUntilShardsStayCold(t *testing.T) {
	problem := problemWithLoads([]float64{0.01, 0.01, 1}, []float64{0.51, 0.51})
	problem.Limits.MinShards = 4
	rest := problem.Limits.MergeRest
	layout := NewLayout(problem.Weights, problem.Limits)
	for _, server := range problem.Servers {
		layout.PutServer(server)
	}
	for _, shard := range problem.Shards {
		layout.PutShard(now, shard)
	}
	countMerges := func(at time.Duration) int { return len(layout.Decide(at).Merges) }
	if count := countMerges(now + rest - time.Second); count != 0 {
		t.Fatalf("%d merges of shards that were added less than MergeRest ago, want 0", count)
	}
	if count := countMerges(now + rest); count != 1 {
		t.Fatalf("%d merges of shards that have been cold for MergeRest, want 1", count)
	}
	layout.SetLoad(2, 1, 0, 0)
	layout.SetLoad(2, 0.01, 0, 0)
	if count := countMerges(now + 2*rest - time.Second); count != 0 {
		t.Errorf("%d merges of a shard that was busy less than MergeRest ago, want 0", count)
	}
	if count := countMerges(now + 2*rest); count != 1 {
		t.Errorf("%d merges of a shard that has been cold for MergeRest again, want 1", count)
	}
	layout.MergeShard(1, 2)
	if shard, _ := layout.Shard(1); math.Abs(shard.Load-0.02) > 1e-9 || countMerges(now+3*rest) != 0 {
		t.Errorf("the merged shard is %+v, want a load of 0.02 and no further merges at MinShards", shard)
	}
}

// A key that was split off and is cold again moves back to its neighbours' owner,
// but not within the window after it left that owner.
func TestColdKeyGoesBack(t *testing.T) {
	problem := problemWithLoads([]float64{1, 1}, []float64{0.001, 1, 1})
	key := &problem.Shards[2]
	key.Range.Last = key.Range.First
	problem.Limits.MinShards = 1
	moves := Decide(problem).Moves
	if len(moves) != 0 {
		t.Fatalf("a key next to a busy shard moved: %+v", moves)
	}
	problem.Shards[1].Load = 0.001
	moves = Decide(problem).Moves
	if len(moves) != 1 || moves[0].Shard != key.ID || moves[0].To != "s0" || moves[0].Reason != ReasonReunite {
		t.Fatalf("moves %+v, want the key to move back to s0", moves)
	}
	problem.History = []RecentMove{{Range: key.Range, From: "s0", At: now - 30*time.Minute}}
	if moves = Decide(problem).Moves; len(moves) != 0 {
		t.Errorf("the key moved back within the window: %+v", moves)
	}
	problem.History = nil
	problem.Limits.MinShards = len(problem.Shards)
	if moves = Decide(problem).Moves; len(moves) != 0 {
		t.Errorf("the key moved back although MinShards allows no merge: %+v", moves)
	}
	if problem.Limits.MinShards = 0; len(Decide(problem).Moves) != 0 {
		t.Error("the key moved back although MinShards is not set")
	}
}
