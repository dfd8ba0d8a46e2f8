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

// Subfolders of the data folder.
const (
	logFolder      = "wal"
	snapshotFolder = "snapshots"
)

// Options configures Open.
type Options struct {
	// SegmentBytes is the size at which the log starts a new segment; zero means
	// wal.DefaultSegmentBytes.
	SegmentBytes int64
}

// Storage is the replica's durable state: log and snapshots. It must be used by a single
// goroutine, except as BeginSnapshot describes.
type Storage struct {
	// Log is the open write-ahead log.
	Log *wal.Log
	// Snapshots stores the newest snapshots.
	Snapshots *snapshot.Store
	// Initial and State are what Open read from the data folder.
	Initial consensus.InitialState
	State   *state.State

	newest *consensus.Snapshot
	// appliedTerm is the term of the last applied entry, or of the snapshot that was loaded
	// or received after it. appliedEntries and appliedBytes count what was applied since
	// the last BeginSnapshot.
	appliedTerm    uint64
	appliedEntries int
	appliedBytes   int
}

// CreateLog creates the log of a replica that has no identity yet. The identity is saved
// afterwards, so that an identity without a log can be recognized as damage.
func CreateLog(files vfs.FileSystem, folder string) error {
	log, _, err := wal.Open(files, filepath.Join(folder, logFolder), wal.Options{})
	if err != nil {
		return eris.Wrap(err, "create the log")
	}
	return log.Close()
}

// Open reads the newest snapshot and the log after it. Without a snapshot, the replica
// starts with the founders as the membership at index 0.
func Open(files vfs.FileSystem, folder string, self identity.Identity, options Options) (*Storage, error) {
	snapshots, err := snapshot.Open(files, filepath.Join(folder, snapshotFolder))
	if err != nil {
		return nil, eris.Wrap(err, "open the snapshots")
	}
	storage := &Storage{Snapshots: snapshots, State: state.New()}
	storage.Initial.Snapshot.Membership = consensus.Membership{Members: self.Founders}
	if err := storage.loadSnapshot(); err != nil {
		return nil, err
	}
	log, recovered, err := wal.Open(files, filepath.Join(folder, logFolder), wal.Options{
		SnapshotIndex: storage.Initial.Snapshot.Index,
		SnapshotTerm:  storage.Initial.Snapshot.Term,
		MustExist:     true,
		SegmentBytes:  options.SegmentBytes,
	})
	if err != nil {
		return nil, eris.Wrap(err, "open the log")
	}
	storage.Log = log
	storage.Initial.HardState = recovered.HardState
	storage.Initial.Entries = recovered.Entries
	return storage, nil
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

// SaveSnapshot saves a snapshot received from the leader to stable storage and marks it in
// the log, whose entries it may replace.
func (s *Storage) SaveSnapshot(received consensus.Snapshot) error {
	if err := s.Snapshots.Save(received); err != nil {
		return eris.Wrap(err, "save a snapshot")
	}
	s.BeginSnapshot()
	s.appliedTerm = received.Metadata.Term
	return s.AdoptSnapshot(received)
}

// BeginSnapshot resets the counters that decide when the next snapshot is due. The caller
// then saves a snapshot of the state at this point with Snapshots.Save, on any goroutine but only
// one at a time, and passes it to AdoptSnapshot.
func (s *Storage) BeginSnapshot() {
	s.appliedEntries = 0
	s.appliedBytes = 0
}

// AdoptSnapshot marks a snapshot that is on stable storage in the log and makes it the
// newest. It ignores a snapshot that is not newer than the current one.
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

// Applied counts an applied entry towards the next snapshot. If the entry is a membership
// change, its commit index is on stable storage when Applied returns, so that a replica
// that knows that it was removed still knows it after a crash and requests no votes.
// (The change takes effect with its entry, whether committed or not.)
func (s *Storage) Applied(entry consensus.Entry) error {
	s.appliedTerm = entry.Term
	s.appliedEntries++
	s.appliedBytes += len(entry.Data)
	if entry.Kind != consensus.EntryMembership {
		return nil
	}
	return eris.Wrap(s.Log.SyncCommit(entry.Index), "save that a membership change is committed")
}

// AppliedTerm returns the term of the last applied entry.
func (s *Storage) AppliedTerm() uint64 {
	return s.appliedTerm
}

// SnapshotDue reports whether at least the given number of entries or of bytes was applied
// since the last BeginSnapshot.
func (s *Storage) SnapshotDue(entries, bytes int) bool {
	return s.appliedEntries >= entries || s.appliedBytes >= bytes
}
