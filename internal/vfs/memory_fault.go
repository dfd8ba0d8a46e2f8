package vfs

import (
	"bytes"
	"io/fs"
	"maps"
	"math/rand"
	"path/filepath"
	"slices"
	"syscall"
)

// sectorBytes is the unit that a disk writes whole or not at all.
const sectorBytes = 512

// Crash models a power failure: open files die, and what was not synced is
// lost. With a random source each directory's unsynced names survive or not,
// and a random part of each file's unsynced end survives, some of its sectors
// as zeros. The crash point is cleared; the space budget stays.
func (m *Memory) Crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.generation++
	m.steps = noLimit
	if m.random != nil {
		m.keepSomeNames()
	}
	m.names = maps.Clone(m.synced)
	for _, path := range slices.Sorted(maps.Keys(m.names)) {
		m.crashNode(m.names[path])
	}
}

// keepSomeNames lets the unsynced names of some directories survive.
func (m *Memory) keepSomeNames() {
	for _, directory := range slices.Sorted(maps.Keys(m.directories)) {
		if m.random.Intn(2) == 0 {
			m.keepNames(directory)
		}
	}
}

// crashNode leaves in a file what stable storage holds.
func (m *Memory) crashNode(file *node) {
	survived := slices.Clone(file.synced)
	if m.random != nil && bytes.HasPrefix(file.content, file.synced) {
		survived = append(survived, m.tear(len(survived), file.content[len(survived):])...)
	}
	file.content = survived
	file.synced = slices.Clone(survived)
}

// tear returns what a crash leaves of unsynced bytes at a file offset.
func (m *Memory) tear(offset int, unsynced []byte) []byte {
	if len(unsynced) == 0 {
		return nil
	}
	torn := slices.Clone(unsynced[:m.random.Intn(len(unsynced)+1)])
	if m.random.Intn(2) == 0 {
		return torn
	}
	for start := 0; start < len(torn); {
		end := min(len(torn), start+sectorBytes-(offset+start)%sectorBytes)
		if m.random.Intn(2) == 0 {
			clear(torn[start:end])
		}
		start = end
	}
	return torn
}

// CrashAfter lets the given number of changing operations succeed, except that
// the last of them, if a write, reports failure with its data in doubt. After
// it every operation fails with ErrCrashed until Crash.
func (m *Memory) CrashAfter(operations int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.steps = operations
}

// SetSpace lets the given number of bytes be written before writes fail with
// ENOSPC. A negative number takes the limit away.
func (m *Memory) SetSpace(limit int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget = max(limit, noLimit)
}

// FlipBit inverts one bit of a file on stable storage. The bit counts from the
// start of the file.
func (m *Memory) FlipBit(path string, bit int64) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, err := m.find("flip", path)
	if err != nil {
		return err
	}
	position := bit / 8
	if bit < 0 || position >= int64(len(found.content)) {
		return &fs.PathError{Op: "flip", Path: path, Err: syscall.EINVAL}
	}
	found.content = slices.Clone(found.content)
	found.content[position] ^= 1 << (bit % 8)
	if position < int64(len(found.synced)) {
		found.synced = slices.Clone(found.synced)
		found.synced[position] ^= 1 << (bit % 8)
	}
	return nil
}

// FlipRandomBit inverts one bit of a file, drawn from random, and returns it.
func (m *Memory) FlipRandomBit(path string, random *rand.Rand) (int64, error) {
	size, err := m.Size(path)
	if err != nil {
		return 0, err
	}
	if size == 0 {
		return 0, &fs.PathError{Op: "flip", Path: filepath.Clean(path), Err: syscall.EINVAL}
	}
	bit := random.Int63n(size * 8)
	return bit, m.FlipBit(path, bit)
}

// LoseDisk models a replaced disk: nothing is left and open files die.
func (m *Memory) LoseDisk() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.generation++
	m.steps = noLimit
	m.directories = map[string]bool{}
	m.names = map[string]*node{}
	m.synced = map[string]*node{}
}
