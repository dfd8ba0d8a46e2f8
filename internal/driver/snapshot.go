package driver

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
)

// restore replaces the state by a snapshot that the leader sent, once that is on
// stable storage.
func (d *Driver) restore(received consensus.Snapshot) error {
	restored, err := state.Decode(received.Data)
	if err != nil {
		return eris.Wrap(err, "decode the leader's snapshot")
	}
	// The store takes one snapshot at a time.
	if err := d.awaitSnapshot(); err != nil {
		return err
	}
	if err := d.storage.SaveSnapshot(received); err != nil {
		return err
	}
	d.applied = received.Metadata.Index
	d.host.Restored(d.applied, restored)
	return nil
}

// WritingSnapshot reports whether a snapshot is being written.
func (d *Driver) WritingSnapshot() bool { return d.writing }

// beginSnapshot begins a snapshot once enough was applied. The state is frozen
// here; the host decides where it is encoded and written.
func (d *Driver) beginSnapshot() {
	if d.writing || !d.storage.SnapshotDue(d.config.SnapshotEntries, d.config.SnapshotBytes) {
		return
	}
	d.writing = true
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

// saveSnapshot runs on any goroutine: it touches the store alone.
func (d *Driver) saveSnapshot(frozen *state.Frozen, metadata consensus.SnapshotMetadata) (consensus.Snapshot, error) {
	data, err := frozen.Encode()
	if err != nil {
		return consensus.Snapshot{}, err
	}
	snapshot := consensus.Snapshot{Data: data, Metadata: metadata}
	return snapshot, eris.Wrap(d.storage.Snapshots.Save(snapshot), "save a snapshot")
}

func (d *Driver) awaitSnapshot() error {
	if !d.writing {
		return nil
	}
	return d.AdoptSnapshot(d.host.AwaitSnapshot())
}

// AdoptSnapshot takes a saved snapshot into use and cuts the log.
func (d *Driver) AdoptSnapshot(saved SavedSnapshot) error {
	d.writing = false
	if saved.Err != nil {
		return saved.Err
	}
	if err := d.storage.AdoptSnapshot(saved.Snapshot); err != nil {
		return err
	}
	return d.compact(saved.Snapshot.Metadata.Index)
}

// compact drops the log up to the snapshot but for a tail that serves members
// which are a little behind.
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
