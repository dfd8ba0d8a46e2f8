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

// check says why the file cannot be used; the disk's mutex is held.
func (f *memoryFile) check() error {
	if f.closed {
		return fs.ErrClosed
	}
	if f.generation != f.disk.generation || f.disk.steps == 0 {
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

// Write implements io.Writer. A write that meets the crash point leaves its
// data unsynced, so that Crash may tear it; a write beyond the space budget
// leaves the part that fitted.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.check(); err != nil {
		return 0, err
	}
	if !f.writable {
		return 0, fs.ErrPermission
	}
	if err := f.disk.step(); err != nil {
		return 0, err
	}
	fitting := f.disk.take(len(data))
	f.node.content = append(f.node.content, data[:fitting]...)
	if fitting < len(data) {
		return fitting, &fs.PathError{Op: "write", Err: syscall.ENOSPC}
	}
	if f.disk.steps == 0 {
		return 0, ErrCrashed
	}
	return len(data), nil
}

// take uses up to count bytes of the space budget.
func (m *Memory) take(count int) int {
	if m.budget == noLimit {
		return count
	}
	fitting := min(int64(count), m.budget)
	m.budget -= fitting
	return int(fitting)
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.check(); err != nil {
		return err
	}
	if err := f.disk.step(); err != nil {
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
