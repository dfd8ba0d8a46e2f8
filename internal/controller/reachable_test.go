package controller

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
)

// TestMemberIsReachableUntilItsRemovalIsApplied: a member whose removal is in the log but not yet applied is
// still sent the log, so that it learns of its removal.
func TestMemberIsReachableUntilItsRemovalIsApplied(t *testing.T) {
	member := func(id consensus.ReplicaID) consensus.Member { return consensus.Member{ID: id, Name: "m"} }
	status := consensus.Status{
		Membership:        consensus.Membership{Members: []consensus.Member{member(1), member(3)}},
		AppliedMembership: consensus.Membership{Members: []consensus.Member{member(1), member(2)}},
	}
	for id, want := range map[consensus.ReplicaID]bool{1: true, 2: true, 3: true, 4: false} {
		if _, found := reachable(status, id); found != want {
			t.Errorf("replica %d: reachable = %v, want %v", id, found, want)
		}
	}
}
