package capacity

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/bench/rig"
)

// TestFitFindsTheLine: the slope of one sweep rests on its own rows alone, and
// a measure that never changes can still be written as JSON.
func TestFitFindsTheLine(t *testing.T) {
	var rows []Row
	for _, servers := range []int{100, 200, 400} {
		rows = append(rows, Row{Sweep: SweepServers, Point: Point{Servers: servers}, LeaderCores: 0.5 + 0.01*float64(servers)})
		rows = append(rows, Row{Sweep: SweepRouters, Point: Point{Routers: servers}, LeaderCores: 99})
	}
	slopes := fit(rows)
	found := false
	for _, slope := range slopes {
		if slope.Name != "leader processor time, steady" || slope.Sweep != SweepServers {
			continue
		}
		found = true
		if math.Abs(slope.Base-0.5) > 1e-9 || math.Abs(slope.Each-0.01) > 1e-9 || math.Abs(slope.RSquared-1) > 1e-9 {
			t.Errorf("got %+v", slope)
		}
	}
	if !found {
		t.Error("no slope of the leader's processor time")
	}
	if _, err := json.Marshal(slopes); err != nil {
		t.Error(err)
	}
	if got := len(fit(rows[:4])); got != 0 {
		t.Errorf("%d slopes from two points, want none", got)
	}
}

func TestSummaryTakesTheLaterOfGrantAndTable(t *testing.T) {
	got := summarise([]rig.Loss{
		{Shards: 5, Closed: 600 * time.Millisecond, Owned: 610 * time.Millisecond, Granted: 640 * time.Millisecond, Everywhere: 612 * time.Millisecond},
		{Shards: 5, Closed: 700 * time.Millisecond, Owned: 710 * time.Millisecond, Granted: 720 * time.Millisecond, Everywhere: 950 * time.Millisecond},
		{Shards: 5, Closed: 500 * time.Millisecond, Owned: 510 * time.Millisecond, Granted: 520 * time.Millisecond, Everywhere: 512 * time.Millisecond},
	})
	if got.TotalMs != 640 || got.TotalMaxMs != 950 || got.ClosedMs != 600 || got.GrantedMs != 20 {
		t.Errorf("got %+v", got)
	}
}

// TestPartsMeasure: the parts agree with each other at a small size.
func TestPartsMeasure(t *testing.T) {
	parts, err := measureParts(20, 600)
	if err != nil {
		t.Fatal(err)
	}
	if parts.TableBytes < 50 || parts.DeltaBytes < 50 || parts.TickMicroseconds <= 0 || parts.SnapshotMB <= 0 {
		t.Errorf("got %+v", parts)
	}
}
