package sim

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/state"
)

// loseServer kills a server that owns shards while the leader is healthy.
func (s *simulation) loseServer() {
	lost, shards := s.healthyOwner()
	if lost == nil {
		return
	}
	s.counts.ServerCrashes++
	lost.crash()
	s.awaitOwnersWithout(lost, shards, func() time.Duration { return lossLimit })
}

// loseServerWithLeader kills another one at the same moment as the leader, whose
// machine stays away. Each election that decides nothing may add its time.
func (s *simulation) loseServerWithLeader() {
	lost, shards := s.healthyOwner()
	if lost == nil {
		return
	}
	leader, _ := s.leader()
	term := leader.core.Status().Term
	s.counts.Crashes++
	s.counts.ServerCrashes++
	leader.owner.crashFor(2 * setupLimit)
	lost.crash()
	s.awaitOwnersWithout(lost, shards, func() time.Duration {
		elections := max(1, s.newestTerm()-term)
		return lossLimit + time.Duration(elections-1)*longestElection(s.settings)
	})
}

// newestTerm is the highest term that a controller is in.
func (s *simulation) newestTerm() uint64 {
	newest := uint64(0)
	for _, each := range s.controllers {
		if each.replica != nil {
			newest = max(newest, each.replica.core.Status().Term)
		}
	}
	return newest
}

// healthyOwner waits until the leader is healthy and returns a server that owns
// shards, with them; nil if a guarantee is broken.
func (s *simulation) healthyOwner() (*server, []state.Shard) {
	if !s.await(s.queue.Now()+setupLimit, s.isHealthy) {
		s.checker.Fail(checker.OwnerLiveness, "no leader lasts, or not every key has an owner, without faults")
	}
	if s.checker.Violation() != nil {
		return nil, nil
	}
	leader, _ := s.leader()
	for _, candidate := range s.servers {
		if candidate.alive && leader.state.OwnedCount(candidate.id) > 0 {
			return candidate, leader.state.OwnedBy(candidate.id)
		}
	}
	return nil, nil
}

// drainServer puts a server without keys on the platform's list as leaving and
// goes on until nothing new may go there. The list is the first signal; the mark
// must be agreed on within one reading of it and a commit.
func (s *simulation) drainServer() {
	if s.checker.Violation() != nil || !s.await(s.queue.Now()+setupLimit, s.isHealthy) {
		return
	}
	target, _ := s.server(freeServerSpec(1 + s.random.IntN(freeServers)).ID)
	s.counts.Drains++
	s.trace("%s is listed as leaving", target.id)
	s.leaving[target.id] = true
	s.drained = target.id
	s.checker.ServerLeaves(target.id)
	within := time.Duration(float64(s.settings.Platform.PollInterval)*(1+s.settings.Lease.ClockRateBound)) + commitTime
	if !s.await(s.queue.Now()+within, s.platformFollowed) {
		s.checker.Fail(checker.Drained, "%s is on the platform's list and not marked as leaving within %v", target.id, within)
		return
	}
	s.advance(s.queue.Now() + requestBounds().Staleness + drainLook)
}

// platformFollowed reports whether the leader agreed on all that the platform says.
func (s *simulation) platformFollowed() bool {
	leader, found := s.leader()
	return found && len(leader.platformChanges()) == 0
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
		s.everyKeyOwned() && s.platformFollowed()
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

// awaitOwnersWithout waits until each shard of a lost server was served by another
// one, within a limit that may grow. Later moves of a shard do not count.
func (s *simulation) awaitOwnersWithout(lost *server, shards []state.Shard, limit func() time.Duration) {
	began := s.queue.Now()
	everyShardServed := func() bool {
		shards = slices.DeleteFunc(shards, func(shard state.Shard) bool {
			_, gap := s.checker.UncoveredIn(serviceName, shard.Range.First, shard.Range.Last)
			return !gap
		})
		return len(shards) == 0
	}
	for !s.await(began+limit(), everyShardServed) {
		if s.queue.Now() >= began+limit() {
			s.checker.Fail(checker.OwnerLiveness, "%d shards have no owner %v after the loss of %s, the first is %d",
				len(shards), limit(), lost.node, shards[0].ID)
		}
	}
	s.trace("every shard of %s is served again %v after its loss", lost.node, s.queue.Now()-began)
}
