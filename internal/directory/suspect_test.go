package directory

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// TestSuspectsReachGateways checks that gateways get the complete list once, without the fields
// that they do not need, and that suspects that were dropped disappear there.
func TestSuspectsReachGateways(t *testing.T) {
	controllers, gateway := New(), New()
	put := func(revision, follows Revision, suspects ...Suspect) {
		t.Helper()
		if err := controllers.Apply(revision, Command{Suspects: &PutSuspects{List: suspects, Follows: follows}}); err != nil {
			t.Fatal(err)
		}
		encoded, err := codec.Marshal(controllers.RoutingSince(gateway.Revision()))
		if err != nil {
			t.Fatal(err)
		}
		var changes RoutingChanges
		if err := codec.Unmarshal(encoded, &changes); err != nil {
			t.Fatal(err)
		}
		if err := gateway.MergeRouting(changes); err != nil {
			t.Fatal(err)
		}
	}
	deadly := Suspect{Fingerprint: 1<<63 + 5, Path: 9, Service: "s", Crashes: []InstanceID{"a", "b", "c"}, Quarantined: true}
	put(5, 0, deadly, Suspect{Fingerprint: 7, Path: 8, Service: "s", Crashes: []InstanceID{"a"}})
	known, found := gateway.Suspect(deadly.Fingerprint)
	if !found || !known.Quarantined || known.Path != 9 || known.Service != "" || known.Crashes != nil {
		t.Errorf("a gateway has %+v", known)
	}
	if again := controllers.RoutingSince(5); again.Suspects != nil {
		t.Errorf("sent again: %+v", again.Suspects)
	}
	if later := gateway.RoutingSince(0); later.Suspects == nil || len(later.Suspects.List) != 2 {
		t.Error("a gateway does not pass them on to others")
	}
	put(6, 5, deadly)
	if left := gateway.Suspects().List; len(left) != 1 || left[0].Fingerprint != deadly.Fingerprint {
		t.Errorf("a gateway has %+v after one was dropped", left)
	}
}

// TestSuspectsOutlastSnapshots also checks that a snapshot of an earlier version, without suspects,
// can be read.
func TestSuspectsOutlastSnapshots(t *testing.T) {
	d := New()
	if err := d.Apply(5, Command{Suspects: &PutSuspects{List: []Suspect{{Fingerprint: 5, Crashes: []InstanceID{"a"}, Quarantined: true}}}}); err != nil {
		t.Fatal(err)
	}
	type earlierContent struct {
		To    Revision `msgpack:"t"`
		Zones []Zone   `msgpack:"z,omitempty"`
	}
	for name, content := range map[string]any{"this version": d.Since(0), "an earlier version": earlierContent{To: 5, Zones: []Zone{{Name: "z", Revision: 5}}}} {
		encoded, err := codec.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Content
		if err := codec.Unmarshal(encoded, &decoded); err != nil {
			t.Fatal(err)
		}
		restored := New()
		restored.Merge(decoded)
		suspect, found := restored.Suspect(5)
		if restored.Revision() != 5 || found != (name == "this version") || found && !suspect.Same(d.Suspects().List[0]) {
			t.Errorf("%s: revision %d, suspect %+v, found %t", name, restored.Revision(), suspect, found)
		}
	}
}

// TestReleaseIsApplied checks that a release takes effect once, and only for a request in
// quarantine.
func TestReleaseIsApplied(t *testing.T) {
	d := New()
	if err := d.Apply(5, Command{Suspects: &PutSuspects{List: []Suspect{{Fingerprint: 5, Quarantined: true, TrialBy: "g"}, {Fingerprint: 6}}}}); err != nil {
		t.Fatal(err)
	}
	before := d.Clone()
	for index, fingerprint := range []Fingerprint{5, 5, 6, 7} {
		if err := d.Apply(Revision(6+index), Command{Release: &fingerprint}); err != nil {
			t.Fatal(err)
		}
	}
	suspect, _ := d.Suspect(5)
	other, _ := d.Suspect(6)
	if suspect.Quarantined || !suspect.Released || suspect.TrialBy != "" || other.Released || d.Revision() != 6 {
		t.Errorf("after the release: %+v, %+v, revision %d", suspect, other, d.Revision())
	}
	if earlier, _ := before.Suspect(5); !earlier.Quarantined {
		t.Error("a clone changed with the directory")
	}
}
