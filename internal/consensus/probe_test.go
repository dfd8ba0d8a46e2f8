package consensus

import "testing"

// TestProbeIsNotRepeatedByLateAnswers guards against a burst of appends after a network
// partition heals: the answers to all delayed heartbeats arrive at once, and each made the
// leader send everything that the member lacked, tens of megabytes within a second.
func TestProbeIsNotRepeatedByLateAnswers(t *testing.T) {
	const leader, other, cut = ReplicaID(1), ReplicaID(2), ReplicaID(3)
	membership := Membership{Members: []Member{{ID: leader}, {ID: other}, {ID: cut}}}
	config := Config{ID: leader, ElectionTicks: 100, HeartbeatTicks: 4, MaxAppendBytes: 1 << 20, MaxInflight: 8, MaxUncommittedBytes: 1 << 20}
	core, err := New(config, InitialState{Snapshot: SnapshotMetadata{Membership: membership}}, func() (Snapshot, bool) { return Snapshot{}, false })
	if err != nil {
		t.Fatal(err)
	}
	step := func(message Message) {
		t.Helper()
		message.To = leader
		message.Term = core.term
		if message.Kind == MessagePreVoteAnswer {
			message.Term++
		}
		if err := core.Step(message); err != nil {
			t.Fatal(err)
		}
	}
	sentEntries := func() int {
		count := 0
		for core.HasReady() {
			ready := core.Ready()
			for _, message := range ready.Messages {
				if message.Kind == MessageAppend && message.To == cut {
					count += len(message.Entries)
				}
			}
			core.Advance(ready)
		}
		return count
	}
	elect(core, other, step)
	const proposals = 20
	for range proposals {
		if err := core.Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	sentEntries()
	core.progress[cut].becomeProbe()
	for range 300 {
		step(Message{Kind: MessageHeartbeatAnswer, From: cut})
	}
	if sent := sentEntries(); sent > proposals+1 {
		t.Errorf("300 answers at once made the leader send %d entries, the member lacks %d", sent, proposals+1)
	}
	for range config.HeartbeatTicks {
		core.Tick()
	}
	step(Message{Kind: MessageHeartbeatAnswer, From: cut})
	if sent := sentEntries(); sent == 0 {
		t.Error("a lost probe was not repeated after a heartbeat interval")
	}
}

// elect makes a core the leader, with the votes of another member.
func elect(core *Core, other ReplicaID, step func(Message)) {
	for core.Status().Role != RoleLeader {
		core.Tick()
		for core.HasReady() {
			ready := core.Ready()
			core.Advance(ready)
			for _, message := range ready.Messages {
				if message.Kind == MessagePreVote && message.To == other {
					step(Message{Kind: MessagePreVoteAnswer, From: other})
				}
				if message.Kind == MessageVote && message.To == other {
					step(Message{Kind: MessageVoteAnswer, From: other})
				}
			}
		}
	}
}
