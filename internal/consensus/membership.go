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

// ProposeMembership appends one membership change to the leader's log, which puts
// it in force here. The next change is accepted once this one is applied. The error is ErrNotLeader,
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
	member, found := memberOf(c.membership, change.Member.ID)
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

// refreshMembership brings the membership in line with the log: the one as of
// the applied index and the changes after it.
//
// A change is in force from the moment at which it is appended to a replica's
// log, on that replica, until the entry is replaced (section 4.1 of Ongaro's
// thesis). Safety rests on two rules of ProposeMembership: a leader proposes a
// change only after the one before is applied, and only after an entry of its
// own term is. So the logs of all who can win an election hold memberships that
// are at most one change apart, and quorums of memberships that differ by one
// voter intersect. Whatever a crash leaves in a log is in force again after it.
func (c *Core) refreshMembership() {
	inForce := c.appliedMembership
	for _, entry := range c.log.view(c.log.applied+1, c.log.lastIndex()) {
		if entry.Kind == EntryMembership {
			inForce = changedBy(inForce, entry)
		}
	}
	c.setMembership(inForce)
	if c.role == RoleLeader {
		c.leaderMembershipChanged()
	}
}

// restoreMembership begins with the membership at log.applied, which a snapshot
// or the founding of the group gives.
func (c *Core) restoreMembership(membership Membership) {
	c.appliedMembership = sorted(membership)
	c.refreshMembership()
}

// holdsMembershipChange reports whether a change in the log is not applied yet.
func (c *Core) holdsMembershipChange() bool {
	return slices.ContainsFunc(c.log.view(c.log.applied+1, c.log.lastIndex()), isMembershipChange)
}

func isMembershipChange(entry Entry) bool {
	return entry.Kind == EntryMembership
}

// applyMembership notes that a change which is in force is committed. A leader
// that it removes steps down, and a removed member is no longer sent the log.
func (c *Core) applyMembership(entry Entry) {
	before := c.appliedMembership
	c.appliedMembership = sorted(changedBy(before, entry))
	if c.role == RoleLeader {
		c.sendFarewells(before)
	}
	c.refreshMembership()
	switch {
	case c.role != RoleLeader:
	case c.mayLead():
		c.broadcastAppend()
	default:
		c.becomeFollower(c.term, 0)
	}
}

// sendFarewells tells the members that were removed the commit index, so that
// they learn of their removal: they get no message afterwards.
func (c *Core) sendFarewells(before Membership) {
	for _, member := range before.Members {
		_, remains := memberOf(c.appliedMembership, member.ID)
		if !remains && member.ID != c.config.ID {
			c.sendHeartbeat(member.ID)
		}
	}
}

// mayLead reports whether this replica is a voter of the membership in force, or
// was one before a change that is not applied yet. The latter may still be
// needed: if it alone holds the entry that removes it, nobody with a shorter log
// can be elected, and it leads until that entry is committed. Its own vote and
// its own copy of the log do not count then.
func (c *Core) mayLead() bool {
	return c.isVoter(c.config.ID) || isVoterOf(c.appliedMembership, c.config.ID)
}

// leaderMembershipChanged brings the leader's views in line with the
// memberships.
func (c *Core) leaderMembershipChanged() {
	kept := make(map[ReplicaID]*progress, len(c.receivers))
	for _, id := range c.receivers {
		view, found := c.progress[id]
		if !found {
			view = newProgress(c.log.lastIndex() + 1)
			view.recentActive = true
		}
		kept[id] = view
	}
	c.progress = kept
	if !c.isVoter(c.transferee) {
		c.transferee = 0
	}
	c.advanceCommit()
	c.finishReadRound()
}

// changedBy returns the membership after the change that an entry holds. Only
// ProposeMembership makes these entries, and every replica decodes the same
// bytes to the same result: one that cannot be decoded changes nothing.
func changedBy(membership Membership, entry Entry) Membership {
	change, err := DecodeMembershipChange(entry.Data)
	if err != nil {
		return membership
	}
	return changed(membership, change)
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

// setMembership puts a membership in force.
func (c *Core) setMembership(membership Membership) {
	c.membership = sorted(membership)
	c.voters = nil
	c.receivers = nil
	for _, member := range c.membership.Members {
		c.receivers = append(c.receivers, member.ID)
		if !member.Learner {
			c.voters = append(c.voters, member.ID)
		}
	}
	for _, member := range c.appliedMembership.Members {
		if !slices.Contains(c.receivers, member.ID) {
			c.receivers = append(c.receivers, member.ID)
		}
	}
	slices.Sort(c.receivers)
}

// sorted returns a copy in the order of identifiers, so that the core visits
// members in the same order on every run.
func sorted(membership Membership) Membership {
	members := slices.Clone(membership.Members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: members}
}

func memberOf(membership Membership, id ReplicaID) (Member, bool) {
	for _, member := range membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func isVoterOf(membership Membership, id ReplicaID) bool {
	member, found := memberOf(membership, id)
	return found && !member.Learner
}

// isMember reports whether a replica is a member, or is being removed by a
// change that is not applied yet.
func (c *Core) isMember(id ReplicaID) bool {
	return slices.Contains(c.receivers, id)
}

func (c *Core) isVoter(id ReplicaID) bool {
	return slices.Contains(c.voters, id)
}

// quorum is the number of voters that decide.
func (c *Core) quorum() int {
	return len(c.voters)/2 + 1
}
