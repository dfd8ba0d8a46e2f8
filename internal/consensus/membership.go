package consensus

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// EncodeMembershipChange encodes a change as the data of a log entry.
func EncodeMembershipChange(change MembershipChange) ([]byte, error) {
	if err := validateChange(change); err != nil {
		return nil, err
	}
	data, err := msgpack.Marshal(&change)
	if err != nil {
		return nil, eris.Wrap(err, "encode membership change")
	}
	return data, nil
}

// DecodeMembershipChange decodes the data of an EntryMembership. The error
// wraps ErrInvalidChange.
func DecodeMembershipChange(data []byte) (MembershipChange, error) {
	var change MembershipChange
	if err := msgpack.Unmarshal(data, &change); err != nil {
		return MembershipChange{}, eris.Wrapf(ErrInvalidChange, "decode: %v", err)
	}
	return change, validateChange(change)
}

func validateChange(change MembershipChange) error {
	if change.Kind < AddLearner || change.Kind > RemoveMember {
		return eris.Wrapf(ErrInvalidChange, "Kind is %d: use AddLearner, PromoteLearner or RemoveMember", change.Kind)
	}
	if change.Member.ID == 0 {
		return eris.Wrap(ErrInvalidChange, "Member.ID is 0: give a replica identifier above 0")
	}
	return nil
}

func validateMembership(membership Membership) error {
	seen := make(map[ReplicaID]bool, len(membership.Members))
	for _, member := range membership.Members {
		if member.ID == 0 || seen[member.ID] {
			return eris.Wrapf(ErrInvalidState, "Membership has the identifier %d: give each member its own above 0", member.ID)
		}
		seen[member.ID] = true
	}
	return nil
}

// ProposeMembership appends one membership change to the leader's log. The next
// change is accepted once this one is applied. The error is ErrNotLeader,
// ErrMembershipPending, ErrProposalDropped, or tells why the change is refused.
func (c *Core) ProposeMembership(change MembershipChange) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	data, err := EncodeMembershipChange(change)
	if err != nil {
		return err
	}
	if c.pendingMembership > c.log.applied {
		return ErrMembershipPending
	}
	if err := c.checkChange(change); err != nil {
		return err
	}
	if err := c.propose(EntryMembership, data); err != nil {
		return err
	}
	c.pendingMembership = c.log.lastIndex()
	return nil
}

// checkChange refuses a change that does not fit the present membership.
func (c *Core) checkChange(change MembershipChange) error {
	member, found := c.member(change.Member.ID)
	switch change.Kind {
	case AddLearner:
		if found {
			return eris.Wrapf(ErrMemberExists, "Member.ID is %d", change.Member.ID)
		}
		return nil
	case PromoteLearner:
		if !found || !member.Learner {
			return eris.Wrapf(ErrUnknownMember, "Member.ID is %d: only a learner can be promoted", change.Member.ID)
		}
		return c.checkCaughtUp(member.ID)
	default:
		if !found {
			return eris.Wrapf(ErrUnknownMember, "Member.ID is %d", change.Member.ID)
		}
		if !member.Learner && len(c.voters) == 1 {
			return ErrLastVoter
		}
		return nil
	}
}

func (c *Core) checkCaughtUp(id ReplicaID) error {
	match := c.progress[id].match
	if match < c.log.committed {
		return eris.Wrapf(ErrLearnerBehind, "learner %d has index %d of %d", id, match, c.log.committed)
	}
	return nil
}

// applyMembership puts a committed change in force on this replica.
//
// A change takes effect when it is applied. Safety rests on this invariant: a
// replica whose log holds change k+2 knows that change k+1 is committed. The
// leader proposes a change only after it applied the one before and sends its
// commit index with the entries; after a restart the log itself proves it (see
// provenCommit). A replica does not campaign with a committed change unapplied.
// So whoever can win an election uses a membership at most one change from the
// one that committed the newest entries, and quorums of memberships that differ
// by one voter intersect.
func (c *Core) applyMembership(entry Entry) {
	change, err := DecodeMembershipChange(entry.Data)
	if err != nil {
		// Only ProposeMembership makes these entries, and every replica
		// decodes the same bytes to the same result: none applies it.
		return
	}
	if change.Kind == RemoveMember && c.role == RoleLeader {
		c.sendFarewell(change.Member.ID)
	}
	c.setMembership(changed(c.membership, change))
	if c.role == RoleLeader {
		c.leaderMembershipChanged()
	}
}

// sendFarewell tells a member that is being removed the commit index, so that
// it learns of its removal: it gets no message afterwards.
func (c *Core) sendFarewell(id ReplicaID) {
	if _, found := c.progress[id]; found && id != c.config.ID {
		c.sendHeartbeat(id)
	}
}

// leaderMembershipChanged brings the leader's views in line with the new
// membership. A leader that was removed steps down.
func (c *Core) leaderMembershipChanged() {
	if !c.isVoter(c.config.ID) {
		c.becomeFollower(c.term, 0)
		return
	}
	kept := make(map[ReplicaID]*progress, len(c.membership.Members))
	for _, member := range c.membership.Members {
		view, found := c.progress[member.ID]
		if !found {
			view = newProgress(c.log.lastIndex() + 1)
			view.recentActive = true
		}
		kept[member.ID] = view
	}
	c.progress = kept
	if !c.isVoter(c.transferee) {
		c.transferee = 0
	}
	c.advanceCommit()
	c.broadcastAppend()
	c.finishReadRound()
}

// changed returns the membership after a change. A change that does not fit
// leaves it as it is.
func changed(membership Membership, change MembershipChange) Membership {
	members := slices.Clone(membership.Members)
	position := slices.IndexFunc(members, func(member Member) bool { return member.ID == change.Member.ID })
	switch {
	case change.Kind == AddLearner && position < 0:
		added := change.Member
		added.Learner = true
		members = append(members, added)
	case change.Kind == PromoteLearner && position >= 0:
		members[position].Learner = false
	case change.Kind == RemoveMember && position >= 0:
		members = slices.Delete(members, position, position+1)
	default:
	}
	return Membership{Members: members}
}

// setMembership puts a membership in force, sorted so that the core visits
// members in the same order on every run.
func (c *Core) setMembership(membership Membership) {
	members := slices.Clone(membership.Members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	c.membership = Membership{Members: members}
	c.voters = nil
	for _, member := range members {
		if !member.Learner {
			c.voters = append(c.voters, member.ID)
		}
	}
}

func (c *Core) member(id ReplicaID) (Member, bool) {
	for _, member := range c.membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (c *Core) isMember(id ReplicaID) bool {
	_, found := c.member(id)
	return found
}

func (c *Core) isVoter(id ReplicaID) bool {
	return slices.Contains(c.voters, id)
}

// quorum is the number of voters that decide.
func (c *Core) quorum() int {
	return len(c.voters)/2 + 1
}
