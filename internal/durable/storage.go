package durable

import (
	"path/filepath"

	"github.com/rotisserie/eris"

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

// Options configures Open.
type Options struct {
	// SegmentBytes is the size at which the log begins a new segment; zero means
	// wal.DefaultSegmentBytes.
	SegmentBytes int64
}

// Storage is the replica's durable state: log and snapshots. One goroutine
// drives it.
type Storage struct {
	// Log is the open write-ahead log.
	Log *wal.Log
	// Snapshots holds the newest snapshots.
	Snapshots *snapshot.Store
	// Initial and State are what the data folder held at start.
	Initial consensus.InitialState
	State   *state.State

	newest *consensus.Snapshot
	// appliedTerm, appliedEntries and appliedBytes count since the newest
	// snapshot.
	appliedTerm    uint64
	appliedEntries int
	appliedBytes   int
}

// CreateLog starts the log of a replica that has no identity yet. The identity
// is saved after it, so that an identity without a log is known as damage.
func CreateLog(files vfs.FileSystem, folder string) error {
	log, _, err := wal.Open(files, filepath.Join(folder, logFolder), wal.Options{})
	if err != nil {
		return eris.Wrap(err, "create the log")
	}
	return log.Close()
}

// Open reads the newest snapshot and the log after it. A founder without
// a snapshot begins with the founders' membership at index 0.
func Open(files vfs.FileSystem, folder string, self identity.Identity, options Options) (*Storage, error) {
	store, err := snapshot.Open(files, filepath.Join(folder, snapshotFolder))
	if err != nil {
		return nil, eris.Wrap(err, "open the snapshots")
	}
	disk := &Storage{Snapshots: store, State: state.New()}
	disk.Initial.Snapshot.Membership = consensus.Membership{Members: self.Founders}
	if err := disk.loadSnapshot(); err != nil {
		return nil, err
	}
	log, content, err := wal.Open(files, filepath.Join(folder, logFolder), wal.Options{
		SnapshotIndex: disk.Initial.Snapshot.Index,
		SnapshotTerm:  disk.Initial.Snapshot.Term,
		MustExist:     true,
		SegmentBytes:  options.SegmentBytes,
	})
	if err != nil {
		return nil, eris.Wrap(err, "open the log")
	}
	disk.Log = log
	disk.Initial.HardState = content.HardState
	disk.Initial.Entries = content.Entries
	return disk, nil
}

func (s *Storage) loadSnapshot() error {
	newest, found, err := s.Snapshots.LoadNewest()
	if err != nil || !found {
		return err
	}
	restored, err := state.Decode(newest.Data)
	if err != nil {
		return err
	}
	s.newest = &newest
	s.appliedTerm = newest.Metadata.Term
	s.State = restored
	s.Initial.Snapshot = newest.Metadata
	return nil
}

// Newest implements consensus.SnapshotSource.
func (s *Storage) Newest() (consensus.Snapshot, bool) {
	if s.newest == nil {
		return consensus.Snapshot{}, false
	}
	return *s.newest, true
}

// SaveSnapshot makes a snapshot from the leader durable and tells the log of it,
// which the snapshot may replace.
func (s *Storage) SaveSnapshot(received consensus.Snapshot) error {
	if err := s.Snapshots.Save(received); err != nil {
		return eris.Wrap(err, "save a snapshot")
	}
	s.BeginSnapshot()
	s.appliedTerm = received.Metadata.Term
	return s.AdoptSnapshot(received)
}

// BeginSnapshot starts to count anew towards the next snapshot. The snapshot of
// this moment is then saved by Snapshots.Save, on any goroutine but only one at
// a time, and taken into use by AdoptSnapshot.
func (s *Storage) BeginSnapshot() {
	s.appliedEntries = 0
	s.appliedBytes = 0
}

// AdoptSnapshot tells the log of a snapshot that is on stable storage. One that
// is older than the newest is left aside.
func (s *Storage) AdoptSnapshot(saved consensus.Snapshot) error {
	if s.newest != nil && saved.Metadata.Index <= s.newest.Metadata.Index {
		return nil
	}
	if err := s.Log.MarkSnapshot(saved.Metadata.Index, saved.Metadata.Term); err != nil {
		return eris.Wrap(err, "mark a snapshot in the log")
	}
	s.newest = &saved
	return nil
}

// Applied counts an applied entry towards the next snapshot. A membership change
// is on stable storage as committed when it returns: a replica that knows that it
// was removed still knows it after a crash, and asks for no votes. (The change is
// in force with its entry, committed or not.)
func (s *Storage) Applied(entry consensus.Entry) error {
	s.appliedTerm = entry.Term
	s.appliedEntries++
	s.appliedBytes += len(entry.Data)
	if entry.Kind != consensus.EntryMembership {
		return nil
	}
	return eris.Wrap(s.Log.SyncCommit(entry.Index), "save that a membership change is committed")
}

// AppliedTerm returns the term of the newest applied entry.
func (s *Storage) AppliedTerm() uint64 {
	return s.appliedTerm
}

// SnapshotDue reports whether so many entries or bytes were applied since the
// newest snapshot that the next one is due.
func (s *Storage) SnapshotDue(entries, bytes int) bool {
	return s.appliedEntries >= entries || s.appliedBytes >= bytes
}
