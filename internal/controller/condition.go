package controller

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/membership"
)

// ready reports whether this replica can serve: it leads, or it follows a
// leader.
func (r *replica) ready() (bool, string) {
	known := r.published.Load()
	if known.leading {
		return true, ""
	}
	if known.status.Leader == 0 {
		return false, "no leader is known"
	}
	if known.status.Role == consensus.RoleLeader {
		return false, "this replica was elected and is still reading the log"
	}
	return true, ""
}

// isVoter reports whether this replica has a vote in its group.
func (r *replica) isVoter() bool {
	return membership.IsVoter(r.published.Load().status.Membership, r.self.ID)
}

// belongs reports whether this replica has a vote in its group and hears from it.
func (r *replica) belongs() bool {
	return r.isVoter() && r.published.Load().status.Leader != 0
}

// formationStatus returns what a joining controller asks for: the members and
// the leader's peer address.
func (r *replica) formationStatus() ([]consensus.Member, string) {
	status := r.published.Load().status
	leader, _ := r.leader()
	return status.Membership.Members, leader.Address
}

// requestJoin passes a joining replica to the loop. A request that finds no
// room is dropped; the replica asks again.
func (r *replica) requestJoin(member consensus.Member) {
	if !r.published.Load().leading {
		return
	}
	select {
	case r.joinInbox <- member:
	default:
	}
}
