package coordinator

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// TestSessionsEndTogether: the sessions of servers that go silent together end in
// few entries, and each only after its own last lease surely ended.
func TestSessionsEndTogether(t *testing.T) {
	const servers, lost = 70, 10
	f := newFleet(servers, 700)
	for range 100 {
		f.tick()
	}
	renewed := make(map[state.ServerID]time.Duration)
	for number := range lost {
		f.lost[fleetServer(number)] = true
	}
	entries, closed := 0, 0
	f.proposed = func(command state.Command) {
		var sessions []state.CloseSession
		switch {
		case command.CloseSession != nil:
			sessions = []state.CloseSession{*command.CloseSession}
		case command.CloseSessions != nil:
			sessions = command.CloseSessions.Sessions
		default:
			return
		}
		entries++
		for _, session := range sessions {
			closed++
			if f.now <= renewed[session.Server]+waitOut {
				t.Errorf("%s was renewed at %v and closed at %v", session.Server, renewed[session.Server], f.now)
			}
		}
	}
	for range 200 {
		for number := range lost {
			renewed[fleetServer(number)] = f.core.contacts[fleetServer(number)].renewedAt
		}
		f.tick()
	}
	if closed != lost || entries > lost/2 {
		t.Errorf("%d sessions ended in %d entries, want %d in at most %d", closed, entries, lost, lost/2)
	}
	if left := f.view.ActiveCount(); left != 0 {
		t.Errorf("%d shards have no owner", left)
	}
}
