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

// partHistory applies random changes of two services to a state, and returns the
// changes that a stream would look at.
func partHistory(t *testing.T, view *state.State, count int) []*Change {
	t.Helper()
	began := view.Revision()
	history := NewHistory(count+1, began)
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
	changes, _, _ := history.After(began)
	return changes
}

// TestMissedChangeOfAPartIsFound leaves out, or empties, one delta of a part
// after the other: each time a later one is refused. With none left out all fit,
// and the digest before the changes is the one computed back from the last.
func TestMissedChangeOfAPartIsFound(t *testing.T) {
	const count = 40
	view := state.New()
	view.Apply(1, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r"}}})
	subset := table.NewSubset([]state.ServiceName{"routed"})
	revision, digest := view.Revision(), subset.Digest(view.SectionDigests())
	whole := message.TableSnapshot{Cluster: "c", Revision: revision, Objects: view.Objects(), Digest: digest, First: true, Last: true}
	changes := partHistory(t, view, count)
	held := &part{subset: subset}
	if before := held.before(changes, view.Revision(), subset.Digest(view.SectionDigests())); before != digest {
		t.Fatalf("digest before the changes: got %d, want %d", before, digest)
	}
	deltas := dueDeltas(held, changes, revision, digest)
	if len(deltas) == 0 || len(deltas) == count {
		t.Fatalf("%d deltas of %d changes", len(deltas), count)
	}
	for missed := -1; missed < len(deltas)-1; missed++ {
		for _, emptied := range []bool{false, true} {
			err := applyPart(t, whole, deltas, missed, emptied)
			if (missed < 0) != (err == nil) || (err != nil && !table.NeedsWhole(err)) {
				t.Errorf("delta %d missed, emptied %v: %v", missed, emptied, err)
			}
		}
	}
}

// dueDeltas returns the deltas that a stream sends of a part at once.
func dueDeltas(held *part, changes []*Change, sent state.Revision, digest uint64) []message.TableDelta {
	held.begin(sent, digest)
	var deltas []message.TableDelta
	for _, change := range changes {
		if delta, due := held.take(sent, change); due {
			deltas = append(deltas, delta)
			sent = delta.To
		}
	}
	return deltas
}

func applyPart(t *testing.T, whole message.TableSnapshot, deltas []message.TableDelta, missed int, emptied bool) error {
	t.Helper()
	builder := table.NewBuilder()
	if _, err := builder.ApplySnapshot(whole); err != nil {
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

// TestSubscribe shows what a router of one service gets by what it says it holds,
// and that changes, with the catching up before a pong, lead it to the newest
// revision.
func TestSubscribe(t *testing.T) {
	const count = 40
	view := state.New()
	view.Apply(1, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r"}}})
	began, whole, digestThen := view.Revision(), view.Objects(), view.SectionDigests()
	names := []state.ServiceName{"routed"}
	subset := table.NewSubset(names)
	changes := partHistory(t, view, count)
	history := &History{limit: count, changes: changes, newest: view.Revision(), changed: make(chan struct{})}
	newest := Table{Cluster: "c", Revision: view.Revision(), Digest: view.Digest(), Sections: view.SectionDigests()}
	digest, earlier := subset.Digest(newest.Sections), subset.Digest(digestThen)
	for name, c := range map[string]struct {
		hello message.RouterHello
		whole bool
	}{
		"nothing":                         {message.RouterHello{Cluster: "c"}, true},
		"the same part":                   {message.RouterHello{Cluster: "c", Revision: newest.Revision, Digest: digest}, false},
		"the whole table's digest":        {message.RouterHello{Cluster: "c", Revision: newest.Revision, Digest: newest.Digest}, true},
		"an older one":                    {message.RouterHello{Cluster: "c", Revision: began, Digest: earlier}, false},
		"an older one that differs":       {message.RouterHello{Cluster: "c", Revision: began, Digest: earlier + 1}, true},
		"one that the history lacks":      {message.RouterHello{Cluster: "c", Revision: began + 1}, true},
		"another cluster's":               {message.RouterHello{Cluster: "d", Revision: newest.Revision, Digest: digest}, true},
		"a damaged one":                   {message.RouterHello{Cluster: "c", Revision: newest.Revision, Digest: digest, Resync: true}, true},
		"one ahead of the leader's table": {message.RouterHello{Cluster: "c", Revision: newest.Revision + 1, Digest: digest}, true},
	} {
		c.hello.Services = names
		position := Subscribe(c.hello, newest, history)
		if _, _, reached := position.Next(history); reached == c.whole {
			t.Errorf("%s: reached %v", name, reached)
		}
		position.SentTable(newest)
		if led, _, reached := position.Next(history); !reached || len(led) != 0 || position.part.digest != digest {
			t.Errorf("%s: after a whole table %d changes, reached %v", name, len(led), reached)
		}
	}
	builder := table.NewBuilder()
	first := message.TableSnapshot{Cluster: "c", Revision: began, Objects: whole, Digest: subset.Digest(digestThen), First: true, Last: true}
	if _, err := builder.ApplySnapshot(first); err != nil {
		t.Fatal(err)
	}
	position := Subscribe(message.RouterHello{Cluster: "c", Revision: began, Digest: earlier, Services: names}, newest, history)
	follow(t, &position, history, builder)
	if builder.Table().Revision() != newest.Revision || builder.Table().Digest() != digest {
		t.Errorf("led to %d, want %d", builder.Table().Revision(), newest.Revision)
	}
}

// follow applies what a stream sends up to the next pong.
func follow(t *testing.T, position *Position, history *History, to *table.Builder) {
	t.Helper()
	changes, _, _ := position.Next(history)
	for _, change := range changes {
		sent := position.Sent()
		delta, due := (&part{subset: position.part.subset, taken: position.part.taken, digest: position.part.digest}).take(sent, change)
		_, framed, err := position.Take(change)
		if err != nil || framed != due || (!due && position.Sent() != sent) {
			t.Fatalf("a frame %v, due %v, error %v", framed, due, err)
		}
		if !due {
			continue
		}
		if err := to.ApplyDelta(delta); err != nil {
			t.Fatal(err)
		}
	}
	if delta, behind := position.CatchUp(); behind {
		if err := to.ApplyDelta(delta); err != nil {
			t.Fatal(err)
		}
	}
	if _, behind := position.CatchUp(); behind {
		t.Error("still behind after catching up")
	}
}

// TestPartFromARevisionThatTheHistoryLacked: a stream whose digest could not be
// computed back begins with a whole table, also if the history, as after a
// snapshot from the leader, then leads on from the router's revision.
func TestPartFromARevisionThatTheHistoryLacked(t *testing.T) {
	newest := Table{Cluster: "c", Revision: 9}
	history := NewHistory(2, 9)
	position := Subscribe(message.RouterHello{Cluster: "c", Revision: 5, Services: []state.ServiceName{"routed"}}, newest, history)
	history.Reset(5)
	if _, _, reached := position.Next(history); reached {
		t.Error("changes lead on from a digest that is not known")
	}
}

// TestPartThatDiffersIsSentWhole: also if the table has changed since the revision of the router, whose
// first change it could not take.
func TestPartThatDiffersIsSentWhole(t *testing.T) {
	view := state.New()
	view.Apply(1, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r"}}})
	subset := table.NewSubset([]state.ServiceName{"routed"})
	revision, digest := view.Revision(), subset.Digest(view.SectionDigests())
	history := NewHistory(100, revision)
	for _, change := range partHistory(t, view, 20) {
		history.add(change.Delta, change.Differences)
	}
	newest := Table{Cluster: "c", Revision: view.Revision(), Digest: view.Digest(), Sections: view.SectionDigests()}
	hello := message.RouterHello{Cluster: "c", Revision: revision, Digest: digest, Services: []state.ServiceName{"routed"}}
	same := Subscribe(hello, newest, history)
	if _, _, reached := same.Next(history); !reached {
		t.Error("a router whose part is the same gets a whole one")
	}
	hello.Digest++
	other := Subscribe(hello, newest, history)
	if _, _, reached := other.Next(history); reached {
		t.Error("a router whose part differs gets changes that do not follow it")
	}
}
