package coordinator

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// TestSessionsEndTogether: the sessions of servers that fail together are closed in
// a few log entries, and each only after its own last lease has expired.
func TestSessionsEndTogether(t *testing.T) {
	const servers, lost = 140, 40
	f := newFleet(servers, 1400)
	f.stagger()
	for range 100 {
		f.tick()
	}
	renewed := make(map[state.ServerID]time.Duration)
	for number := 0; number < lost*3; number += 3 {
		f.lost[fleetServerID(number)] = true
	}
	entries, closed := 0, 0
	f.onProposal = func(command state.Command) {
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
			if f.now <= renewed[session.Server]+leaseWait {
				t.Errorf("session of %s was closed before its lease expired: renewed at %v, closed at %v", session.Server, renewed[session.Server], f.now)
			}
		}
	}
	for range 200 {
		for server := range f.lost {
			renewed[server] = f.core.trackers[server].renewedAt
		}
		f.tick()
	}
	if closed != lost || entries > lost/2 {
		t.Errorf("%d sessions were closed in %d log entries, want %d in at most %d", closed, entries, lost, lost/2)
	}
	if left := f.view.ActiveCount(); left != 0 {
		t.Errorf("%d shards have no owner", left)
	}
}

// TestOwnersAreChosenTogether: while the sessions of many servers are about to
// end, unowned shards wait and are assigned together, so that the remaining servers
// get at most one new set each on average. They wait no longer than these sessions
// take to end.
func TestOwnersAreChosenTogether(t *testing.T) {
	const servers, lost = 140, 40
	f := newFleet(servers, 1400)
	f.stagger()
	for range 100 {
		f.tick()
	}
	for number := 0; number < lost*3; number += 3 {
		f.lost[fleetServerID(number)] = true
	}
	f.fullSets = 0
	for range 200 {
		f.tick()
	}
	if left := f.view.ActiveCount() + f.lostShards(); left != 0 {
		t.Errorf("%d shards have no owner", left)
	}
	if most := servers - lost; f.fullSets > most {
		t.Errorf("the remaining servers were sent %d full sets, want at most %d", f.fullSets, most)
	}
}

// TestWaitForClosuresIsBounded: servers that keep failing must not delay the
// assignment of unowned shards without bound.
func TestWaitForClosuresIsBounded(t *testing.T) {
	h := newHarness(t)
	h.core.endingSoon = manyClosures
	limit := testConfig.RenewInterval + 2*closureInterval
	if !h.core.awaitsClosures(h.now, h.view) || !h.core.awaitsClosures(h.now+limit-1, h.view) {
		t.Error("unowned shards do not wait although many sessions are about to end")
	}
	if h.core.awaitsClosures(h.now+limit, h.view) {
		t.Errorf("unowned shards wait longer than %v", limit)
	}
	h.core.endingSoon = 0
	h.core.awaitsClosures(h.now, h.view)
	h.core.endingSoon = manyClosures - 1
	if h.core.awaitsClosures(h.now, h.view) {
		t.Error("unowned shards wait although few sessions are about to end")
	}
}
