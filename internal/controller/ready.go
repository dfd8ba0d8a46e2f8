package controller

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// handleReady carries out what the core asks for, in the order that it
// prescribes: nothing is sent or acknowledged before it is on stable storage.
func (r *replica) handleReady() error {
	for r.core.HasReady() {
		ready := r.core.Ready()
		if ready.Snapshot != nil {
			if err := r.restore(*ready.Snapshot); err != nil {
				return err
			}
		}
		if err := r.storage.Log.Save(ready.HardState, ready.Entries); err != nil {
			return eris.Wrap(err, "save the log")
		}
		r.peers.send(ready.Messages)
		if err := r.applyAll(ready.Committed); err != nil {
			return err
		}
		r.core.Advance(ready)
		r.forgetRemoved(ready.Committed)
		r.confirmReads(ready.ReadStates)
	}
	r.rounds.finish(r.applied, r.state.Revision())
	r.takeSnapshot()
	return nil
}

// forgetRemoved stops the senders to replicas that a committed change removed.
func (r *replica) forgetRemoved(committed []consensus.Entry) {
	for _, entry := range committed {
		if entry.Kind == consensus.EntryMembership {
			r.peers.forget(r.core.Status().Membership)
			return
		}
	}
}

func (r *replica) confirmReads(confirmations []consensus.ReadState) {
	for _, confirmation := range confirmations {
		if confirmation.Context&coordinatorContext != 0 {
			r.coordinator.RoundConfirmed(r.clock.Now(), confirmation.Context&^coordinatorContext)
			continue
		}
		r.rounds.confirm(confirmation)
	}
	if len(confirmations) > 0 {
		r.rounds.begin(r.clock.Now(), r.core.ReadIndex)
	}
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
	if entry.Kind == consensus.EntryMembership || len(entry.Data) == 0 {
		return nil
	}
	content, err := decodeEnvelope(entry.Data)
	if err != nil {
		return eris.Wrapf(err, "apply log entry %d", entry.Index)
	}
	result := r.applyCommand(entry.Index, content.Command)
	r.coordinator.Changed(r.clock.Now(), result.Changed)
	logResult(r.log, entry.Index, content.Command, result)
	if content.Replica != r.self.ID {
		return nil
	}
	waiting, found := r.pending.take(content.Sequence)
	if !found {
		return nil
	}
	r.finish(waiting, outcomeOf(result))
	return nil
}

// outcomeOf keeps a command without an error from becoming an error that holds
// a nil pointer.
func outcomeOf(result state.Result) outcome {
	if result.Err != nil {
		return outcome{err: result.Err}
	}
	return outcome{result: result}
}

func (r *replica) applyCommand(index uint64, command state.Command) state.Result {
	r.stateLock.Lock()
	defer r.stateLock.Unlock()
	previous := r.state.Revision()
	result := r.state.Apply(index, command)
	if len(result.Changed) > 0 {
		r.history.add(message.TableDelta{
			From: previous, To: r.state.Revision(), Objects: result.Changed, Digest: r.state.Digest(),
		})
	}
	return result
}
