package durable

import (
	"errors"
	"fmt"
	"math/rand"
	"syscall"
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// firstStart does what a controller does to its disk from the empty folder to its first snapshot, or from wherever the
// folder stands.
func firstStart(files vfs.FileSystem) error {
	const folder = "data"
	own, err := LoadIdentity(files, folder, true, func() consensus.ReplicaID { return 7 })
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	if own.Cluster == "" {
		own.Cluster, own.Founders = "cluster", []consensus.Member{{ID: 7, Name: "c1"}}
		if err := identity.Save(files, folder, own); err != nil {
			return fmt.Errorf("founders: %w", err)
		}
	}
	storage, err := Open(files, folder, own, Options{})
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	if err := firstEntries(storage); err != nil {
		return err
	}
	return storage.Log.Close()
}

// firstEntries votes, saves entries and takes a snapshot after them.
func firstEntries(storage *Storage) error {
	last := max(storage.Initial.Snapshot.Index, storage.Initial.HardState.Commit)
	if count := len(storage.Initial.Entries); count > 0 {
		last = storage.Initial.Entries[count-1].Index
	}
	term := storage.Initial.HardState.Term + 1
	if err := storage.Log.Save(&consensus.HardState{Term: term, Vote: 7, Commit: storage.Initial.HardState.Commit}, nil); err != nil {
		return fmt.Errorf("vote: %w", err)
	}
	entry := consensus.Entry{Index: last + 1, Term: term, Data: make([]byte, 2000)}
	if err := storage.Log.Save(&consensus.HardState{Term: term, Vote: 7, Commit: last + 1}, []consensus.Entry{entry}); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	data, err := storage.State.Freeze().Encode()
	if err != nil {
		return err
	}
	taken := consensus.Snapshot{Data: data, Metadata: consensus.SnapshotMetadata{Index: last + 1, Term: term}}
	if err := storage.Snapshots.Save(taken); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := storage.AdoptSnapshot(taken); err != nil {
		return fmt.Errorf("mark: %w", err)
	}
	return storage.Log.Release(storage.Snapshots.Oldest())
}

// TestPowerLostAtEachOperationOfTheFirstStart guards against a controller that does not start again after its power was
// lost while it first started, once or several times.
func TestPowerLostAtEachOperationOfTheFirstStart(t *testing.T) {
	const seeds, points = 12, 60
	for seed := range int64(seeds) {
		for operations := range points {
			random := rand.New(rand.NewSource(seed)) //nolint:gosec // a fixed seed
			disk := vfs.NewMemory(random)
			if seed%2 == 1 {
				disk.SetIndependentNames()
			}
			for loss := range 4 {
				disk.CrashAfter(operations + loss*random.Intn(10))
				err := firstStart(disk)
				if err != nil && !errors.Is(err, vfs.ErrCrashed) {
					t.Fatalf("seed %d, power lost at operation %d: start %d failed: %v", seed, operations, loss, err)
				}
				disk.Crash()
			}
			if err := firstStart(disk); err != nil {
				t.Fatalf("seed %d, power lost at operation %d: the last start failed: %v", seed, operations, err)
			}
		}
	}
}

// failingOnce is a file system whose n-th modifying operation fails once.
type failingOnce struct {
	*vfs.Memory
	left int
	err  error
}

func (f *failingOnce) next() error {
	f.left--
	if f.left == 0 {
		return f.err
	}
	return nil
}

// Create implements vfs.FileSystem.
func (f *failingOnce) Create(path string) (vfs.File, error) {
	if err := f.next(); err != nil {
		return nil, err
	}
	file, err := f.Memory.Create(path)
	return failingFile{file, f}, err
}

// OpenAppend implements vfs.FileSystem.
func (f *failingOnce) OpenAppend(path string) (vfs.File, error) {
	if err := f.next(); err != nil {
		return nil, err
	}
	file, err := f.Memory.OpenAppend(path)
	return failingFile{file, f}, err
}

// Rename implements vfs.FileSystem.
func (f *failingOnce) Rename(from, to string) error {
	if err := f.next(); err != nil {
		return err
	}
	return f.Memory.Rename(from, to)
}

// MkdirAll implements vfs.FileSystem.
func (f *failingOnce) MkdirAll(path string) error {
	if err := f.next(); err != nil {
		return err
	}
	return f.Memory.MkdirAll(path)
}

// SyncDir implements vfs.FileSystem.
func (f *failingOnce) SyncDir(path string) error {
	if err := f.next(); err != nil {
		return err
	}
	return f.Memory.SyncDir(path)
}

// failingFile is a file of a failingOnce.
type failingFile struct {
	vfs.File
	disk *failingOnce
}

// Write implements vfs.File.
func (f failingFile) Write(data []byte) (int, error) {
	if err := f.disk.next(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

// Sync implements vfs.File.
func (f failingFile) Sync() error {
	if err := f.disk.next(); err != nil {
		return err
	}
	return f.File.Sync()
}

// TestFailureAtEachOperationOfTheFirstStart: whatever fails once, the error keeps its cause, by which the controller
// decides whether to wait, and the next start succeeds.
func TestFailureAtEachOperationOfTheFirstStart(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO, syscall.EMFILE} {
		const fewest = 30 // operations of a first start
		for operation := 1; ; operation++ {
			disk := &failingOnce{Memory: vfs.NewMemory(nil), left: operation, err: cause}
			err := firstStart(disk)
			if disk.left > 0 {
				if operation < fewest {
					t.Errorf("a first start has only %d operations", operation)
				}
				break
			}
			if !errors.Is(err, cause) {
				t.Errorf("%v at operation %d: the cause is lost: %v", cause, operation, err)
			}
			if err := firstStart(disk); err != nil {
				t.Errorf("%v at operation %d: the next start failed: %v", cause, operation, err)
			}
		}
	}
}
