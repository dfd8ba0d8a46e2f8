package membership

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
)

// NextChange returns the next step that brings a replica into the group. It
// returns false while there is nothing to do or something to wait for.
func NextChange(status consensus.Status, joining consensus.Member) (consensus.MembershipChange, bool) {
	current, found := ByID(status.Membership, joining.ID)
	if !found {
		joining.Learner = true
		return consensus.MembershipChange{Kind: consensus.AddLearner, Member: joining}, true
	}
	if !current.Learner || !caughtUp(status, joining.ID) {
		return consensus.MembershipChange{}, false
	}
	replaced, found := memberByName(status.Membership, joining)
	if !found {
		return changeBesideOthers(status, current)
	}
	if isActive(status, replaced.ID) {
		// Two processes run under one name: an operator must stop one.
		return consensus.MembershipChange{}, false
	}
	return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: replaced}, true
}

// MaxVoters is the number of voters up to which learners are promoted without
// another voter being removed. More voters would cost each commit more copies.
const MaxVoters = 5

// changeBesideOthers returns the change for a learner that has caught up and bears
// the name of no other member. A voter that is silent is removed first: it may be
// gone for good, and would count towards the quorum for ever. If it returns, it
// joins again as a learner.
func changeBesideOthers(status consensus.Status, learner consensus.Member) (consensus.MembershipChange, bool) {
	if silent, found := silentVoter(status); found {
		return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: silent}, true
	}
	if voters(status.Membership) >= MaxVoters {
		return consensus.MembershipChange{}, false
	}
	return consensus.MembershipChange{Kind: consensus.PromoteLearner, Member: learner}, true
}

func silentVoter(status consensus.Status) (consensus.Member, bool) {
	for _, progress := range status.Progress {
		if member, found := ByID(status.Membership, progress.ID); found && progress.Silent && !member.Learner {
			return member, true
		}
	}
	return consensus.Member{}, false
}

func voters(members consensus.Membership) int {
	count := 0
	for _, member := range members.Members {
		if !member.Learner {
			count++
		}
	}
	return count
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
			return progress.RecentActive || !progress.Silent
		}
	}
	return false
}

// IsVoter reports whether a replica has a vote in the membership.
func IsVoter(members consensus.Membership, id consensus.ReplicaID) bool {
	member, found := ByID(members, id)
	return found && !member.Learner
}

// memberByName returns the other member that bears the joining replica's name.
func memberByName(members consensus.Membership, joining consensus.Member) (consensus.Member, bool) {
	for _, member := range members.Members {
		if member.Name == joining.Name && member.ID != joining.ID {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// ByID returns the member that bears an identifier.
func ByID(members consensus.Membership, id consensus.ReplicaID) (consensus.Member, bool) {
	for _, member := range members.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}
