package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestChangesSinceAnyRevision checks that a directory that was restored, or received by a stream,
// returns the same changes since each earlier revision as a scan of all instances: followers may be
// at any revision.
func TestChangesSinceAnyRevision(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	origin := New()
	revision := Revision(0)
	change := func(view *Directory) {
		t.Helper()
		revision++
		number := random.IntN(300)
		instance := Instance{ID: InstanceID(fmt.Sprint("i", number)), Service: "s", Address: fmt.Sprint("127.0.0.1:", number), Slots: int(revision), State: InstanceReady}
		if err := view.Apply(revision, Command{Instances: []Instance{instance}}); err != nil {
			t.Fatal(err)
		}
	}
	for range 1000 {
		change(origin)
	}
	restored, streamed := New(), New()
	restored.Merge(origin.Since(0))
	if err := streamed.MergeRouting(origin.RoutingSince(0)); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		change(restored)
	}
	for name, view := range map[string]*Directory{"origin": origin, "restored": restored, "streamed": streamed} {
		for after := Revision(0); after <= view.Revision(); after += 7 {
			var wanted []InstanceID
			for instance := range view.EachInstance() {
				if instance.changedAt() > after {
					wanted = append(wanted, instance.ID)
				}
			}
			var got []InstanceID
			for _, instance := range view.Since(after).Instances {
				got = append(got, instance.ID)
			}
			if fmt.Sprint(got) != fmt.Sprint(wanted) {
				t.Fatalf("%s: since %d %d instances changed, want %d", name, after, len(got), len(wanted))
			}
		}
	}
}
