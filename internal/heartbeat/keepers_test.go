package heartbeat

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// TestKeepersStayWhileTheyAreHeard: each zone has as many as its instances need, those with the
// widest links; they stay when others come, one that is silent or stops is replaced, and a new
// leader names nobody before it could hear those that are there.
func TestKeepersStayWhileTheyAreHeard(t *testing.T) {
	s := newScript(t)
	var instances []directory.Instance
	for index := range 2 * instancesOfKeeper {
		instances = append(instances, directory.Instance{
			ID: directory.InstanceID(fmt.Sprint("i", index)), Service: "s", Address: fmt.Sprintf("10.1.0.%d:1", index), Zone: "z", Slots: 2, State: directory.InstanceReady,
		})
	}
	s.apply(directory.Command{Instances: instances})
	offers := map[string]*GatewayOffer{}
	for index := range 5 {
		offers[fmt.Sprint("g", index)] = &GatewayOffer{Address: fmt.Sprintf("10.0.0.%d:1", index), Zone: "z", Megabits: float64(index % 3)}
	}
	hear := func(seconds int, silent ...string) {
		for range 4 * seconds {
			s.now += 250 * time.Millisecond
			for name, offer := range offers {
				if !slices.Contains(silent, name) {
					s.core.HearGateway(s.now, name, offer)
				}
			}
			s.apply(s.core.Tick(s.now, s.view)...)
		}
	}
	s.core.Lead(s.now)
	s.apply(s.core.Tick(s.now+10*time.Millisecond, s.view)...)
	if named := s.view.Keepers(); len(named) > 0 {
		t.Errorf("a new leader names %v", named)
	}
	hear(3)
	first := s.view.Keepers()
	if len(first) != 2 || !slices.Contains(first, directory.Keeper{Address: "10.0.0.2:1", Zone: "z"}) {
		t.Fatalf("keepers %v, want two, the one with the widest link among them", first)
	}
	offers["wider"] = &GatewayOffer{Address: "10.0.0.9:1", Zone: "z", Megabits: 100}
	hear(2)
	if now := s.view.Keepers(); !slices.Equal(now, first) {
		t.Errorf("keepers %v, want the same %v when others come", now, first)
	}
	hear(3, "g2")
	if now := s.view.Keepers(); len(now) != 2 || slices.Contains(now, directory.Keeper{Address: "10.0.0.2:1", Zone: "z"}) {
		t.Errorf("keepers %v, one of which is silent", now)
	}
	offers["wider"].Address = ""
	hear(1)
	if now := s.view.Keepers(); slices.Contains(now, directory.Keeper{Address: "10.0.0.9:1", Zone: "z"}) {
		t.Errorf("keepers %v, one of which stops", now)
	}
}
