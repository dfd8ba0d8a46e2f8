package consensus

import "github.com/rotisserie/eris"

// Errors of the core. Callers compare with eris.Is or errors.Is.
var (
	// ErrNotLeader: only the leader accepts the call, and this replica is not it.
	ErrNotLeader = eris.New("consensus: this replica is not the leader")
	// ErrNoLeader: this replica knows no leader to forward the read to.
	ErrNoLeader = eris.New("consensus: no leader is known")
	// ErrProposalDropped: too many bytes are uncommitted, or leadership is
	// being transferred. The proposal was not appended and may be retried.
	ErrProposalDropped = eris.New("consensus: proposal dropped, retry later")
	// ErrMembershipPending: an earlier membership change is not applied yet, or
	// the leader has not yet committed an entry of its term.
	ErrMembershipPending = eris.New("consensus: a membership change is pending")
	// ErrLearnerBehind: the learner's log does not reach the commit index.
	ErrLearnerBehind = eris.New("consensus: the learner is behind the commit index")
	// ErrMemberExists: a member with that identifier is in the group.
	ErrMemberExists = eris.New("consensus: the member exists already")
	// ErrUnknownMember: there is no such member, or it lacks the role that the call requires.
	ErrUnknownMember = eris.New("consensus: no such member in the needed role")
	// ErrLastVoter: the change would leave the group without a voter.
	ErrLastVoter = eris.New("consensus: the last voter cannot be removed")
	// ErrReadQueueFull: too many reads are waiting for a quorum round.
	ErrReadQueueFull = eris.New("consensus: too many reads are waiting, retry later")
	// ErrInvalidMessage: the message is malformed or addressed to another replica.
	ErrInvalidMessage = eris.New("consensus: invalid message")
	// ErrInvalidChange: the membership change is malformed.
	ErrInvalidChange = eris.New("consensus: invalid membership change")
	// ErrInvalidConfig: a configuration field is out of range.
	ErrInvalidConfig = eris.New("consensus: invalid configuration")
	// ErrInvalidState: the recovered state is inconsistent.
	ErrInvalidState = eris.New("consensus: invalid initial state")
	// ErrInvalidCompaction: the index is not applied yet.
	ErrInvalidCompaction = eris.New("consensus: only applied entries can be compacted")
	// ErrLogLost: the log lacks entries that this replica acknowledged, or the
	// leader's log conflicts with an entry that is committed here. The replica's
	// stable storage lost data: stop the replica and replace it under a new
	// identifier.
	ErrLogLost = eris.New("consensus: the log lost or contradicts acknowledged entries")
)
