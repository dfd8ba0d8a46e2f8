package coordinator

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/state"
)

// TestSessionsOpenTogether: servers that come back in the same tick get their
// sessions by one entry.
func TestSessionsOpenTogether(t *testing.T) {
	const servers, lost = 140, 40
	f := newFleet(servers, 1400)
	for number := range lost {
		f.lost[fleetServer(number)] = true
	}
	for range 200 {
		f.tick()
	}
	clear(f.lost)
	entries, opened := 0, 0
	f.proposed = func(command state.Command) {
		if command.OpenSession != nil {
			entries, opened = entries+1, opened+1
		}
		if command.OpenSessions != nil {
			entries, opened = entries+1, opened+len(command.OpenSessions.Sessions)
		}
	}
	for range 200 {
		f.tick()
	}
	if opened != lost || entries > lost/4 {
		t.Errorf("%d sessions opened in %d entries, want %d in at most %d", opened, entries, lost, lost/4)
	}
}
