package snapshot

import (
	"fmt"
	"math/rand"
	"reflect"
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

const directory = "/data/snapshots"

func snapshotAt(index uint64) consensus.Snapshot {
	members := []consensus.Member{{ID: 1, Name: "one"}}
	return consensus.Snapshot{
		Metadata: consensus.SnapshotMetadata{Index: index, Term: 2, Membership: consensus.Membership{Members: members}},
		Data:     []byte(strings.Repeat(fmt.Sprint(index), 600)),
	}
}

// saveUntilCrash saves snapshots 1, 2, ... until the disk crashes and returns
// the index of the last acknowledged one.
func saveUntilCrash(t *testing.T, files vfs.FileSystem) uint64 {
	t.Helper()
	store, err := Open(files, directory)
	if err != nil {
		return 0
	}
	for index := uint64(1); index < 100; index++ {
		if err := store.Save(snapshotAt(index)); err != nil {
			return index - 1
		}
	}
	t.Fatal("the disk did not crash")
	return 0
}

// newestAfterCrash crashes the disk after a number of file operations and
// returns the index of the last acknowledged snapshot and the snapshot recovered.
func newestAfterCrash(t *testing.T, operations int, wrap func(vfs.FileSystem) vfs.FileSystem) (acked uint64, got consensus.Snapshot) {
	t.Helper()
	disk := vfs.NewMemory(rand.New(rand.NewSource(int64(operations))))
	disk.CrashAfter(operations)
	acked = saveUntilCrash(t, wrap(disk))
	disk.Crash()
	store, err := Open(disk, directory)
	if err != nil {
		t.Fatal(err)
	}
	got, _, err = store.LoadNewest()
	if err != nil {
		t.Fatal(err)
	}
	return acked, got
}

func TestCrashBetweenEachStep(t *testing.T) {
	for operations := range 60 {
		acked, got := newestAfterCrash(t, operations, func(files vfs.FileSystem) vfs.FileSystem { return files })
		index := got.Metadata.Index
		if index != acked && index != acked+1 {
			t.Errorf("crash after %d operations: recovered %d, acknowledged %d", operations, index, acked)
		}
		if index > 0 && !reflect.DeepEqual(got, snapshotAt(index)) {
			t.Errorf("crash after %d operations: snapshot %d differs", operations, index)
		}
	}
}

// noSyncDir injects a fault: directory entries are never made durable.
type noSyncDir struct{ vfs.FileSystem }

func (noSyncDir) SyncDir(string) error { return nil }

// TestMissingSyncIsCaught verifies that the crash test detects lost snapshots if
// directories are not synced.
func TestMissingSyncIsCaught(t *testing.T) {
	for operations := range 60 {
		acked, got := newestAfterCrash(t, operations, func(files vfs.FileSystem) vfs.FileSystem { return noSyncDir{files} })
		if got.Metadata.Index < acked {
			return
		}
	}
	t.Error("no crash lost a snapshot without directory syncs")
}

func TestDamagedNewestFallsBack(t *testing.T) {
	disk := vfs.NewMemory(nil)
	store, err := Open(disk, directory)
	if err != nil {
		t.Fatal(err)
	}
	for index := uint64(1); index <= 3; index++ {
		if err := store.Save(snapshotAt(index)); err != nil {
			t.Fatal(err)
		}
	}
	if store.Oldest() != 2 {
		t.Errorf("oldest kept snapshot: %d", store.Oldest())
	}
	if _, err := disk.FlipRandomBit(store.path(3), rand.New(rand.NewSource(1))); err != nil {
		t.Fatal(err)
	}
	store, err = Open(disk, directory)
	if err != nil {
		t.Fatal(err)
	}
	got, found, err := store.LoadNewest()
	if err != nil || !found || !reflect.DeepEqual(got, snapshotAt(2)) {
		t.Errorf("newest: index %d, %v, %v", got.Metadata.Index, found, err)
	}
	damaged := store.Damaged()
	if len(damaged) != 1 || damaged[0].File != store.path(3) || !strings.Contains(damaged[0].Error(), "remedy") {
		t.Errorf("damaged: %v", damaged)
	}
	if err := store.Save(snapshotAt(3)); err != nil {
		t.Fatal(err)
	}
	names, err := disk.ReadDir(directory)
	if err != nil || len(names) != 2 || len(store.Damaged()) != 0 {
		t.Errorf("files after the next save: %v, %v", names, err)
	}
}
