package controller

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

var errNoSuccessor = eris.New("no other voter answers")

// maxJoining bounds the replicas that ask to join at the same time.
const maxJoining = 16

// joins are the replicas that asked the leader to join. A replica whose disk was
// lost comes under a new identifier and takes the place of the member of its
// name: it is added as a learner, catches up, the old member is removed, and
// the learner is promoted. Each step is one membership change.
type joins struct {
	pending map[consensus.ReplicaID]consensus.Member
}

func (r *replica) tickMembership() {
	if !r.leading || len(r.joining.pending) == 0 {
		return
	}
	if len(r.joining.pending) > maxJoining {
		r.joining.pending = make(map[consensus.ReplicaID]consensus.Member)
		return
	}
	status := r.core.Status()
	for _, id := range sortedIDs(r.joining.pending) {
		change, wanted := nextChange(status, r.joining.pending[id])
		if !wanted {
			if isVoter(status.Membership, id) {
				delete(r.joining.pending, id)
			}
			continue
		}
		if err := r.core.ProposeMembership(change); err != nil {
			r.log.WithError(err).Debug("membership change waits")
			return
		}
		telemetry.With(r.log, telemetry.EventMemberChanged).WithField("member", change.Member.Name).
			WithField("replica", change.Member.ID).WithField("change", change.Kind).Info("membership change proposed")
		return
	}
}

func sortedIDs(members map[consensus.ReplicaID]consensus.Member) []consensus.ReplicaID {
	ids := make([]consensus.ReplicaID, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b consensus.ReplicaID) int { return cmp.Compare(a, b) })
	return ids
}

// nextChange returns the next step that brings a replica into the group. It
// returns false while there is nothing to do or something to wait for.
func nextChange(status consensus.Status, joining consensus.Member) (consensus.MembershipChange, bool) {
	current, found := memberByID(status.Membership, joining.ID)
	if !found {
		joining.Learner = true
		return consensus.MembershipChange{Kind: consensus.AddLearner, Member: joining}, true
	}
	if !current.Learner || !caughtUp(status, joining.ID) {
		return consensus.MembershipChange{}, false
	}
	replaced, found := memberByName(status.Membership, joining)
	if !found {
		return consensus.MembershipChange{Kind: consensus.PromoteLearner, Member: current}, true
	}
	if isActive(status, replaced.ID) {
		// Two processes run under one name: an operator must stop one.
		return consensus.MembershipChange{}, false
	}
	return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: replaced}, true
}

func caughtUp(status consensus.Status, id consensus.ReplicaID) bool {
	for _, progress := range status.Progress {
		if progress.ID == id {
			return progress.RecentActive && progress.Match >= status.Commit
		}
	}
	return false
}

func isActive(status consensus.Status, id consensus.ReplicaID) bool {
	for _, progress := range status.Progress {
		if progress.ID == id {
			return progress.RecentActive
		}
	}
	return false
}

func isVoter(membership consensus.Membership, id consensus.ReplicaID) bool {
	member, found := memberByID(membership, id)
	return found && !member.Learner
}

// memberByName returns the other member that bears the joining replica's name.
func memberByName(membership consensus.Membership, joining consensus.Member) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.Name == joining.Name && member.ID != joining.ID {
			return member, true
		}
	}
	return consensus.Member{}, false
}
