package durable

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
)

// Formation is what a replica that belongs to no group knows after it has queried the
// other configured controllers.
type Formation struct {
	Own    identity.Identity
	Member consensus.Member
	// First is true for the controller whose name sorts first. Only that one may form a group.
	First bool
	// Others is the number of other configured controllers, and Answers holds the
	// answers of those that replied.
	Others  int
	Answers []message.FormationAnswer
}

// Decide returns the identity that the replica adopts, or false if it has to query the
// controllers again. If any controller belongs to a group, the replica joins it. A new
// group is formed only when every configured controller answers and none belongs to one.
func (f Formation) Decide(newCluster func() message.ClusterID) (identity.Identity, bool) {
	for _, answer := range f.Answers {
		if answer.Cluster != "" {
			return Adopt(f.Own, answer), true
		}
	}
	if len(f.Answers) < f.Others || !f.First {
		return f.Own, false
	}
	return f.formCluster(newCluster()), true
}

// formCluster returns the identity of a founder of a new group of all configured controllers.
func (f Formation) formCluster(cluster message.ClusterID) identity.Identity {
	formed := f.Own
	formed.Cluster = cluster
	formed.Founders = []consensus.Member{f.Member}
	for _, answer := range f.Answers {
		formed.Founders = append(formed.Founders, answer.Member)
	}
	slices.SortFunc(formed.Founders, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	return formed
}
