package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Core is one replica's state of the consensus algorithm. It is not safe for
// concurrent use: one goroutine drives it.
type Core struct {
	config   Config
	snapshot SnapshotSource
	random   *rand.Rand

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID
	log    *replicatedLog

	// membership is the membership in force, the newest in the log whether or
	// not it is committed, sorted by identifier. voters are those of it.
	membership Membership
	voters     []ReplicaID
	// appliedMembership is the membership as of log.applied. While it differs
	// from membership, a change waits to be committed or applied.
	appliedMembership Membership
	// receivers are the members of both, to which a leader sends the log, sorted.
	receivers []ReplicaID
	// firstMembership is the membership at index 0. It is in no log entry, so
	// the leader attaches it to appends that start at index 0.
	firstMembership Membership

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int

	// votes holds the answers of the present campaign.
	votes map[ReplicaID]bool
	// quietTicks, campaignQuiet and electionQuiet bound when earlier leaders were
	// acknowledged: on this replica, by the votes of the present campaign, and by
	// those that made it the leader. See quiet.go.
	quietTicks    int
	campaignQuiet time.Duration
	electionQuiet time.Duration
	// ownVoteTerm is the term of the own vote that waits to be persisted.
	ownVoteTerm uint64

	// The fields below are used by the leader only.
	progress         map[ReplicaID]*progress
	uncommittedBytes int
	// pendingMembership is the last index that may hold a change: no further
	// change is proposed until it is applied.
	pendingMembership uint64
	transferee        ReplicaID
	transferElapsed   int
	reads             readRounds

	messages   []Message
	readStates []ReadState
	persisted  HardState
	// outstanding is the Ready that the driver works on.
	outstanding *outstandingReady
}

// New builds a core from its configuration and the recovered state. The error
// wraps ErrInvalidConfig, ErrInvalidState or ErrLogLost and names the field.
func New(config Config, initial InitialState, snapshots SnapshotSource) (*Core, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	if snapshots == nil {
		return nil, eris.Wrap(ErrInvalidConfig, "snapshots is nil: give a snapshot source")
	}
	if err := initial.validate(); err != nil {
		return nil, err
	}
	core := &Core{
		config:   config,
		snapshot: snapshots,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.ID))), //nolint:gosec // spreads election timeouts; must replay from the seed
		term:     initial.HardState.Term,
		vote:     initial.HardState.Vote,
		log:      newLog(initial),
	}
	core.restoreMembership(initial.Snapshot.Membership)
	core.firstMembership = core.appliedMembership
	core.persisted = initial.HardState
	core.becomeFollower(core.term, 0)
	return core, nil
}

// Tick advances the core's time by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	c.quietTicks++
	if c.electionElapsed >= c.electionTimeout {
		c.resetElectionTimer()
		c.leader = 0
		c.startPreVote()
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	for _, id := range c.receivers {
		c.progress[id].silentTicks++
		c.progress[id].probeTicks++
	}
	c.tickTransfer()
	c.tickSnapshots()
	if c.electionElapsed >= c.config.ElectionTicks {
		c.electionElapsed = 0
		if !c.checkQuorum() {
			c.becomeFollower(c.term, 0)
			return
		}
	}
	if c.heartbeatElapsed >= c.config.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a quorum of voters was heard from since the last
// call, and starts the next period.
func (c *Core) checkQuorum() bool {
	active := 0
	for _, id := range c.voters {
		if id == c.config.ID || c.progress[id].recentActive {
			active++
		}
	}
	for _, id := range c.receivers {
		c.progress[id].recentActive = false
	}
	return active >= c.quorum()
}

// Propose appends a command to the leader's log. The core keeps data: the
// caller must not change it afterwards. The error is ErrNotLeader or
// ErrProposalDropped. No error does not mean that the entry will be committed.
func (c *Core) Propose(data []byte) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	return c.propose(EntryCommand, data)
}

func (c *Core) propose(kind EntryKind, data []byte) error {
	if c.transferee != 0 {
		return ErrProposalDropped
	}
	size := c.uncommittedBytes + len(data)
	if c.uncommittedBytes > 0 && size > c.config.MaxUncommittedBytes {
		return ErrProposalDropped
	}
	c.appendOwn(kind, data)
	c.broadcastAppend()
	return nil
}

// appendOwn adds an entry of the leader's term. The leader's own copy counts
// towards the quorum only once Advance reports it persisted.
func (c *Core) appendOwn(kind EntryKind, data []byte) {
	c.log.append(Entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: kind, Data: data})
	c.uncommittedBytes += len(data)
	if kind == EntryMembership {
		c.refreshMembership()
	}
}

// Compact drops the log entries up to index. The driver must have saved a
// snapshot at index or above, and its SnapshotSource must return it from now
// on. An index that is already compacted is accepted.
func (c *Core) Compact(index uint64) error {
	if index <= c.log.snapshotIndex {
		return nil
	}
	if index > c.log.applied {
		return eris.Wrapf(ErrInvalidCompaction, "index is %d: give at most the applied index %d", index, c.log.applied)
	}
	c.log.compact(index)
	return nil
}

// Status describes the core at this moment.
func (c *Core) Status() Status {
	status := Status{
		ID:                c.config.ID,
		Role:              c.role,
		Term:              c.term,
		Leader:            c.leader,
		Commit:            c.log.committed,
		Applied:           c.log.applied,
		LastIndex:         c.log.lastIndex(),
		FirstIndex:        c.log.firstIndex(),
		Membership:        Membership{Members: slices.Clone(c.membership.Members)},
		AppliedMembership: Membership{Members: slices.Clone(c.appliedMembership.Members)},
		TermCommitted:     c.termCommitted(),
	}
	if c.role == RoleFollower && !c.isVoter(c.config.ID) {
		status.Role = RoleLearner
	}
	if c.role == RoleLeader {
		status.Progress = c.progressStatus()
		status.QuietBeforeElection = c.electionQuiet
	}
	return status
}

// silentElections is how many election timeouts a member is not heard before it
// counts as silent.
const silentElections = 2

func (c *Core) progressStatus() []Progress {
	list := make([]Progress, 0, len(c.membership.Members))
	for _, member := range c.membership.Members {
		view := c.progress[member.ID]
		list = append(list, Progress{
			ID:           member.ID,
			Match:        view.match,
			Next:         view.next,
			RecentActive: view.recentActive || member.ID == c.config.ID,
			Silent:       member.ID != c.config.ID && view.silentTicks >= silentElections*c.config.ElectionTicks,
			Learner:      member.Learner,
		})
	}
	return list
}

// termCommitted reports whether this leader committed an entry of its term.
func (c *Core) termCommitted() bool {
	if c.role != RoleLeader {
		return false
	}
	term, _ := c.log.term(c.log.committed)
	return term == c.term
}

// send queues a message. Term is the present one unless the caller set it.
func (c *Core) send(message Message) {
	message.From = c.config.ID
	if message.Term == 0 {
		message.Term = c.term
	}
	c.messages = append(c.messages, message)
}
