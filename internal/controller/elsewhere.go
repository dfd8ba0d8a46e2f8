package controller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
)

// leaderlessTimeouts is the number of maximum election timeouts without a known leader after which a replica
// considers itself cut off: an election takes one or two.
const leaderlessTimeouts = 2

// maxTrackedReplicas bounds the number of tracked replicas: many times the size of a group, since replaced
// members stay in the map.
const maxTrackedReplicas = 64

// contactTracker records when this replica last heard from the others. It is safe for concurrent use.
type contactTracker struct {
	mutex         sync.Mutex
	lastMessageAt map[consensus.ReplicaID]time.Duration
	// leaderSeenAt is when a leader was last known.
	leaderSeenAt time.Duration
}

func newContactTracker(now time.Duration) *contactTracker {
	return &contactTracker{lastMessageAt: make(map[consensus.ReplicaID]time.Duration), leaderSeenAt: now}
}

// recordMessage records that a replica sent a message.
func (c *contactTracker) recordMessage(now time.Duration, from consensus.ReplicaID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.lastMessageAt) >= maxTrackedReplicas {
		clear(c.lastMessageAt)
	}
	c.lastMessageAt[from] = now
}

// recordLeader records that a leader is known.
func (c *contactTracker) recordLeader(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaderSeenAt = now
}

// silentVoters returns the voters that sent no message within a duration, provided that no leader was known in
// that time and the remaining voters are too few to elect one: if there is a leader, it is among the silent
// ones.
func (c *contactTracker) silentVoters(now, within time.Duration, self consensus.ReplicaID, voters []consensus.Member) []consensus.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now-c.leaderSeenAt < within {
		return nil
	}
	var silent []consensus.Member
	for _, voter := range voters {
		messageAt, found := c.lastMessageAt[voter.ID]
		if voter.ID != self && (!found || now-messageAt >= within) {
			silent = append(silent, voter)
		}
	}
	if quorum := len(voters)/2 + 1; len(voters)-len(silent) >= quorum {
		return nil
	}
	return silent
}

// maxElectionTimeout returns the longest time after which a group without a leader elects one, if no message
// is lost.
func maxElectionTimeout(settings config.Consensus) time.Duration {
	return 2 * time.Duration(settings.ElectionTicks) * settings.TickInterval
}

// redirectTarget returns the member to which a replica that knows no leader redirects callers. While its loop
// is stalled, that is any other voter, since these may have elected a leader; while it is cut off with a
// minority, one of the voters it does not hear from. Without this redirect, callers would return to this
// replica repeatedly.
func (r *replica) redirectTarget() (consensus.Member, bool) {
	voters := r.voters()
	candidates := slices.DeleteFunc(slices.Clone(voters), func(voter consensus.Member) bool { return voter.ID == r.self.ID })
	if r.watchdog.stallContext().Err() == nil {
		candidates = r.contacts.silentVoters(r.clock.Now(), leaderlessTimeouts*maxElectionTimeout(r.settings.Consensus), r.self.ID, voters)
	}
	if len(candidates) == 0 {
		return consensus.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// voters returns the voting members of the group.
func (r *replica) voters() []consensus.Member {
	members := r.published.Load().status.Membership.Members
	return slices.DeleteFunc(slices.Clone(members), func(member consensus.Member) bool { return member.Learner })
}
