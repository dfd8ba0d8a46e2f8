package driver

import (
	"maps"
	"slices"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/membership"
)

// maxJoining bounds the replicas that ask to join at the same time. Beyond it
// all are forgotten; they ask again.
const maxJoining = 16

// joins are the replicas that asked the leader to join. A replica whose disk was
// lost comes under a new identifier and takes the place of the member of its
// name: it is added as a learner, catches up, the old member is removed, and
// the learner is promoted. Each step is one membership change.
type joins map[consensus.ReplicaID]consensus.Member

// Join notes a replica that asks to be taken into the group.
func (d *Driver) Join(member consensus.Member) {
	d.joining[member.ID] = member
}

// changeMembership proposes the next change that a joining replica needs.
func (d *Driver) changeMembership() {
	if !d.leading || len(d.joining) == 0 {
		return
	}
	if len(d.joining) > maxJoining {
		clear(d.joining)
		return
	}
	status := d.core.Status()
	for _, id := range slices.Sorted(maps.Keys(d.joining)) {
		change, wanted := membership.NextChange(status, d.joining[id])
		if wanted {
			d.proposeMembership(change)
			return
		}
		if membership.IsVoter(status.Membership, id) {
			delete(d.joining, id)
		}
	}
}

func (d *Driver) proposeMembership(change consensus.MembershipChange) {
	if err := d.core.ProposeMembership(change); err != nil {
		d.host.Refused("membership change waits", err)
		return
	}
	d.host.MembershipProposed(change)
}
