package driver

import (
	"maps"
	"slices"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/membership"
)

// maxJoining limits the pending join requests. If there are more, all are dropped;
// the replicas send them again.
const maxJoining = 16

// joinRequests holds the replicas that asked the leader to join the group. A replica
// whose disk was lost joins under a new identifier and replaces the member of the
// same name: it is added as a learner and catches up, the old member is removed, and
// the learner is promoted. Each addition, removal and promotion is one membership
// change.
type joinRequests map[consensus.ReplicaID]consensus.Member

// Join records a replica's request to join the group.
func (d *Driver) Join(member consensus.Member) {
	d.joinRequests[member.ID] = member
}

// changeMembership proposes the next membership change that a join request needs.
func (d *Driver) changeMembership() {
	if !d.leading || len(d.joinRequests) == 0 {
		return
	}
	if len(d.joinRequests) > maxJoining {
		clear(d.joinRequests)
		return
	}
	status := d.core.Status()
	for _, id := range slices.Sorted(maps.Keys(d.joinRequests)) {
		change, wanted := membership.NextChange(status, d.joinRequests[id])
		if wanted {
			d.proposeMembership(change)
			return
		}
		if membership.IsVoter(status.Membership, id) {
			delete(d.joinRequests, id)
		}
	}
}

func (d *Driver) proposeMembership(change consensus.MembershipChange) {
	if err := d.core.ProposeMembership(change); err != nil {
		d.host.Refused("cannot propose the membership change yet; will retry", err)
		return
	}
	d.host.MembershipProposed(change)
}
