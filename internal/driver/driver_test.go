package driver

import (
	"errors"
	"slices"
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

func expectEvents(t *testing.T, what string, got []string, wanted ...string) {
	t.Helper()
	if !slices.Equal(got, wanted) {
		t.Errorf("%s: %q, want %q", what, got, wanted)
	}
}

func entries(from, to uint64) []consensus.Entry {
	var list []consensus.Entry
	for index := from; index <= to; index++ {
		list = append(list, consensus.Entry{Index: index, Term: 1})
	}
	return list
}

// TestOrderOfReady: nothing is sent, applied or acknowledged before it is on
// stable storage; a snapshot is saved and restored before the entries that follow
// it; entries are applied in order, and the core advances after that.
func TestOrderOfReady(t *testing.T) {
	h := newHarness(t, firstSequence)
	h.driver.Read(func(state.Revision) { h.record("read answered") })
	got, err := h.handle(consensus.Ready{
		HardState: &consensus.HardState{Term: 1}, Entries: entries(1, 2), Committed: entries(1, 2),
		Messages: make([]consensus.Message, 3), ReadStates: []consensus.ReadState{{Context: h.rounds[0], Index: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	expectEvents(t, "entries", got, "saved 2 entries", "sent 3 messages", "applied 1", "applied 2", "advanced", "read answered")

	data, err := state.New().Encode()
	if err != nil {
		t.Fatal(err)
	}
	received := consensus.Snapshot{Data: data, Metadata: consensus.SnapshotMetadata{Index: 9, Term: 1}}
	got, err = h.handle(consensus.Ready{Snapshot: &received, HardState: &consensus.HardState{Term: 1, Commit: 9}},
		consensus.Ready{Entries: entries(10, 10), Committed: entries(10, 10)})
	if err != nil {
		t.Fatal(err)
	}
	expectEvents(t, "a snapshot", got, "restored at 9", "saved 0 entries", "sent 0 messages", "advanced",
		"saved 1 entries", "sent 0 messages", "applied 10", "advanced")

	h.saveErr = errDisk
	got, err = h.handle(consensus.Ready{Entries: entries(11, 11), Committed: entries(11, 11), Messages: make([]consensus.Message, 1)})
	if !errors.Is(err, errDisk) {
		t.Errorf("a failed disk gives %v", err)
	}
	expectEvents(t, "a failed disk", got)
}

// TestSnapshotBesideTheLoop: a snapshot holds the state at the time when it was
// started, one is written at a time, and the log is compacted once it is saved.
func TestSnapshotBesideTheLoop(t *testing.T) {
	h := newHarness(t, firstSequence)
	ready := func(from, to uint64) consensus.Ready {
		return consensus.Ready{HardState: &consensus.HardState{Term: 1}, Entries: entries(from, to), Committed: entries(from, to)}
	}
	got, err := h.handle(ready(1, 5))
	if err != nil || got[len(got)-1] != "snapshot begun" || !h.driver.WritingSnapshot() {
		t.Fatalf("after five entries: %q, %v", got, err)
	}
	got, err = h.handle(ready(6, 10))
	if err != nil || slices.Contains(got, "snapshot begun") {
		t.Fatalf("while one is written: %q, %v", got, err)
	}
	saved := h.writeSnapshot()
	h.events = nil
	if err := h.driver.AdoptSnapshot(saved); err != nil || saved.Snapshot.Metadata.Index != 5 {
		t.Fatalf("snapshot at %d, %v", saved.Snapshot.Metadata.Index, err)
	}
	expectEvents(t, "adopted", h.events, "compacted up to 2")
	if err := h.driver.AdoptSnapshot(SavedSnapshot{Err: errDisk}); !errors.Is(err, errDisk) {
		t.Errorf("a snapshot that was not saved gives %v", err)
	}
}

// TestReadRounds: a read is answered only by a round that began after the read was
// requested, and only once the round's log index is applied.
func TestReadRounds(t *testing.T) {
	h := newHarness(t, firstSequence)
	answered := 0
	count := func(state.Revision) { answered++ }
	h.driver.Read(count)
	h.driver.Read(count)
	if len(h.rounds) != 1 {
		t.Fatalf("%d rounds began for a read and a second one that arrived after the round had begun", len(h.rounds))
	}
	confirm := func(round int, index uint64) {
		t.Helper()
		if _, err := h.handle(consensus.Ready{ReadStates: []consensus.ReadState{{Context: h.rounds[round], Index: index}}}); err != nil {
			t.Fatal(err)
		}
	}
	confirm(0, 0)
	if answered != 1 || len(h.rounds) != 2 {
		t.Fatalf("after the first round: %d answers, %d rounds", answered, len(h.rounds))
	}
	h.now += readRetry
	h.driver.beginReads()
	confirm(1, 0)
	if answered != 1 {
		t.Fatal("the answer to a round that had been retried was accepted")
	}
	confirm(2, 1)
	if answered != 1 {
		t.Fatal("answered before the index was applied")
	}
	if _, err := h.handle(consensus.Ready{Entries: entries(1, 1), HardState: &consensus.HardState{Term: 1}, Committed: entries(1, 1)}); err != nil {
		t.Fatal(err)
	}
	if answered != 2 {
		t.Errorf("%d answers once the index was applied", answered)
	}
}

// TestReadContextsOfLives: a late answer to a round of an earlier run of the
// process answers no read of this run.
func TestReadContextsOfLives(t *testing.T) {
	earlier, later := newHarness(t, 100), newHarness(t, 200)
	earlier.driver.Read(func(state.Revision) {})
	later.driver.Read(func(state.Revision) { t.Error("answered by a round that began before the read") })
	late := consensus.Ready{ReadStates: []consensus.ReadState{{Context: earlier.rounds[0]}}}
	if _, err := later.handle(late); err != nil {
		t.Fatal(err)
	}
}

// TestProposalBeforeLeadingEnds: the core accepts proposals as soon as it is elected. If
// leadership is lost before the driver starts leading, they end with an unknown outcome.
func TestProposalBeforeLeadingEnds(t *testing.T) {
	h := newHarness(t, firstSequence)
	h.status = consensus.Status{Role: consensus.RoleLeader}
	h.driver.ObserveRole()
	var ends []Outcome
	h.driver.Propose(Proposal{Done: func(end Outcome) { ends = append(ends, end) }})
	h.status.Role = consensus.RoleFollower
	h.driver.ObserveRole()
	if len(ends) != 1 || !fault.Is(ends[0].Err, fault.Unavailable) {
		t.Errorf("outcomes %+v, want one of kind unavailable", ends)
	}
}

// TestProposalsEnd: each proposal ends once: applied, rejected, or with an unknown
// outcome when leadership is lost. An entry proposed by another replica, or by an
// earlier run of this one, ends none.
func TestProposalsEnd(t *testing.T) {
	h := newHarness(t, firstSequence)
	h.status = consensus.Status{Role: consensus.RoleLeader, TermCommitted: true}
	h.driver.ObserveRole()
	var ends []Outcome
	propose := func() {
		h.driver.Propose(Proposal{
			Command: state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r", Address: "127.0.0.1:1"}}},
			Done:    func(end Outcome) { ends = append(ends, end) },
		})
	}
	propose()
	earlier, err := encodeEnvelope(envelope{Replica: self, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	other, err := encodeEnvelope(envelope{Replica: self + 1, Sequence: firstSequence + 1})
	if err != nil {
		t.Fatal(err)
	}
	var committed []consensus.Entry
	for number, data := range [][]byte{earlier, other, h.proposed[0]} {
		committed = append(committed, consensus.Entry{Index: uint64(number + 1), Term: 1, Data: data})
	}
	ready := consensus.Ready{HardState: &consensus.HardState{Term: 1}, Entries: committed, Committed: committed}
	if _, err := h.handle(ready); err != nil {
		t.Fatal(err)
	}
	if len(ends) != 1 || ends[0].Err != nil || ends[0].Index != 3 {
		t.Fatalf("outcomes %+v, want one at index 3", ends)
	}

	h.proposeErr = consensus.ErrProposalDropped
	propose()
	if len(ends) != 2 || !fault.Is(ends[1].Err, fault.QueueFull) {
		t.Errorf("a full log ends a proposal with %+v", ends[1:])
	}
	h.proposeErr = nil
	propose()
	h.status.Role = consensus.RoleFollower
	h.events = nil
	h.driver.ObserveRole()
	h.driver.StopLeading()
	expectEvents(t, "leadership lost", h.events, "follows")
	if len(ends) != 3 || !fault.Is(ends[2].Err, fault.Unavailable) {
		t.Errorf("lost leadership ends a proposal with %+v", ends[2:])
	}
	h.proposeErr = consensus.ErrNotLeader
	propose()
	if len(ends) != 4 || !fault.Is(ends[3].Err, fault.NotLeader) {
		t.Errorf("a follower ends a proposal with %+v", ends[3:])
	}
}

// TestOutdatedProposalStaysOut: a command that is no longer valid when it is about to be
// appended does not enter the log.
func TestOutdatedProposalStaysOut(t *testing.T) {
	h := newHarness(t, firstSequence)
	h.status = consensus.Status{Role: consensus.RoleLeader, TermCommitted: true}
	h.driver.ObserveRole()
	var ends []Outcome
	for _, valid := range []bool{false, true} {
		h.driver.Propose(Proposal{
			StillValid: func() bool { return valid },
			Done:       func(end Outcome) { ends = append(ends, end) },
		})
	}
	if len(ends) != 1 || !fault.Is(ends[0].Err, fault.NotLeader) {
		t.Errorf("outcomes %+v, want one of kind not_leader", ends)
	}
	if len(h.proposed) != 1 {
		t.Errorf("%d commands entered the log, want the valid one", len(h.proposed))
	}
}
