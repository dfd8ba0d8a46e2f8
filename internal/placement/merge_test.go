package placement

import (
	"math"
	"testing"
	"time"
)

// A shard is merged only after it has been cold for MergeRest.
func TestMergesWaitUntilShardsStayCold(t *testing.T) {
	problem := uniform([]float64{0.01, 0.01, 1}, []float64{0.51, 0.51})
	problem.Limits.MinShards = 4
	rest := problem.Limits.MergeRest
	layout := NewLayout(problem.Weights, problem.Limits)
	for _, server := range problem.Servers {
		layout.PutServer(server)
	}
	for _, shard := range problem.Shards {
		layout.PutShard(now, shard)
	}
	merges := func(at time.Duration) int { return len(layout.Decide(at).Merges) }
	if count := merges(now + rest - time.Second); count != 0 {
		t.Fatalf("%d merges of shards that are not known for long", count)
	}
	if count := merges(now + rest); count != 1 {
		t.Fatalf("%d merges of cold shards, want 1", count)
	}
	layout.SetLoad(2, 1, 0, 0)
	layout.SetLoad(2, 0.01, 0, 0)
	if count := merges(now + 2*rest - time.Second); count != 0 {
		t.Errorf("%d merges of a shard that was busy a while ago", count)
	}
	if count := merges(now + 2*rest); count != 1 {
		t.Errorf("%d merges once it was cold again, want 1", count)
	}
	layout.MergeShard(1, 2)
	if shard, _ := layout.Shard(1); math.Abs(shard.Load-0.02) > 1e-9 || merges(now+3*rest) != 0 {
		t.Errorf("the merged shard %+v, or merges below the least number", shard)
	}
}

// A key that was split off and is cold again goes back to its neighbours' owner,
// but not within the window in which it left.
func TestColdKeyGoesBack(t *testing.T) {
	problem := uniform([]float64{1, 1}, []float64{0.001, 1, 1})
	key := &problem.Shards[2]
	key.Range.Last = key.Range.First
	problem.Limits.MinShards = 1
	moves := Decide(problem).Moves
	if len(moves) != 0 {
		t.Fatalf("a key beside a busy shard moved: %+v", moves)
	}
	problem.Shards[1].Load = 0.001
	moves = Decide(problem).Moves
	if len(moves) != 1 || moves[0].Shard != key.ID || moves[0].To != "s0" || moves[0].Reason != ReasonReunite {
		t.Fatalf("want the key to go back: %+v", moves)
	}
	problem.History = []RecentMove{{Range: key.Range, From: "s0", At: now - 30*time.Minute}}
	if moves = Decide(problem).Moves; len(moves) != 0 {
		t.Errorf("it went back within the window: %+v", moves)
	}
	problem.History = nil
	problem.Limits.MinShards = len(problem.Shards)
	if moves = Decide(problem).Moves; len(moves) != 0 {
		t.Errorf("it went back where no merge may follow: %+v", moves)
	}
	if problem.Limits.MinShards = 0; len(Decide(problem).Moves) != 0 {
		t.Error("it went back without a policy of merges")
	}
}
