package consensus

import "time"

// ReplicaID identifies one replica for as long as its disk lasts. It is chosen at
// random at first start; a replica whose disk was lost gets a new one. Zero means none.
type ReplicaID uint64

// EntryKind says what an entry's data holds.
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

// HardState is the part of the core's state, besides the log, that must be on
// stable storage before messages are sent.
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

// ChangeKind is the kind of a membership change.
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

// SnapshotMetadata is a snapshot's log position and the membership there.
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

// MessageKind is the kind of a message between replicas.
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

// Message is sent between replicas. Fields that a kind does not use are zero. They are
// omitted on the wire, and the others have short names there, since messages without
// entries are most of the traffic between controllers.
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
	// Quiet, in a granted vote, is a time up to the vote, by the voter's clock, in
	// which the voter acknowledged no leader and led no term. See quiet.go.
	Quiet time.Duration `msgpack:"q,omitempty"`
}

// ReadState is a confirmed read request: a quorum acknowledged the leader in a round
// that began after the request was made. Index is the commit index to read at.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Role is a replica's role in its term.
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
	// Committed holds entries to apply. Each is on this replica's stable storage
	// already or among Entries.
	Committed  []Entry
	ReadStates []ReadState
}

// Status is the core's state for logs, metrics and decisions of the driver.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	FirstIndex uint64
	// Membership is the effective membership: the newest in the log, committed or
	// not. It may revert to an earlier one when the log's tail is replaced.
	Membership Membership
	// AppliedMembership is the membership as of Applied, which is what a
	// snapshot taken at Applied must carry.
	AppliedMembership Membership
	// Progress is set on the leader only.
	Progress []Progress
	// TermCommitted is true on a leader that has committed an entry of its own
	// term: only then does its state hold every acknowledged entry.
	TermCommitted bool
	// QuietBeforeElection, on the leader only, is a time before its election in
	// which no quorum round of an earlier leader began. It is measured by other
	// replicas' clocks, so the caller must subtract the clock rate bound.
	QuietBeforeElection time.Duration
}

// Progress is what the leader knows of one member's log.
type Progress struct {
	ID           ReplicaID
	Match        uint64
	Next         uint64
	RecentActive bool
	// Silent is true for a member that sent nothing for two election timeouts.
	Silent  bool
	Learner bool
}

// Config configures a core. Ticks are the driver's unit of time.
type Config struct {
	ID             ReplicaID
	ElectionTicks  int
	HeartbeatTicks int
	// MaxAppendBytes limits the entry data in one MessageAppend, which holds at
	// least one entry.
	MaxAppendBytes int
	// MaxInflight limits the unacknowledged MessageAppend messages per member.
	MaxInflight int
	// MaxUncommittedBytes limits the data of proposals that are not yet committed.
	MaxUncommittedBytes int
	// TickInterval is the time between two ticks of the driver's clock. The driver
	// drops a tick if the previous one has not been processed yet. Zero means that
	// the interval is unknown; the replica then reports a quiet time of zero.
	TickInterval time.Duration
	// Seed seeds the random election timeouts.
	Seed uint64
}

// InitialState is what the driver recovered from stable storage.
type InitialState struct {
	HardState HardState
	// Snapshot is the newest snapshot's metadata; zero if there is none. A new
	// group starts with Index 0 and the initial membership.
	Snapshot SnapshotMetadata
	// Entries follow Snapshot.Index without a gap.
	Entries []Entry
}

// SnapshotSource returns the newest snapshot, or false if there is none. The leader
// sends it to a member that is behind the log's first index. It is called inside
// Ready and must be fast.
type SnapshotSource func() (Snapshot, bool)
