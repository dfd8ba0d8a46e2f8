package durable

import (
	"slices"
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
)

// TestDecideFormation checks that a group is formed only by the first controller and only when all
// answer, and that a replica that learns of an existing group joins it under its own identifier
// instead of forming a second one.
func TestDecideFormation(t *testing.T) {
	free := message.FormationAnswer{Member: consensus.Member{ID: 1}}
	other := message.FormationAnswer{Member: consensus.Member{ID: 3}}
	formed := message.FormationAnswer{Member: consensus.Member{ID: 3}, Cluster: "old", Founders: []consensus.Member{{ID: 8}, {ID: 9}}}
	for name, c := range map[string]struct {
		first    bool
		answers  []message.FormationAnswer
		cluster  message.ClusterID
		founders []consensus.ReplicaID
	}{
		"first, all free":       {true, []message.FormationAnswer{other, free}, "new", []consensus.ReplicaID{1, 2, 3}},
		"first, one silent":     {true, []message.FormationAnswer{free}, "", nil},
		"not first, all free":   {false, []message.FormationAnswer{free, other}, "", nil},
		"first, one formed":     {true, []message.FormationAnswer{free, formed}, "old", []consensus.ReplicaID{8, 9}},
		"not first, one formed": {false, []message.FormationAnswer{formed}, "old", []consensus.ReplicaID{8, 9}},
	} {
		formation := Formation{
			Own: identity.Identity{Replica: 2}, Member: consensus.Member{ID: 2}, First: c.first, Others: 2, Answers: c.answers,
		}
		got, decided := formation.Decide(func() message.ClusterID { return "new" })
		var founders []consensus.ReplicaID
		for _, founder := range got.Founders {
			founders = append(founders, founder.ID)
		}
		if decided != (c.cluster != "") || got.Cluster != c.cluster || got.Replica != 2 || !slices.Equal(founders, c.founders) {
			t.Errorf("%s: decided %v, identity %+v", name, decided, got)
		}
	}
}
