package tablestream

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// addRouters adds routers to the state, at one revision each.
func addRouters(t *testing.T, history *History, to *state.State, count uint64) {
	t.Helper()
	for range count {
		index := uint64(to.Revision()) + 1
		router := state.Router{ID: state.RouterID(rune('a' + index)), Address: "127.0.0.1:1"}
		if result := history.Apply(to, index, state.Command{PutRouter: &state.PutRouter{Router: router}}); result.Err != nil {
			t.Fatal(result.Err)
		}
	}
}

// TestBegin checks whether a router gets a snapshot or changes, depending on the
// table that it reports.
func TestBegin(t *testing.T) {
	leaderState := state.New()
	history := NewHistory(10, 0)
	addRouters(t, history, leaderState, 5)
	table := Table{Cluster: "c", Revision: leaderState.Revision(), Digest: leaderState.Digest()}
	revision, digest := table.Revision, table.Digest
	for name, c := range map[string]struct {
		hello         message.RouterHello
		needsSnapshot bool
	}{
		"a damaged one":               {message.RouterHello{Cluster: "c", Revision: revision, Digest: digest, Resync: true}, true},
		"nothing":                     {message.RouterHello{Cluster: "c"}, true},
		"the same":                    {message.RouterHello{Cluster: "c", Revision: revision, Digest: digest}, false},
		"an older one":                {message.RouterHello{Cluster: "c", Revision: revision - 1, Digest: 1}, false},
		"the same revision, not same": {message.RouterHello{Cluster: "c", Revision: revision, Digest: digest + 1}, true},
		"a newer one":                 {message.RouterHello{Cluster: "c", Revision: revision + 1, Digest: digest}, true},
		"another cluster's":           {message.RouterHello{Cluster: "d", Revision: revision, Digest: digest}, true},
	} {
		position := Begin(c.hello, table)
		changes, _, reached := position.Next(history)
		if position.needsSnapshot != c.needsSnapshot || reached == c.needsSnapshot || (!c.needsSnapshot && position.Sent() != c.hello.Revision) {
			t.Errorf("%s: needs snapshot %v, reached %v from %d", name, position.needsSnapshot, reached, position.Sent())
		}
		if !c.needsSnapshot && len(changes) != int(revision-c.hello.Revision) {
			t.Errorf("%s: %d changes", name, len(changes))
		}
	}
}

// TestHistoryIsBounded checks that the history has no gap as far back as it
// reaches, that a router at an older revision needs a snapshot, that changes
// follow a snapshot older than the newest table, and that a reset discards all
// changes.
func TestHistoryIsBounded(t *testing.T) {
	const limit = 4
	leaderState := state.New()
	history := NewHistory(limit, 0)
	_, changed, _ := history.After(0)
	addRouters(t, history, leaderState, limit+1)
	select {
	case <-changed:
	default:
		t.Error("the channel was not closed at a change")
	}
	oldest := leaderState.Revision() - limit/2
	if history.Reaches(oldest - 1) {
		t.Error("the history reaches back beyond its limit")
	}
	position := Begin(message.RouterHello{}, Table{Cluster: "c", Revision: leaderState.Revision()})
	position.SentSnapshot(oldest)
	changes, _, reached := position.Next(history)
	if !reached || len(changes) != limit/2 {
		t.Fatalf("%d changes, reached %v", len(changes), reached)
	}
	for _, change := range changes {
		if change.Delta.From != position.Sent() {
			t.Errorf("a change from %d follows %d", change.Delta.From, position.Sent())
		}
		position.SentChange(change)
	}
	if position.Sent() != leaderState.Revision() || position.MinSnapshotRevision() != leaderState.Revision() {
		t.Errorf("sent up to %d of %d", position.Sent(), leaderState.Revision())
	}
	history.Reset(leaderState.Revision())
	if history.Reaches(leaderState.Revision()-1) || !history.Reaches(leaderState.Revision()) {
		t.Error("after a reset the history reaches back")
	}
}

// TestParts checks that the parts hold every object once, that the first and last
// part are marked, and that an empty table is one part.
func TestParts(t *testing.T) {
	if parts := Parts(Table{}, make([]state.Object, 2), 0); len(parts) != 2 {
		t.Errorf("%d parts without a size", len(parts))
	}
	for count, want := range map[int]int{0: 1, 1: 1, 2: 1, 3: 2, 7: 4} {
		parts := Parts(Table{Cluster: "c", Revision: 9, Digest: 3}, make([]state.Object, count), 2)
		objects := 0
		for number, part := range parts {
			objects += len(part.Objects)
			if part.First != (number == 0) || part.Last != (number == len(parts)-1) || part.Revision != 9 || part.Digest != 3 {
				t.Errorf("part %d of %d: %+v", number, len(parts), part)
			}
		}
		if len(parts) != want || objects != count {
			t.Errorf("%d objects in %d parts, want %d in %d", objects, len(parts), count, want)
		}
	}
}
