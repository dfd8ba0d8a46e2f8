package controller

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/membership"
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
		change, wanted := membership.NextChange(status, r.joining.pending[id])
		if !wanted {
			if membership.IsVoter(status.Membership, id) {
				delete(r.joining.pending, id)
			}
			continue
		}
		if err := r.core.ProposeMembership(change); err != nil {
			r.log.WithError(err).Debug("membership change waits")
			return
		}
		telemetry.With(r.log, telemetry.EventMemberChanged).WithField("member", change.Member.Name).
			WithField("replica", change.Member.ID).WithField("change", changeNames[change.Kind]).Info("membership change proposed")
		return
	}
}

// changeNames are the kinds of membership change in log lines.
var changeNames = map[consensus.ChangeKind]string{
	consensus.AddLearner:     "add_learner",
	consensus.PromoteLearner: "promote_learner",
	consensus.RemoveMember:   "remove_member",
}

func sortedIDs(members map[consensus.ReplicaID]consensus.Member) []consensus.ReplicaID {
	ids := make([]consensus.ReplicaID, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b consensus.ReplicaID) int { return cmp.Compare(a, b) })
	return ids
}
