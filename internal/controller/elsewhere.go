package controller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
)

// leaderlessElections is for how many of the longest election timeouts a replica must know no leader
// before it takes itself for cut off: an election takes one or two.
const leaderlessElections = 2

// mostHeard bounds the replicas that are remembered: many times the members of a group, since replaced
// ones stay among them.
const mostHeard = 64

// groupContact is when this replica heard the others. It is safe for concurrent use.
type groupContact struct {
	mutex   sync.Mutex
	heardAt map[consensus.ReplicaID]time.Duration
	// leaderAt is when a leader was known last.
	leaderAt time.Duration
}

func newGroupContact(now time.Duration) *groupContact {
	return &groupContact{heardAt: make(map[consensus.ReplicaID]time.Duration), leaderAt: now}
}

// heard notes a message of a replica.
func (c *groupContact) heard(now time.Duration, from consensus.ReplicaID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.heardAt) >= mostHeard {
		clear(c.heardAt)
	}
	c.heardAt[from] = now
}

// leaderKnown notes that a leader is known.
func (c *groupContact) leaderKnown(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaderAt = now
}

// silent returns the voters that were not heard within a time, if no leader was known within it and
// those that were heard are too few to elect one: if there is a leader, it is among the silent ones.
func (c *groupContact) silent(now, within time.Duration, self consensus.ReplicaID, voters []consensus.Member) []consensus.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now-c.leaderAt < within {
		return nil
	}
	var silent []consensus.Member
	for _, voter := range voters {
		heardAt, met := c.heardAt[voter.ID]
		if voter.ID != self && (!met || now-heardAt >= within) {
			silent = append(silent, voter)
		}
	}
	if quorum := len(voters)/2 + 1; len(voters)-len(silent) >= quorum {
		return nil
	}
	return silent
}

// electionTime returns the longest time after which a group without a leader elects one, if nothing
// is lost on the way.
func electionTime(settings config.Consensus) time.Duration {
	return 2 * time.Duration(settings.ElectionTicks) * settings.TickInterval
}

// elsewhere returns a member to which callers are sent by a replica that knows no leader: while it is
// held up any other voter, which may have elected one, and while it is cut off with a minority one of
// those that it does not hear. Callers would else come back here again and again.
func (r *replica) elsewhere() (consensus.Member, bool) {
	voters := r.voters()
	candidates := slices.DeleteFunc(slices.Clone(voters), func(voter consensus.Member) bool { return voter.ID == r.self.ID })
	if r.turns.current().Err() == nil {
		candidates = r.contact.silent(r.clock.Now(), leaderlessElections*electionTime(r.settings.Consensus), r.self.ID, voters)
	}
	if len(candidates) == 0 {
		return consensus.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// voters returns the members of the group that vote.
func (r *replica) voters() []consensus.Member {
	members := r.published.Load().status.Membership.Members
	return slices.DeleteFunc(slices.Clone(members), func(member consensus.Member) bool { return member.Learner })
}
