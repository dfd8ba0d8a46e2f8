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

	// membership is the effective membership: the newest in the log, committed or
	// not, sorted by identifier. voters are its voting members.
	membership Membership
	voters     []ReplicaID
	// appliedMembership is the membership as of log.applied. While it differs
	// from membership, a change is not committed or not applied yet.
	appliedMembership Membership
	// receivers are the members of either membership, sorted: those that a leader
	// sends the log to.
	receivers []ReplicaID
	// initialMembership is the membership at index 0. No log entry
	// holds it, so the leader attaches it to appends that start at index 0.
	initialMembership Membership

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int

	// votes holds the voters' answers to the current campaign.
	votes map[ReplicaID]bool
	// quietTicks, campaignQuiet and electionQuiet bound how recently an earlier
	// leader was acknowledged: by this replica, by the voters of the current
	// campaign, and by the voters that elected this leader. See quiet.go.
	quietTicks    int
	campaignQuiet time.Duration
	electionQuiet time.Duration
	// ownVoteTerm is the term of this replica's vote for itself while that is not
	// persisted yet, else 0.
	ownVoteTerm uint64

	// The fields below are used by the leader only.
	progress         map[ReplicaID]*progress
	uncommittedBytes int
	// pendingMembership is the last index that may hold a membership change. No
	// further change is proposed until that index is applied.
	pendingMembership uint64
	transferee        ReplicaID
	transferElapsed   int
	reads             readRounds

	messages   []Message
	readStates []ReadState
	persisted  HardState
	// outstanding is the Ready that the driver is processing, or nil.
	outstanding *outstandingReady
}

// New returns a core with the given configuration and recovered state. The error
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
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.ID))), //nolint:gosec // randomises election timeouts only; runs must be reproducible from the seed
		term:     initial.HardState.Term,
		vote:     initial.HardState.Vote,
		log:      newLog(initial),
	}
	core.restoreMembership(initial.Snapshot.Membership)
	core.initialMembership = core.appliedMembership
	core.persisted = initial.HardState
	core.becomeFollower(core.term, 0)
	return core, nil
}

// Tick advances the core's logical clock by one tick.
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
// call, and starts the next check period.
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

// appendOwn appends an entry of the leader's term to its log. The leader's copy
// counts towards the quorum only once Advance reports it persisted.
func (c *Core) appendOwn(kind EntryKind, data []byte) {
	c.log.append(Entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: kind, Data: data})
	c.uncommittedBytes += len(data)
	if kind == EntryMembership {
		c.refreshMembership()
	}
}

// Compact drops the log entries up to index. The driver must have saved a
// snapshot at index or above, and its SnapshotSource must return it from now
// on. Compacting up to an index that is already compacted has no effect.
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

// Status returns a snapshot of the core's state.
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

// silentElectionTimeouts is the number of election timeouts without a message
// from a member after which it is reported as silent.
const silentElectionTimeouts = 2

func (c *Core) progressStatus() []Progress {
	list := make([]Progress, 0, len(c.membership.Members))
	for _, member := range c.membership.Members {
		memberProgress := c.progress[member.ID]
		list = append(list, Progress{
			ID:           member.ID,
			Match:        memberProgress.match,
			Next:         memberProgress.next,
			RecentActive: memberProgress.recentActive || member.ID == c.config.ID,
			Silent:       member.ID != c.config.ID && memberProgress.silentTicks >= silentElectionTimeouts*c.config.ElectionTicks,
			Learner:      member.Learner,
		})
	}
	return list
}

// termCommitted reports whether this replica leads and has committed an entry of its term.
func (c *Core) termCommitted() bool {
	if c.role != RoleLeader {
		return false
	}
	term, _ := c.log.term(c.log.committed)
	return term == c.term
}

// send queues a message for the next Ready. A zero Term is set to the current term.
func (c *Core) send(message Message) {
	message.From = c.config.ID
	if message.Term == 0 {
		message.Term = c.term
	}
	c.messages = append(c.messages, message)
}
