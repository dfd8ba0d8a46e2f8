package membership

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
)

// NextChange returns the next membership change needed for a replica to join the
// group as a voter. It returns false while there is none, or the next one has to
// wait.
func NextChange(status consensus.Status, joining consensus.Member) (consensus.MembershipChange, bool) {
	current, found := ByID(status.Membership, joining.ID)
	if !found {
		joining.Learner = true
		return consensus.MembershipChange{Kind: consensus.AddLearner, Member: joining}, true
	}
	if !current.Learner || !hasCaughtUp(status, joining.ID) {
		return consensus.MembershipChange{}, false
	}
	replaced, found := otherMemberByName(status.Membership, joining)
	if !found {
		return changeWithoutReplacement(status, current)
	}
	if isActive(status, replaced.ID) {
		// Two processes use the same name: an operator must stop one of them.
		return consensus.MembershipChange{}, false
	}
	return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: replaced}, true
}

// MaxVoters is the number of voters up to which learners are promoted without the
// removal of another voter. With more voters, each commit would need more copies.
const MaxVoters = 5

// changeWithoutReplacement returns the change for a learner that has caught up and
// whose name no other member has. A voter that is silent is removed first: it may
// be lost permanently and would still raise the size of a quorum. If it returns, it
// joins again as a learner.
func changeWithoutReplacement(status consensus.Status, learner consensus.Member) (consensus.MembershipChange, bool) {
	if silent, found := findSilentVoter(status); found {
		return consensus.MembershipChange{Kind: consensus.RemoveMember, Member: silent}, true
	}
	if countVoters(status.Membership) >= MaxVoters {
		return consensus.MembershipChange{}, false
	}
	return consensus.MembershipChange{Kind: consensus.PromoteLearner, Member: learner}, true
}

func findSilentVoter(status consensus.Status) (consensus.Member, bool) {
	for _, progress := range status.Progress {
		if member, found := ByID(status.Membership, progress.ID); found && progress.Silent && !member.Learner {
			return member, true
		}
	}
	return consensus.Member{}, false
}

func countVoters(members consensus.Membership) int {
	count := 0
	for _, member := range members.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

func hasCaughtUp(status consensus.Status, id consensus.ReplicaID) bool {
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

// otherMemberByName returns the other member with the joining replica's name.
func otherMemberByName(members consensus.Membership, joining consensus.Member) (consensus.Member, bool) {
	for _, member := range members.Members {
		if member.Name == joining.Name && member.ID != joining.ID {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// ByID returns the member with the identifier.
func ByID(members consensus.Membership, id consensus.ReplicaID) (consensus.Member, bool) {
	for _, member := range members.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}
