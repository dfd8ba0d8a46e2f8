package driver

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
)

// restore replaces the state with a snapshot from the leader, once that is on
// stable storage.
func (d *Driver) restore(received consensus.Snapshot) error {
	restored, err := state.Decode(received.Data)
	if err != nil {
		return eris.Wrap(err, "decode the leader's snapshot")
	}
	// The snapshot store accepts one snapshot at a time.
	if err := d.awaitSnapshot(); err != nil {
		return err
	}
	if err := d.storage.SaveSnapshot(received); err != nil {
		return err
	}
	d.applied = received.Metadata.Index
	d.host.Restore(d.applied, restored)
	return nil
}

// WritingSnapshot reports whether a snapshot is being written.
func (d *Driver) WritingSnapshot() bool { return d.writingSnapshot }

// beginSnapshot starts a snapshot once enough entries or bytes were applied since the
// last one. The state is frozen here; the host decides on which goroutine it is
// encoded and written.
func (d *Driver) beginSnapshot() {
	if d.writingSnapshot || !d.storage.SnapshotDue(d.config.SnapshotEntries, d.config.SnapshotBytes) {
		return
	}
	d.writingSnapshot = true
	d.storage.BeginSnapshot()
	frozen := d.host.State().Freeze()
	metadata := consensus.SnapshotMetadata{
		Index: d.applied, Term: d.storage.AppliedTerm(), Membership: d.core.Status().AppliedMembership,
	}
	d.host.WriteSnapshot(func() SavedSnapshot {
		snapshot, err := d.saveSnapshot(frozen, metadata)
		return SavedSnapshot{Snapshot: snapshot, Err: err}
	})
}

// saveSnapshot may run on any goroutine: it uses nothing of the driver but the
// snapshot store.
func (d *Driver) saveSnapshot(frozen *state.Frozen, metadata consensus.SnapshotMetadata) (consensus.Snapshot, error) {
	data, err := frozen.Encode()
	if err != nil {
		return consensus.Snapshot{}, err
	}
	snapshot := consensus.Snapshot{Data: data, Metadata: metadata}
	return snapshot, eris.Wrap(d.storage.Snapshots.Save(snapshot), "save a snapshot")
}

func (d *Driver) awaitSnapshot() error {
	if !d.writingSnapshot {
		return nil
	}
	return d.AdoptSnapshot(d.host.AwaitSnapshot())
}

// AdoptSnapshot makes a saved snapshot the newest one and compacts the log.
func (d *Driver) AdoptSnapshot(saved SavedSnapshot) error {
	d.writingSnapshot = false
	if saved.Abandoned {
		return nil
	}
	if saved.Err != nil {
		return saved.Err
	}
	if err := d.storage.AdoptSnapshot(saved.Snapshot); err != nil {
		return err
	}
	return d.compact(saved.Snapshot.Metadata.Index)
}

// compact drops the log entries up to the snapshot, except the last SnapshotEntries,
// which are kept for members that are slightly behind.
func (d *Driver) compact(index uint64) error {
	keep := uint64(d.config.SnapshotEntries)
	if index <= keep {
		return nil
	}
	if err := d.core.Compact(index - keep); err != nil {
		return eris.Wrap(err, "compact the log")
	}
	return d.config.Log.Release(d.storage.Snapshots.Oldest())
}
