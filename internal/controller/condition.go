package controller

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/membership"
)

// ready reports whether this replica can serve, because it leads or follows a leader, and otherwise the
// reason.
func (r *replica) ready() (bool, string) {
	current := r.published.Load()
	if current.leading {
		return true, ""
	}
	if current.status.Leader == 0 {
		return false, "no leader is known"
	}
	if current.status.Role == consensus.RoleLeader {
		return false, "this replica was elected and is still reading the log"
	}
	return true, ""
}

// isVoter reports whether this replica has a vote in its group.
func (r *replica) isVoter() bool {
	return membership.IsVoter(r.published.Load().status.Membership, r.self.ID)
}

// isActiveVoter reports whether this replica has a vote in its group and knows a leader.
func (r *replica) isActiveVoter() bool {
	return r.isVoter() && r.published.Load().status.Leader != 0
}

// formationStatus returns what the answer to a joining controller contains: the members and the peer address
// of the leader.
func (r *replica) formationStatus() ([]consensus.Member, string) {
	status := r.published.Load().status
	leader, _ := r.leader()
	return status.Membership.Members, leader.Address
}

// requestJoin passes a joining replica to the loop. A request is dropped if another one is pending; the
// replica asks again.
func (r *replica) requestJoin(member consensus.Member) {
	if !r.published.Load().leading {
		return
	}
	select {
	case r.joinInbox <- member:
	default:
	}
}
