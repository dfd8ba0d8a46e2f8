package controller

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
)

// TestReplicaWithoutALeaderSendsCallersToThoseItDoesNotHear guards against servers that lose their keys during
// a partition of the controllers: servers that reached only the minority got the answer that no leader is known and
// asked the same controllers again, 166 times in 3 s.
func TestReplicaWithoutALeaderSendsCallersToThoseItDoesNotHear(t *testing.T) {
	const within = 800 * time.Millisecond
	voters := []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}, {ID: 5}}
	for _, c := range []struct {
		name string
		// senders are the replicas whose messages arrive until the end; leader is true if a leader is known
		// until then.
		senders []consensus.ReplicaID
		leader  bool
		length  time.Duration
		silent  []consensus.ReplicaID
	}{
		{"cut off with one other", []consensus.ReplicaID{2}, false, 2 * within, []consensus.ReplicaID{3, 4, 5}},
		{"cut off alone", nil, false, 2 * within, []consensus.ReplicaID{2, 3, 4, 5}},
		{"without a leader for a moment", nil, false, within / 2, nil},
		{"an election in the greater part", []consensus.ReplicaID{2, 3}, false, 2 * within, nil},
		{"a leader is known", []consensus.ReplicaID{2}, true, 2 * within, nil},
	} {
		tracker := newContactTracker(time.Second)
		for now := time.Second; now < time.Second+c.length; now += within / 8 {
			for _, id := range c.senders {
				tracker.recordMessage(now, id)
			}
			if c.leader {
				tracker.recordLeader(now)
			}
		}
		silent := tracker.silentVoters(time.Second+c.length, within, 1, voters)
		if len(silent) != len(c.silent) {
			t.Errorf("%s: silent voters %v, want %v", c.name, silent, c.silent)
			continue
		}
		for index, member := range silent {
			if member.ID != c.silent[index] {
				t.Errorf("%s: silent voters %v, want %v", c.name, silent, c.silent)
			}
		}
	}
}

// TestHeldUpReplicaSendsCallersToOthers: while its loop is stalled, a leader redirects callers to any other
// voter, since these may have elected a leader.
func TestHeldUpReplicaSendsCallersToOthers(t *testing.T) {
	settings := config.DefaultController()
	system := clock.NewSystem()
	r := &replica{settings: settings, clock: system, self: consensus.Member{ID: 1}, watchdog: newLoopWatchdog(system, settings), contacts: newContactTracker(system.Now())}
	members := []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3, Learner: true}}
	r.published.Store(&published{status: consensus.Status{Leader: 1, Membership: consensus.Membership{Members: members}}})
	if member, found := r.redirectTarget(); found {
		t.Errorf("a leader redirects callers to %v", member)
	}
	r.watchdog.markStalled()
	if member, found := r.redirectTarget(); !found || member.ID != 2 {
		t.Errorf("a stalled leader redirects callers to %v, %v", member, found)
	}
}
