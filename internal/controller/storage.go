package controller

import (
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/snapshot"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/vfs"
	"github.com/thorntiller/thorntiller/internal/wal"
)

// Folders below the data folder.
const (
	logFolder      = "wal"
	snapshotFolder = "snapshots"
)

// storage is the replica's durable state: log and snapshots.
type storage struct {
	log       *wal.Log
	snapshots *snapshot.Store
	newest    *consensus.Snapshot
	recovered recovered
	// appliedTerm, appliedEntries and appliedBytes count since the newest
	// snapshot.
	appliedTerm    uint64
	appliedEntries int
	appliedBytes   int
}

// recovered is what the data folder held at start.
type recovered struct {
	initial consensus.InitialState
	state   *state.State
}

// createLog starts the log of a replica that has no identity yet. The identity
// is saved after it, so that an identity without a log is known as damage.
func createLog(files vfs.FileSystem, folder string) error {
	log, _, err := wal.Open(files, filepath.Join(folder, logFolder), wal.Options{})
	if err != nil {
		return eris.Wrap(err, "create the log")
	}
	return log.Close()
}

// openStorage reads the newest snapshot and the log after it. A founder without
// a snapshot begins with the founders' membership at index 0.
func openStorage(files vfs.FileSystem, folder string, self identity.Identity) (*storage, error) {
	store, err := snapshot.Open(files, filepath.Join(folder, snapshotFolder))
	if err != nil {
		return nil, eris.Wrap(err, "open the snapshots")
	}
	disk := &storage{snapshots: store}
	disk.recovered.state = state.New()
	disk.recovered.initial.Snapshot.Membership = consensus.Membership{Members: self.Founders}
	if err := disk.loadSnapshot(); err != nil {
		return nil, err
	}
	log, content, err := wal.Open(files, filepath.Join(folder, logFolder), wal.Options{
		SnapshotIndex: disk.recovered.initial.Snapshot.Index,
		SnapshotTerm:  disk.recovered.initial.Snapshot.Term,
		MustExist:     true,
	})
	if err != nil {
		return nil, eris.Wrap(err, "open the log")
	}
	disk.log = log
	disk.recovered.initial.HardState = content.HardState
	disk.recovered.initial.Entries = content.Entries
	return disk, nil
}

func (s *storage) loadSnapshot() error {
	newest, found, err := s.snapshots.LoadNewest()
	if err != nil || !found {
		return err
	}
	restored, err := state.Decode(newest.Data)
	if err != nil {
		return err
	}
	s.newest = &newest
	s.appliedTerm = newest.Metadata.Term
	s.recovered.state = restored
	s.recovered.initial.Snapshot = newest.Metadata
	return nil
}

// newestSnapshot implements consensus.SnapshotSource.
func (s *storage) newestSnapshot() (consensus.Snapshot, bool) {
	if s.newest == nil {
		return consensus.Snapshot{}, false
	}
	return *s.newest, true
}

// saveSnapshot makes a snapshot durable and tells the log of it, which a
// snapshot from the leader may replace.
func (s *storage) saveSnapshot(taken consensus.Snapshot) error {
	if err := s.snapshots.Save(taken); err != nil {
		return eris.Wrap(err, "save a snapshot")
	}
	if err := s.log.MarkSnapshot(taken.Metadata.Index, taken.Metadata.Term); err != nil {
		return eris.Wrap(err, "mark a snapshot in the log")
	}
	s.newest = &taken
	s.appliedTerm = taken.Metadata.Term
	s.appliedEntries = 0
	s.appliedBytes = 0
	return nil
}

func (s *storage) applied(entry consensus.Entry) {
	s.appliedTerm = entry.Term
	s.appliedEntries++
	s.appliedBytes += len(entry.Data)
}

func (s *storage) snapshotDue(settings config.Consensus) bool {
	return s.appliedEntries >= settings.SnapshotEntries || s.appliedBytes >= settings.SnapshotBytes
}
