package checker

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const ms = time.Millisecond

// scene is a checker under a clock that the test sets.
type scene struct {
	*Checker
	now time.Duration
}

func newScene() *scene {
	s := &scene{}
	s.Checker = New(func() time.Duration { return s.now })
	return s
}

func (s *scene) shardApplied(index uint64, owner state.ServerID, epoch state.Epoch) {
	s.Applied(AppliedEntry{
		Replica: "a", Index: index, Term: 1, Content: index, Table: state.Revision(index), Digest: index,
		Changed: []state.Object{{Shard: &state.Shard{ID: 1, Owner: owner, Epoch: epoch}}},
	})
}

func held(incarnation string, end time.Duration) Holding {
	return Holding{Incarnation: incarnation, Service: "s", Session: 1, LeaseEnd: end, Ranges: []HeldRange{{Shard: 1, Epoch: 1, Last: 9}}}
}

// TestPlantedObservations proves that each check finds what it is there for.
func TestPlantedObservations(t *testing.T) {
	cases := map[string]struct {
		want    Guarantee
		observe func(s *scene)
	}{
		"two leaders of a term": {OneLeader, func(s *scene) { s.Leader(3, "a"); s.Leader(3, "b") }},
		"other content at an index": {LogAgreement, func(s *scene) {
			s.Applied(AppliedEntry{Replica: "a", Index: 4, Term: 1, Content: 7})
			s.Applied(AppliedEntry{Replica: "b", Index: 4, Term: 1, Content: 8})
		}},
		"other table by the same entry": {LogAgreement, func(s *scene) {
			s.Applied(AppliedEntry{Replica: "a", Index: 4, Term: 1, Content: 7, Digest: 1})
			s.Applied(AppliedEntry{Replica: "b", Index: 4, Term: 1, Content: 7, Digest: 2})
		}},
		"snapshot of another table": {LogAgreement, func(s *scene) { s.shardApplied(4, "x", 1); s.Restored("b", 4, 4, 99) }},
		"quorum round in the quiet time of a later leader": {QuietElection, func(s *scene) {
			s.RoundConfirmed(3, 40*ms)
			s.LeadsAfterQuiet(4, 39*ms)
		}},
		"round that is confirmed after the later leader's election": {QuietElection, func(s *scene) {
			s.LeadsAfterQuiet(4, 39*ms)
			s.RoundConfirmed(3, 40*ms)
		}},
		"epoch with two owners": {EpochContent, func(s *scene) { s.shardApplied(4, "x", 2); s.shardApplied(5, "y", 2) }},
		"epoch goes back":       {EpochOrder, func(s *scene) { s.shardApplied(4, "x", 2); s.shardApplied(5, "y", 1) }},
		"plan that replaces what its operator did not see": {ConfigOrder, func(s *scene) {
			put := &state.Service{Name: "s", Revision: 3}
			s.Applied(AppliedEntry{Replica: "a", Index: 4, Changed: []state.Object{{Service: &state.Service{Name: "s", Revision: 4}}}})
			s.Applied(AppliedEntry{Replica: "a", Index: 5, Confirmed: &state.Plan{Accepted: 5, Operations: []state.Operation{{PutService: put}}}})
		}},
		"shard that comes back after a merge": {EpochOrder, func(s *scene) {
			gone := state.Object{Shard: &state.Shard{ID: 1, Service: "s"}, Deleted: true}
			s.Applied(AppliedEntry{Replica: "a", Index: 4, Changed: []state.Object{gone}})
			s.shardApplied(5, "x", 9)
		}},
		"merge that its operator did not see": {ConfigOrder, func(s *scene) {
			s.shardApplied(4, "x", 2)
			merge := &state.ShardMerge{First: state.ShardEpoch{Shard: 1, Epoch: 1}, Second: state.ShardEpoch{Shard: 1, Epoch: 1}}
			s.Applied(AppliedEntry{Replica: "a", Index: 5, Confirmed: &state.Plan{Accepted: 5, Operations: []state.Operation{{MergeShards: merge}}}})
		}},
		"leader without an acknowledged entry": {Durability, func(s *scene) {
			s.shardApplied(4, "x", 1)
			s.Acknowledged(4, "x")
			s.MustHold("b", 2, 3)
		}},
		"forgotten vote": {Durability, func(s *scene) { s.Recovered(Promise{Term: 2, Vote: 7}, Promise{Term: 2, Vote: 8}) }},
		"forgotten entry": {Durability, func(s *scene) {
			s.Recovered(Promise{Term: 2, Index: 9}, Promise{Term: 2, Index: 8})
		}},
		"stale confirmed read": {CurrentRead, func(s *scene) {
			s.shardApplied(4, "x", 1)
			s.now = 2 * ms
			s.Read("b", ms, 3)
		}},
		"router goes back": {RevisionOrder, func(s *scene) {
			s.shardApplied(4, "x", 1)
			s.shardApplied(5, "y", 2)
			s.Table("r", 5, 5)
			s.Table("r", 4, 4)
		}},
		"router with a revision of nobody": {RouterTable, func(s *scene) { s.Table("r", 5, 5) }},
		"two holders of a range": {OneOwner, func(s *scene) {
			s.Holds(held("x#1", 20*ms))
			s.now = 19 * ms
			s.Holds(held("y#1", 40*ms))
		}},
		"request begins while another owner runs one": {OneOwner, func(s *scene) {
			s.Begins(Execution{Request: 1, Incarnation: "x#1", Key: "k", Epoch: 1, LeaseEnd: 20 * ms})
			s.Begins(Execution{Request: 2, Incarnation: "y#1", Key: "k", Epoch: 2, LeaseEnd: 20 * ms})
		}},
		"request of an older epoch": {EpochOrder, func(s *scene) {
			s.Begins(Execution{Request: 1, Incarnation: "x#1", Key: "k", Epoch: 2})
			s.Begins(Execution{Request: 2, Incarnation: "y#1", Key: "k", Epoch: 1})
		}},
		"ownership that no order explains": {OwnershipHistory, func(s *scene) {
			s.histories.executed(Execution{Key: "k", Epoch: 2, Incarnation: "y#1"}, 2*ms)
			s.histories.executed(Execution{Key: "k", Epoch: 1, Incarnation: "x#1", began: 3 * ms}, 4*ms)
			s.CheckHistories()
		}},
		"both operators win one identifier": {IntentHistory, func(s *scene) {
			s.Intent(IntentCall{Intent: "i", Content: "a", Digest: "1", Answer: AnswerOK, Returned: 2 * ms})
			s.Intent(IntentCall{Intent: "i", Content: "b", Digest: "2", Answer: AnswerOK, Called: ms, Returned: 3 * ms})
			s.CheckHistories()
		}},
		"confirmed plan is stored again": {IntentHistory, func(s *scene) {
			s.Intent(IntentCall{Intent: "i", Content: "a", Digest: "1", Answer: AnswerOK, Returned: ms})
			s.Intent(IntentCall{Intent: "i", Action: ActionConfirm, Digest: "1", Answer: AnswerOK, Accepted: 4, Called: 2 * ms, Returned: 3 * ms})
			s.Intent(IntentCall{Intent: "i", Action: ActionGet, Digest: "1", Answer: AnswerOK, Status: PlanStored, Called: 4 * ms, Returned: 5 * ms})
			s.CheckHistories()
		}},
	}
	for name, planted := range cases {
		s := newScene()
		planted.observe(s)
		if found := s.Violation(); found == nil || found.Guarantee != planted.want {
			t.Errorf("%s: found %+v, want %s", name, found, planted.want)
		}
	}
}

// TestHandOverIsNoViolation: a lease that ended, and a request that outlasts
// it, are no ownership.
func TestHandOverIsNoViolation(t *testing.T) {
	s := newScene()
	s.Holds(held("x#1", 20*ms))
	s.Begins(Execution{Request: 1, Incarnation: "x#1", Session: 1, Key: "k", Epoch: 1, LeaseEnd: 20 * ms})
	s.now = 21 * ms
	if _, gap := s.Uncovered("s"); !gap {
		t.Error("an ended lease still covers its keys")
	}
	s.Holds(held("y#1", 40*ms))
	s.Begins(Execution{Request: 2, Incarnation: "y#1", Session: 1, Key: "k", Epoch: 2, LeaseEnd: 40 * ms})
	s.Ends(1)
	s.Ends(2)
	s.CheckHistories()
	if found := s.Violation(); found != nil {
		t.Errorf("%+v", found)
	}
}
