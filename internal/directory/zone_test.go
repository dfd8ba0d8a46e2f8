package directory

import (
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestZonesAreEvacuatedAndRestored checks that a repeated command changes nothing, that several
// zones and even the last one can be evacuated, and that gateways and snapshots get these states.
func TestZonesAreEvacuatedAndRestored(t *testing.T) {
	d := newConfigured(t)
	revision := Revision(10)
	setEvacuated := func(name string, evacuated bool) bool {
		t.Helper()
		revision++
		if err := d.Apply(revision, Command{Zone: &Zone{Name: name, Evacuated: evacuated}}); err != nil {
			t.Fatal(err)
		}
		return d.Revision() == revision
	}
	for _, c := range []struct {
		name      string
		evacuated bool
		changes   bool
	}{
		{"west", false, false}, {"west", true, true}, {"west", true, false}, {"east", true, true},
		{"west", false, true}, {"west", false, false}, {"west", true, true},
	} {
		if changed := setEvacuated(c.name, c.evacuated); changed != c.changes || d.Evacuated(c.name) != c.evacuated {
			t.Errorf("%+v: changed %v, evacuated %v", c, changed, d.Evacuated(c.name))
		}
	}
	restored := New()
	restored.Merge(d.Since(0))
	if !restored.Evacuated("west") || !restored.Evacuated("east") || restored.Evacuated("north") {
		t.Errorf("restored zones %+v", restored.Zones())
	}
	clone := d.Clone()
	setEvacuated("east", false)
	if !clone.Evacuated("east") {
		t.Error("a clone changed")
	}
	restored.Merge(d.Since(restored.Revision()))
	if restored.Evacuated("east") {
		t.Error("Since omits the change")
	}
}

// TestZoneOrdersAreChecked checks that the error for an invalid or unknown zone name names the
// field.
func TestZoneOrdersAreChecked(t *testing.T) {
	d := newConfigured(t)
	if err := d.Apply(5, Command{Instances: []Instance{{ID: "i", Service: "s1", Zone: "south", State: InstanceReady}}}); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]fault.Kind{
		"": fault.InvalidArgument, strings.Repeat("x", 99): fault.InvalidArgument, "nowhere": fault.NotFound, "south": "", "west": "",
	} {
		err := d.CheckZone(Zone{Name: name}, []string{"west"})
		if want == "" && err != nil || want != "" && (!fault.Is(err, want) || !strings.Contains(err.Error(), "zone: ")) {
			t.Errorf("%q: %v, want %q", name, err, want)
		}
	}
}

// TestGatewaysAreCarried checks that gateways and snapshots get the number of gateways, once.
func TestGatewaysAreCarried(t *testing.T) {
	d := newConfigured(t)
	if err := d.Apply(9, Command{Gateways: 79}); err != nil {
		t.Fatal(err)
	}
	other := New()
	other.Merge(d.Since(0))
	if other.Gateways() != 79 {
		t.Errorf("%d gateways", other.Gateways())
	}
	if changes := d.Since(9); changes.Fleet != nil {
		t.Errorf("sent again: %+v", changes.Fleet)
	}
}
