package sim

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// handleReady carries out what the core asks for, in the order of
// internal/controller: nothing is sent before it is on stable storage.
func (r *replica) handleReady() error {
	for r.core.HasReady() {
		ready := r.core.Ready()
		if ready.Snapshot != nil {
			if err := r.restore(*ready.Snapshot); err != nil {
				return err
			}
		}
		if err := r.save(ready); err != nil {
			return eris.Wrap(err, "save the log")
		}
		r.sendAll(ready)
		if err := r.applyAll(ready.Committed); err != nil {
			return err
		}
		r.core.Advance(ready)
		r.confirmReads(ready.ReadStates)
	}
	r.reads.finish(r.applied, r.state.Revision())
	return r.takeSnapshot()
}

func (r *replica) save(ready consensus.Ready) error {
	saved := ready.HardState
	if r.sim.planted.forgetVote {
		saved = nil
	}
	return r.storage.Log.Save(saved, ready.Entries)
}

// sendAll sends messages and notes what they promise.
func (r *replica) sendAll(ready consensus.Ready) {
	promise := &r.owner.promise
	if ready.HardState != nil {
		promise.Note(ready.HardState.Term, uint64(ready.HardState.Vote))
	}
	for _, outgoing := range ready.Messages {
		if outgoing.Kind == consensus.MessageAppendAnswer && !outgoing.Reject {
			promise.Index = max(promise.Index, outgoing.Index)
		}
		target, found := r.sim.hosts[outgoing.To]
		if !found {
			continue
		}
		// Receivers must not share the sender's memory.
		outgoing.Entries = slices.Clone(outgoing.Entries)
		r.owner.send(target.process, func() { target.consensusMessage(outgoing) })
	}
}

// consensusMessage takes a message that is meant for this replica.
func (c *controller) consensusMessage(incoming consensus.Message) {
	if c.replica == nil || incoming.To != c.self.Replica {
		return
	}
	incoming.Entries = slices.Clone(incoming.Entries)
	c.step(func() {
		if err := c.replica.core.Step(incoming); eris.Is(err, consensus.ErrLogLost) {
			c.sim.checker.Fail(checker.Durability, "%s lost part of its log: %v", c.node, err)
		}
	})
}

func (r *replica) confirmReads(confirmations []consensus.ReadState) {
	for _, confirmation := range confirmations {
		if confirmation.Context&coordinatorContext != 0 {
			r.confirmRound(confirmation.Context &^ coordinatorContext)
			continue
		}
		r.reads.confirm(confirmation)
	}
	if len(confirmations) > 0 {
		r.reads.begin(r.now(), r.core.ReadIndex)
	}
}

// confirmRound passes the end of a quorum round to the coordinator, which goes by
// the newest alone.
func (r *replica) confirmRound(round uint64) {
	if r.leading && round == r.round {
		r.sim.checker.RoundConfirmed(r.term, r.roundBegan)
	}
	r.coordinator.RoundConfirmed(r.now(), round)
}

func (r *replica) applyAll(entries []consensus.Entry) error {
	for _, entry := range entries {
		if err := r.apply(entry); err != nil {
			return err
		}
		r.applied = entry.Index
		if err := r.storage.Applied(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *replica) apply(entry consensus.Entry) error {
	var content envelope
	var result state.Result
	carriesCommand := entry.Kind == consensus.EntryCommand && len(entry.Data) > 0
	if carriesCommand {
		if err := codec.Unmarshal(entry.Data, &content); err != nil {
			return eris.Wrapf(err, "apply log entry %d", entry.Index)
		}
		result = r.applyCommand(entry.Index, content.Command)
	}
	digest := xxhash.Sum64(entry.Data) + uint64(entry.Kind)
	r.sim.digest = bits.RotateLeft64(r.sim.digest, 1) ^ digest
	r.sim.checker.Applied(checker.AppliedEntry{
		Replica: r.owner.name(), Index: entry.Index, Term: entry.Term, Content: digest,
		Table: r.state.Revision(), Digest: r.state.Digest(), Changed: result.Changed,
		Confirmed: confirmedBy(content.Command, result),
	})
	if !carriesCommand {
		return nil
	}
	r.sim.applied(entry.Index, content.Command, result)
	r.coordinator.Changed(r.now(), result.Changed)
	if content.Replica != r.owner.self.Replica {
		return nil
	}
	waiting, found := r.waiting[content.Sequence]
	if !found {
		return nil
	}
	delete(r.waiting, content.Sequence)
	end := outcome{index: entry.Index, result: result}
	if result.Err != nil {
		end.err = result.Err
	}
	r.finish(waiting, end)
	return nil
}

// confirmedBy returns the plan that a command confirmed.
func confirmedBy(command state.Command, result state.Result) *state.Plan {
	if command.ConfirmPlan == nil {
		return nil
	}
	return result.Plan
}

func (r *replica) applyCommand(index uint64, command state.Command) state.Result {
	previous := r.state.Revision()
	result := r.state.Apply(index, command)
	if len(result.Changed) > 0 {
		r.history.add(message.TableDelta{
			From: previous, To: r.state.Revision(), Objects: result.Changed, Digest: r.state.Digest(),
		})
		r.feedStreams()
	}
	return result
}

// restore replaces the state by a snapshot that the leader sent.
func (r *replica) restore(snapshot consensus.Snapshot) error {
	restored, err := state.Decode(snapshot.Data)
	if err != nil {
		return eris.Wrap(err, "decode the leader's snapshot")
	}
	if err := r.storage.SaveSnapshot(snapshot); err != nil {
		return err
	}
	r.state = restored
	r.applied = snapshot.Metadata.Index
	r.history.reset(restored.Revision())
	r.sim.counts.Snapshots++
	r.sim.trace("%s takes the leader's snapshot at index %d", r.owner.node, r.applied)
	r.sim.checker.Restored(r.owner.name(), r.applied, restored.Revision(), restored.Digest())
	return nil
}

func (r *replica) takeSnapshot() error {
	if !r.storage.SnapshotDue(r.sim.settings.Consensus.SnapshotEntries, r.sim.settings.Consensus.SnapshotBytes) {
		return nil
	}
	data, err := r.state.Encode()
	if err != nil {
		return err
	}
	snapshot := consensus.Snapshot{Data: data, Metadata: consensus.SnapshotMetadata{
		Index: r.applied, Term: r.storage.AppliedTerm(), Membership: r.core.Status().AppliedMembership,
	}}
	if err := r.storage.SaveSnapshot(snapshot); err != nil {
		return err
	}
	keep := uint64(r.sim.settings.Consensus.SnapshotEntries)
	if r.applied <= keep {
		return nil
	}
	if err := r.core.Compact(r.applied - keep); err != nil {
		return eris.Wrap(err, "compact the log")
	}
	return r.storage.Log.Release(r.storage.Snapshots.Oldest())
}
