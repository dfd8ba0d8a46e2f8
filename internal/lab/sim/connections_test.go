package sim

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/sim/network"
)

const (
	// retransmission is how long a lost packet holds its connection up.
	retransmission = 200 * time.Millisecond
	// lossPeriod is how long packets are lost, one in lossPause on the first connection of each
	// pair of controllers.
	lossPeriod = 10 * time.Second
	lossPause  = 600 * time.Millisecond
)

// leadersOnLossyLinks returns by how many terms leadership changes while the first connections of
// all controllers lose a packet now and then.
func leadersOnLossyLinks(t *testing.T, seed uint64, faults planted) uint64 {
	t.Helper()
	s := newSimulation(seed, faults, nil)
	s.startAll()
	s.setUp()
	leader, found := s.leader()
	if !found {
		t.Fatal("nobody leads before packets are lost")
	}
	before := leader.core.Status().Term
	for end := s.queue.Now() + lossPeriod; s.queue.Now() < end; s.advance(s.queue.Now() + lossPause) {
		for _, one := range s.controllers {
			for _, other := range s.controllers {
				s.network.Stall(network.Connection{From: one.node, To: other.node}, retransmission)
			}
		}
	}
	if violation := s.checker.Violation(); violation != nil {
		t.Fatal(violation)
	}
	leader, found = s.leader()
	if !found {
		return 1
	}
	return leader.core.Status().Term - before
}

// TestLostPacketEndsNoLeadership guards against a leader that loses its quorum, and with it all
// leases that are due, whenever a packet to the others is lost: what follows on the same connection
// waits for it.
func TestLostPacketEndsNoLeadership(t *testing.T) {
	var lostByOne uint64
	for seed := uint64(1); seed <= replayedSeeds; seed++ {
		if changes := leadersOnLossyLinks(t, seed, planted{}); changes > 0 {
			t.Errorf("seed %d: leadership changes %d times", seed, changes)
		}
		lostByOne += leadersOnLossyLinks(t, seed, planted{oneConnection: true})
	}
	if lostByOne == 0 {
		t.Error("one connection loses no leadership either, so that the test shows nothing")
	}
	t.Logf("with one connection leadership changes %d times in %d runs", lostByOne, replayedSeeds)
}
