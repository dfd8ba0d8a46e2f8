package sim

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/state"
)

// loseServer kills a server that owns shards while the leader is healthy.
func (s *simulation) loseServer() {
	if !s.await(s.queue.Now()+setupLimit, s.isHealthy) {
		s.checker.Fail(checker.OwnerLiveness, "no leader lasts, or not every key has an owner, without faults")
	}
	if s.checker.Violation() != nil {
		return
	}
	leader, _ := s.leader()
	for _, candidate := range s.servers {
		if candidate.alive && leader.state.OwnedCount(candidate.id) > 0 {
			s.awaitOwnersWithout(candidate, leader.state.OwnedBy(candidate.id))
			return
		}
	}
}

// isHealthy reports whether a leader that most controllers follow has led for so
// long that no lease of an earlier one is left to wait out, faults ended so long
// ago that no election which they caused can begin, and nothing that the platform
// says is left to do.
func (s *simulation) isHealthy() bool {
	if s.queue.Now()-s.calmSince < longestElection(s.settings) {
		return false
	}
	leader, found := s.leader()
	return found && s.followers(leader.core.Status().ID) > len(s.controllers)/2 &&
		s.queue.Now()-leader.leadsSince > leaseWait(s.settings) &&
		s.everyKeyOwned() && len(leader.platformChanges()) == 0
}

// followers counts the controllers that go by a leader, itself included.
func (s *simulation) followers(leader consensus.ReplicaID) int {
	count := 0
	for _, each := range s.controllers {
		if each.replica != nil && each.replica.core.Status().Leader == leader {
			count++
		}
	}
	return count
}

// awaitOwnersWithout kills a server and waits until each of its shards was
// served by another one. Later moves of a shard do not count.
func (s *simulation) awaitOwnersWithout(lost *server, shards []state.Shard) {
	s.counts.ServerCrashes++
	lost.crash()
	served := s.await(s.queue.Now()+lossLimit, func() bool {
		shards = slices.DeleteFunc(shards, func(shard state.Shard) bool {
			_, gap := s.checker.UncoveredIn(serviceName, shard.Range.First, shard.Range.Last)
			return !gap
		})
		return len(shards) == 0
	})
	if !served {
		s.checker.Fail(checker.OwnerLiveness, "%d shards have no owner %v after the loss of %s, the first is %d",
			len(shards), lossLimit, lost.node, shards[0].ID)
	}
}
