package consensus

import (
	"slices"

	"github.com/rotisserie/eris"
)

// handleFromLeader handles a message from the leader of the current term.
func (c *Core) handleFromLeader(message Message) error {
	if c.role == RoleLeader {
		return eris.Wrapf(ErrInvalidMessage, "replica %d also claims to lead term %d", message.From, message.Term)
	}
	if c.role != RoleFollower || c.leader != message.From {
		c.becomeFollower(c.term, message.From)
	}
	c.electionElapsed = 0
	c.quietTicks = 0
	switch message.Kind {
	case MessageHeartbeat:
		return c.handleHeartbeat(message)
	case MessageSnapshot:
		c.handleSnapshot(message)
		return nil
	default:
		return c.handleAppend(message)
	}
}

func (c *Core) handleHeartbeat(message Message) error {
	if message.Commit > c.log.lastIndex() {
		return eris.Wrapf(ErrLogLost, "the leader recorded index %d as persisted on this replica, whose last index is %d",
			message.Commit, c.log.lastIndex())
	}
	c.commitTo(message.Commit)
	c.send(Message{Kind: MessageHeartbeatAnswer, To: message.From, Context: message.Context})
	return nil
}

func (c *Core) handleAppend(message Message) error {
	c.adoptInitialMembership(message)
	if message.Index < c.log.committed {
		c.acceptAppend(message.From, c.log.committed)
		return nil
	}
	if len(c.membership.Members) == 0 || !c.log.matches(message.Index, message.LogTerm) {
		c.rejectAppend(message)
		return nil
	}
	hadMembershipChange := c.hasUnappliedMembershipChange()
	if !c.log.merge(message.Entries) {
		return eris.Wrapf(ErrLogLost, "the leader's entries after index %d conflict with entries committed here up to index %d",
			message.Index, c.log.committed)
	}
	if hadMembershipChange || slices.ContainsFunc(message.Entries, isMembershipChange) {
		c.refreshMembership()
	}
	last := message.Index + uint64(len(message.Entries))
	c.commitTo(min(message.Commit, last))
	c.acceptAppend(message.From, last)
	return nil
}

// adoptInitialMembership takes the membership at index 0, which no log entry
// holds, from the first append to a joining replica. It is persisted as a snapshot at index 0 without data.
func (c *Core) adoptInitialMembership(message Message) {
	joining := len(c.membership.Members) == 0 && c.log.lastIndex() == 0
	if !joining || message.Index != 0 || message.Snapshot == nil {
		return
	}
	if validateMembership(message.Snapshot.Metadata.Membership) != nil {
		return
	}
	metadata := SnapshotMetadata{Membership: message.Snapshot.Metadata.Membership}
	c.log.restore(&Snapshot{Metadata: metadata})
	c.restoreMembership(metadata.Membership)
	c.initialMembership = c.appliedMembership
}

func (c *Core) acceptAppend(leader ReplicaID, index uint64) {
	c.send(Message{Kind: MessageAppendAnswer, To: leader, Index: index})
}

// rejectAppend tells the leader the highest position that could match: terms
// never decrease along a log, so entries with a term above message.LogTerm
// cannot match.
func (c *Core) rejectAppend(message Message) {
	hint, hintTerm := c.log.conflictByTerm(min(message.Index, c.log.lastIndex()), message.LogTerm)
	c.send(Message{
		Kind: MessageAppendAnswer, To: message.From, Reject: true,
		Index: message.Index, Hint: hint, HintTerm: hintTerm,
	})
}

// commitTo raises the commit index to index; it never lowers it.
func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, index)
}

// handleSnapshot replaces the log with the leader's snapshot, unless the log
// already reaches the snapshot's position.
func (c *Core) handleSnapshot(message Message) {
	metadata := message.Snapshot.Metadata
	known := c.log.matches(metadata.Index, metadata.Term)
	if metadata.Index <= c.log.committed || known {
		if known {
			c.commitTo(metadata.Index)
		}
		c.acceptAppend(message.From, c.log.committed)
		return
	}
	if len(metadata.Membership.Members) == 0 || validateMembership(metadata.Membership) != nil {
		return
	}
	c.log.restore(message.Snapshot)
	c.restoreMembership(metadata.Membership)
	c.acceptAppend(message.From, metadata.Index)
}
