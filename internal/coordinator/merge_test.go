package coordinator

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// busyFirstQuarter gives the first quarter of the key space a hundred times the
// load of the rest.
func busyFirstQuarter(keys state.KeyRange) float64 {
	if keys.First < 1<<62 {
		return 100 * keys.Width()
	}
	return keys.Width()
}

// Adjacent shards with low load are merged as the policy allows: down to the minimum
// number, at most MaxMoves at a time, and only once their loads have been known for
// some time.
func TestMergesFollowThePolicy(t *testing.T) {
	const least, bound = 7, 2
	l := &loadedFleet{fleet: newFleet(1, 16), weight: busyFirstQuarter, unreported: make(map[state.ShardID]float64)}
	l.fleet.report = l.report
	policy := func(merge bool) {
		service, _ := l.view.Service("s")
		service.MaxMoves = bound
		service.Placement = state.PlacementPolicy{Automatic: true, Merge: merge, MinShards: least}
		plan := state.Plan{ID: state.PlanID(time.Duration(l.index).String()), Operations: []state.Operation{{PutService: &service}}}
		l.apply(state.Command{StorePlan: &state.StorePlan{Plan: plan}})
		l.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
	}
	run := func(duration time.Duration) int {
		for end := l.now + duration; l.now < end; {
			before := l.view.ShardCount("s")
			l.tick()
			if merged := before - l.view.ShardCount("s"); merged > bound {
				t.Fatalf("%d merges at once", merged)
			}
		}
		return l.view.ShardCount("s")
	}
	policy(false)
	if count := run(6 * time.Minute); count != 16 {
		t.Fatalf("%d shards are left although the policy allows no merges, want 16", count)
	}
	l.core.Lead(l.now, 2, l.view)
	policy(true)
	if count := run(4 * time.Minute); count != 16 {
		t.Fatalf("%d shards are left under a new leader, which knows no loads yet, want 16", count)
	}
	if count := run(4 * time.Minute); count != least {
		t.Errorf("%d shards are left, want %d", count, least)
	}
	settled := l.view.Revision()
	if run(20 * time.Minute); l.view.Revision() != settled {
		t.Error("shards changed again although the load was constant")
	}
	busy, _ := l.view.ShardAt("s", 0)
	if busy.Epoch != 1 || busy.Range.Last != 1<<60-1 {
		t.Errorf("a busy shard was merged: %+v", busy)
	}
}
