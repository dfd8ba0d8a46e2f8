package coordinator

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// TestSessionsEndTogether: the sessions of servers that go silent together end in
// few entries, and each only after its own last lease surely ended.
func TestSessionsEndTogether(t *testing.T) {
	const servers, lost = 140, 40
	f := newFleet(servers, 1400)
	f.stagger()
	for range 100 {
		f.tick()
	}
	renewed := make(map[state.ServerID]time.Duration)
	for number := 0; number < lost*3; number += 3 {
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
		for server := range f.lost {
			renewed[server] = f.core.contacts[server].renewedAt
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

// TestOwnersAreChosenTogether: while the sessions of many servers are about to
// end, shards without an owner wait for the rest, but not for longer than the
// rest takes.
func TestOwnersAreChosenTogether(t *testing.T) {
	const servers, lost = 140, 40
	f := newFleet(servers, 1400)
	f.stagger()
	for range 100 {
		f.tick()
	}
	for number := 0; number < lost*3; number += 3 {
		f.lost[fleetServer(number)] = true
	}
	f.sets = 0
	for range 200 {
		f.tick()
	}
	if left := f.view.ActiveCount() + f.lostShards(); left != 0 {
		t.Errorf("%d shards have no owner", left)
	}
	if most := servers - lost; f.sets > most {
		t.Errorf("the remaining servers took %d sets, want at most %d", f.sets, most)
	}
}

// TestWaitForClosuresIsBounded: servers that go silent again and again do not
// keep shards from an owner.
func TestWaitForClosuresIsBounded(t *testing.T) {
	b := newBench(t)
	b.core.ending = manyClosures
	limit := testConfig.RenewInterval + 2*closurePace
	if !b.core.awaitsClosures(b.now, b.view) || !b.core.awaitsClosures(b.now+limit-1, b.view) {
		t.Error("shards do not wait for many sessions that end")
	}
	if b.core.awaitsClosures(b.now+limit, b.view) {
		t.Errorf("shards wait longer than %v", limit)
	}
	b.core.ending = 0
	b.core.awaitsClosures(b.now, b.view)
	b.core.ending = manyClosures - 1
	if b.core.awaitsClosures(b.now, b.view) {
		t.Error("shards wait for few sessions")
	}
}
