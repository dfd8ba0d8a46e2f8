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

// ProposeMembership appends one membership change to the leader's log. The change
// takes effect on the leader at once. The next one is accepted once this one is
// applied. The error is ErrNotLeader, ErrMembershipPending or ErrProposalDropped,
// or says why the change is rejected.
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

// checkChange rejects a change that does not fit the current membership.
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

// refreshMembership recomputes the effective membership from the log: the
// membership at the applied index plus the changes after it.
//
// A change is effective on a replica from when it is appended to that replica's
// log until the entry is replaced (section 4.1 of Ongaro's thesis). Safety rests on two rules of ProposeMembership: a leader proposes a
// change only after the previous one is applied, and only after an entry of its
// own term is applied. So the memberships in the logs of all replicas that can
// win an election are at most one change apart, and quorums of memberships that
// differ by one voter intersect. A change that is still in the log after a crash
// is effective again.
func (c *Core) refreshMembership() {
	inForce := c.appliedMembership
	for _, entry := range c.log.view(c.log.applied+1, c.log.lastIndex()) {
		if entry.Kind == EntryMembership {
			inForce = withEntryChange(inForce, entry)
		}
	}
	c.setMembership(inForce)
	if c.role == RoleLeader {
		c.leaderMembershipChanged()
	}
}

// restoreMembership sets the membership at log.applied, which comes from a
// snapshot or from the creation of the group.
func (c *Core) restoreMembership(membership Membership) {
	c.appliedMembership = sorted(membership)
	c.refreshMembership()
}

// hasUnappliedMembershipChange reports whether the log holds a membership change,
// committed or not, that is not applied yet.
func (c *Core) hasUnappliedMembershipChange() bool {
	return slices.ContainsFunc(c.log.view(c.log.applied+1, c.log.lastIndex()), isMembershipChange)
}

func isMembershipChange(entry Entry) bool {
	return entry.Kind == EntryMembership
}

// applyMembership applies a committed change, which is already effective. A leader
// that it removes steps down, and a removed member is no longer sent the log.
func (c *Core) applyMembership(entry Entry) {
	before := c.appliedMembership
	c.appliedMembership = sorted(withEntryChange(before, entry))
	if c.role == RoleLeader {
		c.notifyRemovedMembers(before)
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

// notifyRemovedMembers sends removed members a last heartbeat with the commit
// index, from which they learn that their removal is committed: they get no
// message afterwards.
func (c *Core) notifyRemovedMembers(before Membership) {
	for _, member := range before.Members {
		_, remains := memberOf(c.appliedMembership, member.ID)
		if !remains && member.ID != c.config.ID {
			c.sendHeartbeat(member.ID)
		}
	}
}

// mayLead reports whether this replica is a voter of the effective membership, or
// was one before a change that is not applied yet. The latter may still be
// needed: if only this replica holds the entry that removes it, no replica with a
// shorter log can be elected, so this one leads until that entry is committed.
// Its own vote and its own copy of the log do not count then.
func (c *Core) mayLead() bool {
	return c.isVoter(c.config.ID) || isVoterOf(c.appliedMembership, c.config.ID)
}

// leaderMembershipChanged updates the leader's state after a membership change:
// it adds and drops progress, cancels a transfer to a replica that is no longer a
// voter, and evaluates the commit index and the read round with the new quorum.
func (c *Core) leaderMembershipChanged() {
	kept := make(map[ReplicaID]*progress, len(c.receivers))
	for _, id := range c.receivers {
		memberProgress, found := c.progress[id]
		if !found {
			memberProgress = newProgress(c.log.lastIndex() + 1)
			memberProgress.recentActive = true
		}
		kept[id] = memberProgress
	}
	c.progress = kept
	if !c.isVoter(c.transferee) {
		c.transferee = 0
	}
	c.advanceCommit()
	c.finishReadRound()
}

// withEntryChange returns the membership after the change that an entry holds. An
// entry that cannot be decoded changes nothing: only ProposeMembership creates
// these entries, and every replica decodes the same bytes to the same result.
func withEntryChange(membership Membership, entry Entry) Membership {
	change, err := DecodeMembershipChange(entry.Data)
	if err != nil {
		return membership
	}
	return withChange(membership, change)
}

// withChange returns the membership after a change. A change that does not fit
// has no effect.
func withChange(membership Membership, change MembershipChange) Membership {
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

// setMembership makes a membership the effective one.
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

// sorted returns a copy in the order of identifiers, so that the core iterates
// over members in the same order in every run.
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

// quorum returns the size of a majority of the voters.
func (c *Core) quorum() int {
	return len(c.voters)/2 + 1
}
