package tablestream

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// twoServiceChanges applies random changes of two services to a state and returns
// the changes that a stream would process.
func twoServiceChanges(t *testing.T, view *state.State, count int) []*Change {
	t.Helper()
	start := view.Revision()
	history := NewHistory(count+1, start)
	random := rand.New(rand.NewPCG(5, 5))
	for number := range count {
		name := state.ServiceName([]string{"routed", "left-out"}[random.IntN(2)])
		id := state.ServerID(fmt.Sprint(name, random.IntN(5)))
		plan := state.Plan{ID: state.PlanID(fmt.Sprint("p", number)), Operations: []state.Operation{{PutServer: &state.Server{ID: id, Service: name, Slots: number}}}}
		if known, found := view.Server(id); found {
			plan.Operations[0].PutServer.ConfigRevision = known.ConfigRevision
		}
		index := uint64(view.Revision()) + 1
		view.Apply(index, state.Command{StorePlan: &state.StorePlan{Plan: plan}})
		result := history.Apply(view, index+1, state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
		if result.Err != nil {
			t.Fatal(result.Err)
		}
	}
	changes, _, _ := history.After(start)
	return changes
}

// TestMissedChangeOfAPartIsFound omits, or empties, each delta of a subset but the
// last in turn and checks that the router rejects that or a later delta with an
// error that takes a snapshot. With none omitted all are accepted, and the digest
// computed backwards from the last change equals the one before the changes.
func TestMissedChangeOfAPartIsFound(t *testing.T) {
	const count = 40
	view := state.New()
	view.Apply(1, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r"}}})
	subset := table.NewSubset([]state.ServiceName{"routed"})
	revision, digest := view.Revision(), subset.Digest(view.SectionDigests())
	snapshot := message.TableSnapshot{Cluster: "c", Revision: revision, Objects: view.Objects(), Digest: digest, First: true, Last: true}
	changes := twoServiceChanges(t, view, count)
	stream := &filteredStream{subset: subset}
	if before := stream.digestBefore(changes, view.Revision(), subset.Digest(view.SectionDigests())); before != digest {
		t.Fatalf("digest before the changes: got %d, want %d", before, digest)
	}
	deltas := dueDeltas(stream, changes, revision, digest)
	if len(deltas) == 0 || len(deltas) == count {
		t.Fatalf("%d deltas of %d changes", len(deltas), count)
	}
	for missed := -1; missed < len(deltas)-1; missed++ {
		for _, emptied := range []bool{false, true} {
			err := applyDeltas(t, snapshot, deltas, missed, emptied)
			if (missed < 0) != (err == nil) || (err != nil && !table.NeedsSnapshot(err)) {
				t.Errorf("delta %d missed, emptied %v: %v", missed, emptied, err)
			}
		}
	}
}

// dueDeltas returns the deltas that a stream sends without waiting for a pong.
func dueDeltas(stream *filteredStream, changes []*Change, sent state.Revision, digest uint64) []message.TableDelta {
	stream.reset(sent, digest)
	var deltas []message.TableDelta
	for _, change := range changes {
		if delta, due := stream.take(sent, change); due {
			deltas = append(deltas, delta)
			sent = delta.To
		}
	}
	return deltas
}

func applyDeltas(t *testing.T, snapshot message.TableSnapshot, deltas []message.TableDelta, missed int, emptied bool) error {
	t.Helper()
	builder := table.NewBuilder()
	if _, err := builder.ApplySnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	for number, delta := range deltas {
		if number == missed && !emptied {
			continue
		}
		if number == missed {
			delta.Objects = nil
		}
		if err := builder.ApplyDelta(delta); err != nil {
			return eris.Wrapf(err, "delta %d", number)
		}
	}
	return nil
}

// TestSubscribe checks, for a router of one service, whether it gets a snapshot or
// changes depending on the table that it reports, and that the changes and the
// catch-up delta before a pong bring it to the newest revision.
func TestSubscribe(t *testing.T) {
	const count = 40
	view := state.New()
	view.Apply(1, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r"}}})
	startRevision, startObjects, startSections := view.Revision(), view.Objects(), view.SectionDigests()
	names := []state.ServiceName{"routed"}
	subset := table.NewSubset(names)
	changes := twoServiceChanges(t, view, count)
	history := &History{limit: count, changes: changes, newest: view.Revision(), changed: make(chan struct{})}
	newest := Table{Cluster: "c", Revision: view.Revision(), Digest: view.Digest(), Sections: view.SectionDigests()}
	digest, earlier := subset.Digest(newest.Sections), subset.Digest(startSections)
	for name, c := range map[string]struct {
		hello         message.RouterHello
		needsSnapshot bool
	}{
		"nothing":                         {message.RouterHello{Cluster: "c"}, true},
		"the same part":                   {message.RouterHello{Cluster: "c", Revision: newest.Revision, Digest: digest}, false},
		"the whole table's digest":        {message.RouterHello{Cluster: "c", Revision: newest.Revision, Digest: newest.Digest}, true},
		"an older one":                    {message.RouterHello{Cluster: "c", Revision: startRevision, Digest: earlier}, false},
		"an older one that differs":       {message.RouterHello{Cluster: "c", Revision: startRevision, Digest: earlier + 1}, true},
		"one that the history lacks":      {message.RouterHello{Cluster: "c", Revision: startRevision + 1}, true},
		"another cluster's":               {message.RouterHello{Cluster: "d", Revision: newest.Revision, Digest: digest}, true},
		"a damaged one":                   {message.RouterHello{Cluster: "c", Revision: newest.Revision, Digest: digest, Resync: true}, true},
		"one ahead of the leader's table": {message.RouterHello{Cluster: "c", Revision: newest.Revision + 1, Digest: digest}, true},
	} {
		c.hello.Services = names
		position := Subscribe(c.hello, newest, history)
		if _, _, reached := position.Next(history); reached == c.needsSnapshot {
			t.Errorf("%s: reached %v", name, reached)
		}
		position.SentTable(newest)
		if changes, _, reached := position.Next(history); !reached || len(changes) != 0 || position.filtered.digest != digest {
			t.Errorf("%s: after a snapshot %d changes, reached %v", name, len(changes), reached)
		}
	}
	builder := table.NewBuilder()
	first := message.TableSnapshot{Cluster: "c", Revision: startRevision, Objects: startObjects, Digest: subset.Digest(startSections), First: true, Last: true}
	if _, err := builder.ApplySnapshot(first); err != nil {
		t.Fatal(err)
	}
	position := Subscribe(message.RouterHello{Cluster: "c", Revision: startRevision, Digest: earlier, Services: names}, newest, history)
	follow(t, &position, history, builder)
	if builder.Table().Revision() != newest.Revision || builder.Table().Digest() != digest {
		t.Errorf("router at revision %d, want %d", builder.Table().Revision(), newest.Revision)
	}
}

// follow applies to a builder what a stream sends up to the next pong.
func follow(t *testing.T, position *Position, history *History, to *table.Builder) {
	t.Helper()
	changes, _, _ := position.Next(history)
	for _, change := range changes {
		sent := position.Sent()
		delta, due := (&filteredStream{subset: position.filtered.subset, processed: position.filtered.processed, digest: position.filtered.digest}).take(sent, change)
		_, framed, err := position.Take(change)
		if err != nil || framed != due || (!due && position.Sent() != sent) {
			t.Fatalf("frame %v, due %v, error %v", framed, due, err)
		}
		if !due {
			continue
		}
		if err := to.ApplyDelta(delta); err != nil {
			t.Fatal(err)
		}
	}
	if delta, pending := position.CatchUp(); pending {
		if err := to.ApplyDelta(delta); err != nil {
			t.Fatal(err)
		}
	}
	if _, pending := position.CatchUp(); pending {
		t.Error("still behind after catching up")
	}
}

// TestPartFromARevisionThatTheHistoryLacked checks that a stream begins with a
// snapshot if the subset's digest at the router's revision could not be computed,
// even if the history then reaches that revision, as after a snapshot from the
// leader.
func TestPartFromARevisionThatTheHistoryLacked(t *testing.T) {
	newest := Table{Cluster: "c", Revision: 9}
	history := NewHistory(2, 9)
	position := Subscribe(message.RouterHello{Cluster: "c", Revision: 5, Services: []state.ServiceName{"routed"}}, newest, history)
	history.Reset(5)
	if _, _, reached := position.Next(history); reached {
		t.Error("changes are sent although the digest before them is not known")
	}
}

// TestPartThatDiffersIsSentWhole checks that a router whose subset differs gets a
// snapshot, even if the table has changed since its revision: it would reject the
// first of these changes.
func TestPartThatDiffersIsSentWhole(t *testing.T) {
	view := state.New()
	view.Apply(1, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r"}}})
	subset := table.NewSubset([]state.ServiceName{"routed"})
	revision, digest := view.Revision(), subset.Digest(view.SectionDigests())
	history := NewHistory(100, revision)
	for _, change := range twoServiceChanges(t, view, 20) {
		history.add(change.Delta, change.Differences)
	}
	newest := Table{Cluster: "c", Revision: view.Revision(), Digest: view.Digest(), Sections: view.SectionDigests()}
	hello := message.RouterHello{Cluster: "c", Revision: revision, Digest: digest, Services: []state.ServiceName{"routed"}}
	same := Subscribe(hello, newest, history)
	if _, _, reached := same.Next(history); !reached {
		t.Error("a router whose subset is the same gets a snapshot")
	}
	hello.Digest++
	other := Subscribe(hello, newest, history)
	if _, _, reached := other.Next(history); reached {
		t.Error("a router whose subset differs gets changes that do not fit it")
	}
}
