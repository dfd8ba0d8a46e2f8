package vfs

import (
	"io"
	"io/fs"
	"slices"
	"syscall"
)

// memoryFile is an open file of a Memory.
type memoryFile struct {
	disk       *Memory
	node       *node
	generation int
	offset     int
	writable   bool
	closed     bool
}

// check returns an error if the file cannot be used. The caller holds the disk's mutex.
func (f *memoryFile) check() error {
	if f.closed {
		return fs.ErrClosed
	}
	if f.generation != f.disk.generation || f.disk.operationsLeft == 0 {
		return ErrCrashed
	}
	return nil
}

// Read implements io.Reader.
func (f *memoryFile) Read(buffer []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.check(); err != nil {
		return 0, err
	}
	if f.offset >= len(f.node.content) {
		return 0, io.EOF
	}
	count := copy(buffer, f.node.content[f.offset:])
	f.offset += count
	return count, nil
}

// Write implements io.Writer. The write at the crash point leaves its data
// unsynced, so that Crash may tear it; a write that exceeds the free space
// stores the part that fits.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.check(); err != nil {
		return 0, err
	}
	if !f.writable {
		return 0, fs.ErrPermission
	}
	if err := f.disk.countOperation(); err != nil {
		return 0, err
	}
	accepted := f.disk.reserveSpace(len(data))
	f.node.content = append(f.node.content, data[:accepted]...)
	if accepted < len(data) {
		return accepted, &fs.PathError{Op: "write", Err: syscall.ENOSPC}
	}
	if f.disk.operationsLeft == 0 {
		return 0, ErrCrashed
	}
	return len(data), nil
}

// reserveSpace takes up to count bytes of the free space and returns how many it took.
func (m *Memory) reserveSpace(count int) int {
	if m.freeBytes == noLimit {
		return count
	}
	accepted := min(int64(count), m.freeBytes)
	m.freeBytes -= accepted
	return int(accepted)
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.check(); err != nil {
		return err
	}
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	f.node.synced = slices.Clone(f.node.content)
	return nil
}

// Close implements io.Closer.
func (f *memoryFile) Close() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.closed {
		return fs.ErrClosed
	}
	f.closed = true
	return nil
}
