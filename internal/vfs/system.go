package vfs

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/thorntiller/thorntiller/internal/descriptor"
)

const (
	filePermissions      os.FileMode = 0o600
	directoryPermissions os.FileMode = 0o700
)

// System is the operating system's file system. Its zero value is ready to use.
type System struct{}

var _ FileSystem = System{}

// Create implements FileSystem.
func (System) Create(path string) (File, error) {
	return openFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// OpenAppend implements FileSystem.
func (System) OpenAppend(path string) (File, error) {
	return openFile(path, os.O_WRONLY|os.O_APPEND)
}

// OpenRead implements FileSystem.
func (System) OpenRead(path string) (File, error) {
	return openFile(path, os.O_RDONLY)
}

// openFile returns a nil File on error, rather than a non-nil File that holds a
// nil *os.File.
func openFile(path string, flags int) (File, error) {
	file, err := open(path, flags)
	if err != nil {
		return nil, err
	}
	return file, nil
}

const (
	// openPatience is how long an open that fails for want of a descriptor is repeated.
	openPatience      = time.Second
	openRetryInterval = 5 * time.Millisecond
)

// open opens a file. It tries again for a while if no descriptor is left: such an open has changed nothing.
func open(path string, flags int) (*os.File, error) {
	for start := time.Now(); ; time.Sleep(openRetryInterval) {
		file, err := os.OpenFile(filepath.Clean(path), flags, filePermissions)
		if !descriptor.Exhausted(err) || time.Since(start) > openPatience {
			return file, err
		}
	}
}

// Rename implements FileSystem.
func (System) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FileSystem.
func (System) Remove(path string) error {
	return os.Remove(path)
}

// MkdirAll implements FileSystem. It syncs the parent of each directory that
// it creates.
func (s System) MkdirAll(path string) error {
	clean := filepath.Clean(path)
	missing := missingDirectories(clean)
	if err := os.MkdirAll(clean, directoryPermissions); err != nil {
		return err
	}
	for _, directory := range missing {
		if err := s.SyncDir(filepath.Dir(directory)); err != nil {
			return err
		}
	}
	return nil
}

// missingDirectories returns path and those of its parents that do not exist,
// deepest first.
func missingDirectories(path string) []string {
	var missing []string
	for {
		if _, err := os.Stat(path); err == nil {
			return missing
		}
		missing = append(missing, path)
		parent := filepath.Dir(path)
		if parent == path {
			return missing
		}
		path = parent
	}
}

// ReadDir implements FileSystem.
func (System) ReadDir(path string) ([]string, error) {
	directory, err := open(path, os.O_RDONLY)
	if err != nil {
		return nil, err
	}
	entries, err := directory.ReadDir(-1)
	_ = directory.Close() // it was only read
	if err != nil {
		return nil, err
	}
	slices.SortFunc(entries, func(a, b os.DirEntry) int { return strings.Compare(a.Name(), b.Name()) })
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Size implements FileSystem.
func (System) Size(path string) (int64, error) {
	information, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return information.Size(), nil
}

// Truncate implements FileSystem.
func (System) Truncate(path string, size int64) error {
	return os.Truncate(path, size)
}

// SyncDir implements FileSystem.
func (System) SyncDir(path string) error {
	directory, err := open(path, os.O_RDONLY)
	if err != nil {
		return err
	}
	syncErr := directory.Sync()
	closeErr := directory.Close()
	if syncErr != nil {
		return syncErr
	}
	return closeErr
}
