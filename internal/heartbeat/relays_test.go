package heartbeat

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// TestRelaysStayOverARestart checks that relays of each zone are named up to a bound, that one which is silent for
// the time of a restart stays named, that one which is gone does not, and that a new leader keeps them until they
// had time to report to it.
func TestRelaysStayOverARestart(t *testing.T) {
	s := newScript(t)
	offers := map[string]*GatewayOffer{"narrow": {Relay: "10.0.1.1:1", Zone: "other", Megabits: 2}, "old": {Zone: "z"}}
	for index := range relaysPerZone + 4 {
		offers[fmt.Sprint("g", index)] = &GatewayOffer{Relay: fmt.Sprintf("10.0.0.%d:1", index), Zone: "z"}
	}
	reportFor := func(length time.Duration, silent ...string) {
		for end := s.now + length; s.now < end; {
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
	reportFor(2 * time.Second)
	first := s.view.Relays()
	if len(first) != relaysPerZone+1 || !slices.Contains(first, directory.Relay{Address: "10.0.1.1:1", Zone: "other"}) {
		t.Fatalf("relays %v, want %d of zone z and the one of the other zone", first, relaysPerZone)
	}
	gone := "g0"
	for name, offer := range offers {
		if offer.Relay == first[0].Address {
			gone = name
		}
	}
	reportFor(relayTimeout/2, gone)
	if relays := s.view.Relays(); !slices.Equal(relays, first) {
		t.Errorf("relays %v after a short silence, want %v", relays, first)
	}
	s.core.Lead(s.now)
	s.apply(s.core.Tick(s.now+relayInterval, s.view)...)
	if relays := s.view.Relays(); !slices.Equal(relays, first) {
		t.Errorf("a new leader names %v, want %v", relays, first)
	}
	reportFor(2*relayTimeout, gone)
	if relays := s.view.Relays(); len(relays) != len(first) || slices.Contains(relays, first[0]) {
		t.Errorf("relays %v, want another one in place of the one that is gone", relays)
	}
}
