package vfs

import (
	"errors"
	"io/fs"
	"math/rand"
	"path/filepath"
	"syscall"
	"testing"
)

// createFile creates a file with the given data and syncs it if sync is set.
func createFile(t *testing.T, disk FileSystem, path, data string, sync bool) {
	t.Helper()
	file, err := disk.Create(path)
	must(t, err)
	_, err = file.Write([]byte(data))
	must(t, err)
	if sync {
		must(t, file.Sync())
	}
	must(t, file.Close())
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func readString(t *testing.T, disk FileSystem, path string) string {
	t.Helper()
	data, err := ReadFile(disk, path)
	must(t, err)
	return string(data)
}

// TestSystemAndMemoryAgree verifies that the same operations have the same results
// on both file systems.
func TestSystemAndMemoryAgree(t *testing.T) {
	for _, disk := range []FileSystem{System{}, NewMemory(nil)} {
		directory := filepath.Join(t.TempDir(), "a", "b")
		path := filepath.Join(directory, "one")
		must(t, disk.MkdirAll(directory))
		must(t, WriteFileAtomic(disk, path, []byte("hello")))
		createFile(t, disk, path+TemporarySuffix, "rest of a crash", true)
		must(t, RemoveTemporary(disk, directory))
		file, err := disk.OpenAppend(path)
		must(t, err)
		_, err = file.Write([]byte(" world"))
		must(t, err)
		must(t, file.Close())
		must(t, disk.Truncate(path, 8))
		if got := readString(t, disk, path); got != "hello wo" {
			t.Errorf("%T: content %q", disk, got)
		}
		size, err := disk.Size(path)
		must(t, err)
		names, err := disk.ReadDir(directory)
		must(t, err)
		if size != 8 || len(names) != 1 || names[0] != "one" {
			t.Errorf("%T: size %d, names %v", disk, size, names)
		}
		must(t, disk.Remove(path))
		if _, err := disk.OpenRead(path); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%T: open of a removed file: %v", disk, err)
		}
		if _, err := disk.OpenAppend(path); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%T: append to a removed file: %v", disk, err)
		}
	}
}

func TestCrashDropsWhatWasNotSynced(t *testing.T) {
	disk := NewMemory(nil)
	must(t, disk.MkdirAll("/d"))
	createFile(t, disk, "/d/kept", "synced", true)
	must(t, disk.SyncDir("/d"))
	file, err := disk.OpenAppend("/d/kept")
	must(t, err)
	_, err = file.Write([]byte(" and lost"))
	must(t, err)
	createFile(t, disk, "/d/unnamed", "synced, but its name is not", true)
	must(t, disk.Rename("/d/kept", "/d/renamed"))
	disk.Crash()
	if got := readString(t, disk, "/d/kept"); got != "synced" {
		t.Errorf("content after the crash: %q", got)
	}
	names, err := disk.ReadDir("/d")
	must(t, err)
	if len(names) != 1 {
		t.Errorf("names after the crash: %v", names)
	}
	if _, err := file.Write([]byte("x")); !errors.Is(err, ErrCrashed) {
		t.Errorf("write to a file opened before the crash: %v", err)
	}
}

func TestFaults(t *testing.T) {
	disk := NewMemory(rand.New(rand.NewSource(1)))
	must(t, disk.MkdirAll("/d"))
	disk.SetSpace(4)
	err := WriteFileAtomic(disk, "/d/full", []byte("123456"))
	if !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("write beyond the space: %v", err)
	}
	disk.SetSpace(noLimit)
	must(t, WriteFileAtomic(disk, "/d/one", []byte{0}))
	must(t, disk.FlipBit("/d/one", 3))
	disk.Crash()
	if got := readString(t, disk, "/d/one"); got != "\x08" {
		t.Errorf("content after a flipped bit: %q", got)
	}
	disk.CrashAfter(2)
	if err := WriteFileAtomic(disk, "/d/two", []byte("x")); !errors.Is(err, ErrCrashed) {
		t.Errorf("write at the crash point: %v", err)
	}
	disk.Crash()
	disk.LoseDisk()
	if _, err := disk.ReadDir("/d"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("directory of a lost disk: %v", err)
	}
}

// TestTornWritesAreSeeded verifies that torn writes keep different parts of the
// data for different seeds, and the same part for the same seed.
func TestTornWritesAreSeeded(t *testing.T) {
	seen := map[string]bool{}
	for seed := range int64(40) {
		first := tornContent(t, seed)
		if second := tornContent(t, seed); first != second {
			t.Fatalf("seed %d gave %q and %q", seed, first, second)
		}
		seen[first] = true
	}
	if len(seen) < 5 {
		t.Errorf("only %d different torn writes", len(seen))
	}
}

func tornContent(t *testing.T, seed int64) string {
	t.Helper()
	disk := NewMemory(rand.New(rand.NewSource(seed)))
	must(t, disk.MkdirAll("/d"))
	createFile(t, disk, "/d/f", "unsynced", false)
	must(t, disk.SyncDir("/d"))
	disk.Crash()
	return readString(t, disk, "/d/f")
}
