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

// sectorBytes is the unit that a disk writes atomically.
const sectorBytes = 512

// Crash simulates a power failure: open files become unusable, and unsynced
// changes are lost. With a random source, the unsynced names of each directory
// survive or not, and of the unsynced data at the end of each file a prefix of
// random length survives, in which some sectors may read as zeros. The crash
// point is cleared; the limit of free space stays.
func (m *Memory) Crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.generation++
	m.operationsLeft = noLimit
	if m.random != nil {
		m.syncRandomNames()
	}
	m.names = maps.Clone(m.syncedNames)
	for _, path := range slices.Sorted(maps.Keys(m.names)) {
		m.crashNode(m.names[path])
	}
}

// SetIndependentNames makes each name that was created, renamed or removed without a sync of its directory survive a
// crash or not on its own, rather than all names of a directory together. It needs a random source.
func (m *Memory) SetIndependentNames() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.independentNames = true
}

// syncEachName makes a random part of all changed names durable.
func (m *Memory) syncEachName() {
	paths := maps.Clone(m.names)
	maps.Copy(paths, m.syncedNames)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if m.names[path] == m.syncedNames[path] || m.random.Intn(2) == 0 {
			continue
		}
		if found, exists := m.names[path]; exists {
			m.syncedNames[path] = found
		} else {
			delete(m.syncedNames, path)
		}
	}
}

// syncRandomNames makes the names in a random part of the directories durable.
func (m *Memory) syncRandomNames() {
	if m.independentNames {
		m.syncEachName()
		return
	}
	for _, directory := range slices.Sorted(maps.Keys(m.directories)) {
		if m.random.Intn(2) == 0 {
			m.syncNames(directory)
		}
	}
}

// crashNode reduces a file to the content that survives a crash.
func (m *Memory) crashNode(file *node) {
	survived := slices.Clone(file.synced)
	if m.random != nil && bytes.HasPrefix(file.content, file.synced) {
		survived = append(survived, m.tornBytes(len(survived), file.content[len(survived):])...)
	}
	file.content = survived
	file.synced = slices.Clone(survived)
}

// tornBytes returns what survives a crash of the unsynced bytes at a file offset.
func (m *Memory) tornBytes(offset int, unsynced []byte) []byte {
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

// CrashAfter sets the crash point: the given number of modifying operations
// succeed, except that the last of them, if it is a write, returns ErrCrashed and
// its data may survive in part. From then on every operation fails with
// ErrCrashed until Crash is called. A negative number clears the crash point.
func (m *Memory) CrashAfter(operations int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.operationsLeft = operations
}

// SetSpace lets the given number of bytes be written before writes fail with
// ENOSPC. A negative number removes the limit.
func (m *Memory) SetSpace(limit int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.freeBytes = max(limit, noLimit)
}

// FlipBit inverts one bit of a file, also on stable storage. Bits are counted from
// the start of the file.
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

// LoseDisk simulates the replacement of the disk: all files and directories are
// gone, and open files become unusable.
func (m *Memory) LoseDisk() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.generation++
	m.operationsLeft = noLimit
	m.directories = map[string]bool{}
	m.names = map[string]*node{}
	m.syncedNames = map[string]*node{}
}
