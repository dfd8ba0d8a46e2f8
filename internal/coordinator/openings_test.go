package coordinator

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/state"
)

// TestSessionsOpenTogether: the sessions of servers that return together are opened
// in a few log entries.
func TestSessionsOpenTogether(t *testing.T) {
	const servers, lost = 140, 40
	f := newFleet(servers, 1400)
	for number := range lost {
		f.lost[fleetServerID(number)] = true
	}
	for range 200 {
		f.tick()
	}
	clear(f.lost)
	entries, opened := 0, 0
	f.onProposal = func(command state.Command) {
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
		t.Errorf("%d sessions were opened in %d log entries, want %d in at most %d", opened, entries, lost, lost/4)
	}
}
