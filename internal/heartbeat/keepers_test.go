package heartbeat

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// TestKeepersStayWhileTheyAreHeard checks that each zone has as many keepers as its instances need, those
// with the highest bandwidth first; that keepers stay when other gateways join; that a keeper that is silent
// or stops is replaced; and that a new leader selects none before the existing ones could report to it.
func TestKeepersStayWhileTheyAreHeard(t *testing.T) {
	s := newScript(t)
	var instances []directory.Instance
	for index := range 2 * instancesPerKeeper {
		instances = append(instances, directory.Instance{
			ID: directory.InstanceID(fmt.Sprint("i", index)), Service: "s", Address: fmt.Sprintf("10.1.0.%d:1", index), Zone: "z", Slots: 2, State: directory.InstanceReady,
		})
	}
	s.apply(directory.Command{Instances: instances})
	offers := map[string]*GatewayOffer{}
	for index := range 5 {
		offers[fmt.Sprint("g", index)] = &GatewayOffer{Address: fmt.Sprintf("10.0.0.%d:1", index), Zone: "z", Megabits: float64(index % 3)}
	}
	reportFor := func(seconds int, silent ...string) {
		for range 4 * seconds {
			s.now += 250 * time.Millisecond
			for name, offer := range offers {
				if !slices.Contains(silent, name) {
					s.core.RecordGateway(s.now, name, offer)
				}
			}
			s.apply(s.core.Tick(s.now, s.view)...)
		}
	}
	s.core.Lead(s.now)
	s.apply(s.core.Tick(s.now+10*time.Millisecond, s.view)...)
	if published := s.view.Keepers(); len(published) > 0 {
		t.Errorf("a new leader selects keepers %v before any gateway reported to it", published)
	}
	reportFor(3)
	first := s.view.Keepers()
	if len(first) != 2 || !slices.Contains(first, directory.Keeper{Address: "10.0.0.2:1", Zone: "z"}) {
		t.Fatalf("keepers %v, want two, including the one with the highest bandwidth", first)
	}
	offers["wider"] = &GatewayOffer{Address: "10.0.0.9:1", Zone: "z", Megabits: 100}
	reportFor(2)
	if keepers := s.view.Keepers(); !slices.Equal(keepers, first) {
		t.Errorf("keepers %v after another gateway joined, want %v", keepers, first)
	}
	reportFor(3, "g2")
	if keepers := s.view.Keepers(); len(keepers) != 2 || slices.Contains(keepers, directory.Keeper{Address: "10.0.0.2:1", Zone: "z"}) {
		t.Errorf("keepers %v include a silent gateway", keepers)
	}
	offers["wider"].Address = ""
	reportFor(1)
	if keepers := s.view.Keepers(); slices.Contains(keepers, directory.Keeper{Address: "10.0.0.9:1", Zone: "z"}) {
		t.Errorf("keepers %v include a gateway that stopped", keepers)
	}
}
