package driver

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
)

// HandleReady carries out what the core asks for, in the order that the package
// comment specifies. It is called after each input. After an error the storage is
// not reliable, and the replica must be stopped.
func (d *Driver) HandleReady() error {
	for d.core.HasReady() {
		if err := d.handleBatch(d.core.Ready()); err != nil {
			return err
		}
	}
	d.reads.finish(d.applied, d.host.State().Revision())
	d.beginSnapshot()
	return nil
}

func (d *Driver) handleBatch(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := d.restore(*ready.Snapshot); err != nil {
			return err
		}
	}
	if err := d.config.Log.Save(ready.HardState, ready.Entries); err != nil {
		return eris.Wrap(err, "save the log")
	}
	d.host.Send(ready.Messages)
	for _, entry := range ready.Committed {
		if err := d.apply(entry); err != nil {
			return err
		}
	}
	d.core.Advance(ready)
	d.confirmReads(ready.ReadStates)
	return nil
}

// apply applies one committed entry. For a membership change, the fact that it is
// committed is on stable storage when apply returns, before the core relies on it.
func (d *Driver) apply(entry consensus.Entry) error {
	if err := d.applyEntry(entry); err != nil {
		return err
	}
	d.applied = entry.Index
	return d.storage.Applied(entry)
}

func (d *Driver) applyEntry(entry consensus.Entry) error {
	if entry.Kind == consensus.EntryMembership || len(entry.Data) == 0 {
		d.host.Applied(entry, state.Command{}, state.Result{})
		return nil
	}
	content, err := decodeEnvelope(entry.Data)
	if err != nil {
		return eris.Wrapf(err, "apply log entry %d", entry.Index)
	}
	result := d.host.Apply(entry.Index, content.Command)
	d.host.Applied(entry, content.Command, result)
	d.coordinator.Changed(d.host.Now(), result.Changed)
	if content.Replica != d.config.Self {
		return nil
	}
	if waiting, found := d.pending.take(content.Sequence); found {
		d.finish(waiting, newOutcome(entry.Index, result))
	}
	return nil
}
