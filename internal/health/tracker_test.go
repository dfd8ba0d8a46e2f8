package health

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

func servers(ids ...state.ServerID) []*state.Server {
	list := make([]*state.Server, 0, len(ids))
	for _, id := range ids {
		list = append(list, &state.Server{ID: id, Revision: 1})
	}
	return list
}

func wantChosen(t *testing.T, chosen []*state.Server, want ...state.ServerID) {
	t.Helper()
	got := make(map[state.ServerID]bool)
	for _, server := range chosen {
		got[server.ID] = true
	}
	if len(got) != len(want) || len(chosen) != len(want) {
		t.Fatalf("chosen %v, want %v", got, want)
	}
	for _, id := range want {
		if !got[id] {
			t.Fatalf("chosen %v, want %v", got, want)
		}
	}
}

func failUntilEjected(tracker *Tracker, id state.ServerID, now time.Duration) {
	for range DefaultSettings().Failures {
		tracker.Failed(id, now)
	}
}

func TestEjectionProbesAndComesBack(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	all := servers("a", "b", "c")
	tracker.Failed("a", 0)
	tracker.Failed("a", 0)
	wantChosen(t, tracker.Choose(all, 0), "a", "b", "c")
	if !tracker.Failed("a", 0) || tracker.Failed("a", 0) {
		t.Error("only the third failure must begin an ejection")
	}
	wantChosen(t, tracker.Choose(all, 0), "b", "c")
	wantChosen(t, tracker.Choose(all, time.Second), "a", "b", "c")
	tracker.Begin("a", time.Second)
	wantChosen(t, tracker.Choose(all, time.Second), "b", "c")
	if tracker.Failed("a", time.Second) {
		t.Error("a failed probe counts as a new ejection")
	}
	wantChosen(t, tracker.Choose(all, 3*time.Second-1), "b", "c")
	tracker.Begin("a", 3*time.Second)
	if !tracker.Succeeded("a") || tracker.Succeeded("a") {
		t.Error("only the first success must end the ejection")
	}
	wantChosen(t, tracker.Choose(all, 3*time.Second), "a", "b", "c")
}

func TestFloorKeepsHalfAndTheLast(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	for i, id := range []state.ServerID{"a", "b", "c", "d"} {
		failUntilEjected(tracker, id, time.Duration(i))
	}
	wantChosen(t, tracker.Choose(servers("a", "b", "c", "d"), 5), "a", "b")
	wantChosen(t, tracker.Choose(servers("d"), 5), "d")
}

func TestLyingHealthCannotEmptyTheSet(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	tracker.Hint("a", false)
	wantChosen(t, tracker.Choose(servers("a", "b"), 0), "b")
	tracker.Hint("b", false)
	wantChosen(t, tracker.Choose(servers("a", "b"), 0), "a", "b")
}

func TestDrainingGetsNoWorkUntilItsObjectChanges(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	all := servers("a", "b")
	tracker.MarkDraining(all[0])
	tracker.Succeeded("a")
	wantChosen(t, tracker.Choose(all, time.Hour), "b")
	wantChosen(t, tracker.Choose(all[:1], time.Hour))
	next := *all[0]
	next.Revision++
	wantChosen(t, tracker.Choose([]*state.Server{&next, all[1]}, 0), "a", "b")
	tracker.Forget(func(id state.ServerID) bool { return id == "b" })
	wantChosen(t, tracker.Choose(all, 0), "a", "b")
}
