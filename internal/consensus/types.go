package consensus

import "time"

// ReplicaID identifies one replica for its whole life. It is drawn at random
// at first start; a replica whose disk was lost gets a new one. Zero means none.
type ReplicaID uint64

// EntryKind tells what an entry's data holds.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryCommand holds an opaque command of the replicated state machine.
	// Empty data is the no-operation entry that a new leader appends.
	EntryCommand EntryKind = iota
	// EntryMembership holds an encoded MembershipChange.
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what must be on stable storage before messages are sent.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Member is one replica of the group.
type Member struct {
	ID ReplicaID
	// Name is the operator's name of the controller, from its settings.
	Name string
	// Address is where the replica accepts peer connections, IP:port.
	Address string
	// APIAddress is where the replica serves the intent API, IP:port.
	APIAddress string
	// Learner is true for a replica that receives the log but has no vote.
	Learner bool
}

// Membership is the set of replicas at one log position.
type Membership struct {
	Members []Member
}

// ChangeKind names one membership change.
type ChangeKind uint8

// Kinds of membership change. Each changes at most one voter.
const (
	AddLearner ChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Kind   ChangeKind
	Member Member
}

// SnapshotMetadata places a snapshot in the log.
type SnapshotMetadata struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Snapshot is the state machine's encoded state at one log position.
type Snapshot struct {
	Metadata SnapshotMetadata
	Data     []byte
}

// MessageKind names one message between replicas.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageAppend
	MessageAppendAnswer
	MessageHeartbeat
	MessageHeartbeatAnswer
	MessageSnapshot
	MessageTimeoutNow
	// MessageForward carries a proposal from a follower to the leader.
	MessageForward
	// MessageReadIndex asks the leader for a quorum-confirmed commit index.
	MessageReadIndex
	MessageReadIndexAnswer
)

// Message travels between replicas. Fields that a kind does not use are zero, and left
// out on the wire, where the others have short names: messages without entries are
// most of what control sends.
type Message struct {
	Kind     MessageKind `msgpack:"k,omitempty"`
	From     ReplicaID   `msgpack:"f,omitempty"`
	To       ReplicaID   `msgpack:"t,omitempty"`
	Term     uint64      `msgpack:"T,omitempty"`
	Index    uint64      `msgpack:"i,omitempty"`
	LogTerm  uint64      `msgpack:"l,omitempty"`
	Commit   uint64      `msgpack:"c,omitempty"`
	Entries  []Entry     `msgpack:"e,omitempty"`
	Reject   bool        `msgpack:"r,omitempty"`
	Hint     uint64      `msgpack:"h,omitempty"`
	HintTerm uint64      `msgpack:"H,omitempty"`
	// Context matches a quorum round or read request to its answers.
	Context  uint64    `msgpack:"x,omitempty"`
	Snapshot *Snapshot `msgpack:"s,omitempty"`
	// Transfer marks a vote request that a leadership transfer asked for.
	Transfer bool `msgpack:"v,omitempty"`
	// Quiet, in a granted vote, is a time before it, by the voter's clock, in
	// which the voter acknowledged no leader and led no term.
	Quiet time.Duration `msgpack:"q,omitempty"`
}

// ReadState says that a read request was confirmed: a quorum acknowledged this
// leader in a round that began after the request was made.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Role is the part that a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
	RoleLearner
)

// Ready is the work that the driver must do, in this order: persist HardState,
// Entries and Snapshot to stable storage; send Messages; apply Committed;
// complete ReadStates; call Advance.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *HardState
	// Entries must be persisted before Messages are sent.
	Entries []Entry
	// Snapshot, when not nil, was received from the leader: persist it and
	// restore the state machine from it before applying Committed.
	Snapshot *Snapshot
	Messages []Message
	// Committed entries are already stable on this replica or among Entries.
	Committed  []Entry
	ReadStates []ReadState
}

// Status describes the core for logs, metrics and decisions of the driver.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	FirstIndex uint64
	// Membership is the membership in force: the newest in the log, committed or
	// not. It may go back when the log's tail is replaced.
	Membership Membership
	// AppliedMembership is the membership as of Applied, which is what a
	// snapshot taken at Applied must carry.
	AppliedMembership Membership
	// Progress is filled on the leader only.
	Progress []Progress
	// TermCommitted is true on a leader that has committed an entry of its own
	// term: only then does its state hold every acknowledged entry.
	TermCommitted bool
	// QuietBeforeElection, on the leader only, is a time before its election in
	// which no quorum round of an earlier leader began. It was measured by other
	// replicas' clocks, so the clock rate bound is to be taken off.
	QuietBeforeElection time.Duration
}

// Progress is what the leader knows of one member's log.
type Progress struct {
	ID           ReplicaID
	Match        uint64
	Next         uint64
	RecentActive bool
	// Silent is true for a member that was not heard for two election timeouts.
	Silent  bool
	Learner bool
}

// Config configures a core. Ticks are the driver's unit of time.
type Config struct {
	ID             ReplicaID
	ElectionTicks  int
	HeartbeatTicks int
	// MaxAppendBytes bounds the entry data in one MessageAppend.
	MaxAppendBytes int
	// MaxInflight bounds unacknowledged MessageAppend per member.
	MaxInflight int
	// MaxUncommittedBytes bounds proposals that are not yet committed.
	MaxUncommittedBytes int
	// TickInterval is the time between two ticks of the driver's clock. The driver
	// drops a tick that finds the one before still waiting. Zero means that the
	// interval is unknown; the replica then vouches for no quiet time.
	TickInterval time.Duration
	// Seed feeds the randomised election timeout.
	Seed uint64
}

// InitialState is what the driver recovered from stable storage.
type InitialState struct {
	HardState HardState
	// Snapshot is the newest snapshot's position; zero when there is none. A
	// new group starts with Index 0 and the first membership.
	Snapshot SnapshotMetadata
	// Entries follow Snapshot.Index without a gap.
	Entries []Entry
}

// SnapshotSource gives the core the newest snapshot to send to a member that
// is behind the log's first index. It is called inside Ready and must be fast.
type SnapshotSource func() (Snapshot, bool)
