package controller

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// savedSnapshot is the end of one snapshot that was written beside the loop.
type savedSnapshot struct {
	snapshot consensus.Snapshot
	err      error
}

// restore replaces the state by a snapshot that the leader sent.
func (r *replica) restore(received consensus.Snapshot) error {
	restored, err := state.Decode(received.Data)
	if err != nil {
		return eris.Wrap(err, "decode the leader's snapshot")
	}
	// The store takes one snapshot at a time.
	if err := r.awaitSnapshot(); err != nil {
		return err
	}
	if err := r.storage.SaveSnapshot(received); err != nil {
		return err
	}
	r.stateLock.Lock()
	r.state = restored
	r.stateLock.Unlock()
	r.applied = received.Metadata.Index
	r.history.reset(restored.Revision())
	telemetry.With(r.log, telemetry.EventSnapshotReceived).WithField("index", r.applied).Info("snapshot received")
	return nil
}

// takeSnapshot begins a snapshot once enough was applied. The loop only freezes
// the state; encoding and writing, which take longer than a lease with many
// shards, go on beside it.
func (r *replica) takeSnapshot() {
	if r.snapshotting || !r.storage.SnapshotDue(r.settings.Consensus.SnapshotEntries, r.settings.Consensus.SnapshotBytes) {
		return
	}
	r.snapshotting = true
	r.storage.BeginSnapshot()
	frozen := r.state.Freeze()
	metadata := consensus.SnapshotMetadata{
		Index: r.applied, Term: r.storage.AppliedTerm(), Membership: r.core.Status().AppliedMembership,
	}
	r.background.Go(func() {
		snapshot, err := r.writeSnapshot(frozen, metadata)
		r.snapshots <- savedSnapshot{snapshot: snapshot, err: err}
	})
}

func (r *replica) writeSnapshot(frozen *state.Frozen, metadata consensus.SnapshotMetadata) (consensus.Snapshot, error) {
	data, err := frozen.Encode()
	if err != nil {
		return consensus.Snapshot{}, err
	}
	snapshot := consensus.Snapshot{Data: data, Metadata: metadata}
	return snapshot, eris.Wrap(r.storage.Snapshots.Save(snapshot), "save a snapshot")
}

// awaitSnapshot waits for the snapshot that is being written, if there is one.
func (r *replica) awaitSnapshot() error {
	if !r.snapshotting {
		return nil
	}
	return r.adoptSnapshot(<-r.snapshots)
}

// endSnapshot waits for the writer when the loop ends, and leaves what it wrote
// to the next start.
func (r *replica) endSnapshot() {
	if r.snapshotting {
		<-r.snapshots
	}
}

// adoptSnapshot takes a saved snapshot into use and cuts the log.
func (r *replica) adoptSnapshot(saved savedSnapshot) error {
	r.snapshotting = false
	if saved.err != nil {
		return saved.err
	}
	if err := r.storage.AdoptSnapshot(saved.snapshot); err != nil {
		return err
	}
	index := saved.snapshot.Metadata.Index
	telemetry.With(r.log, telemetry.EventSnapshotTaken).WithField("index", index).
		WithField("bytes", len(saved.snapshot.Data)).Info("snapshot taken")
	return r.compact(index)
}

// compact drops the log up to the snapshot but for a tail that serves members
// which are a little behind.
func (r *replica) compact(index uint64) error {
	keep := uint64(r.settings.Consensus.SnapshotEntries)
	if index <= keep {
		return nil
	}
	if err := r.core.Compact(index - keep); err != nil {
		return eris.Wrap(err, "compact the log")
	}
	return r.storage.Log.Release(r.storage.Snapshots.Oldest())
}
