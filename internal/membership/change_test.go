package membership

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
)

// TestNextChange covers the steps by which a replica whose disk was lost joins under
// a new identifier and replaces its old member.
func TestNextChange(t *testing.T) {
	joining := consensus.Member{ID: 9, Name: "c"}
	founders := []consensus.Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}}
	learner := consensus.Member{ID: 9, Name: "c", Learner: true}
	voter := consensus.Member{ID: 9, Name: "c"}
	caughtUp := consensus.Progress{ID: 9, Match: 40, RecentActive: true}
	cases := map[string]struct {
		members  []consensus.Member
		progress []consensus.Progress
		want     consensus.ChangeKind
		of       consensus.ReplicaID
	}{
		"unknown":                       {members: founders, want: consensus.AddLearner, of: 9},
		"learner behind":                {members: append(founders[:3:3], learner), progress: []consensus.Progress{{ID: 9, Match: 39, RecentActive: true}}},
		"learner silent":                {members: append(founders[:3:3], learner), progress: []consensus.Progress{{ID: 9, Match: 40}}},
		"learner caught up":             {members: append(founders[:3:3], learner), progress: []consensus.Progress{caughtUp}, want: consensus.RemoveMember, of: 3},
		"old member still answers":      {members: append(founders[:3:3], learner), progress: []consensus.Progress{caughtUp, {ID: 3, RecentActive: true}}},
		"old member is removed":         {members: append(founders[:2:2], learner), progress: []consensus.Progress{caughtUp}, want: consensus.PromoteLearner, of: 9},
		"promoted":                      {members: append(founders[:2:2], voter), progress: []consensus.Progress{caughtUp}},
		"promoted beside an old member": {members: append(founders[:3:3], voter), progress: []consensus.Progress{caughtUp}},
	}
	for name, step := range cases {
		status := consensus.Status{Commit: 40, Membership: consensus.Membership{Members: step.members}, Progress: step.progress}
		change, wanted := NextChange(status, joining)
		if wanted != (step.want != 0) || change.Kind != step.want || change.Member.ID != step.of {
			t.Errorf("%s: NextChange returned %+v, %v", name, change, wanted)
		}
	}
}
