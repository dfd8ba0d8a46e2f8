package durable

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
)

// Formation is what a replica without a group knows when it has asked the other
// configured controllers.
type Formation struct {
	Own    identity.Identity
	Member consensus.Member
	// First is true for the first controller by name, which alone forms groups.
	First bool
	// Others counts the other configured controllers, Answers has those of them
	// that answered.
	Others  int
	Answers []message.FormationAnswer
}

// Decide returns the identity that the replica takes, or false if it has to ask
// again. A replica joins a group that any controller belongs to; a new group
// forms only when every configured controller answers and none belongs to one.
func (f Formation) Decide(newCluster func() message.ClusterID) (identity.Identity, bool) {
	for _, answer := range f.Answers {
		if answer.Cluster != "" {
			return Adopt(f.Own, answer), true
		}
	}
	if len(f.Answers) < f.Others || !f.First {
		return f.Own, false
	}
	return f.found(newCluster()), true
}

// found forms a new group of all controllers.
func (f Formation) found(cluster message.ClusterID) identity.Identity {
	formed := f.Own
	formed.Cluster = cluster
	formed.Founders = []consensus.Member{f.Member}
	for _, answer := range f.Answers {
		formed.Founders = append(formed.Founders, answer.Member)
	}
	slices.SortFunc(formed.Founders, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	return formed
}
