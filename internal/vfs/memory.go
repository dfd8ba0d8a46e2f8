package vfs

import (
	"errors"
	"io/fs"
	"math/rand"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
)

// ErrCrashed is returned by every operation of a Memory after the crash point
// set by CrashAfter until Crash is called, and by files that were opened before
// a crash.
var ErrCrashed = errors.New("the in-memory disk crashed")

// noLimit disables the limit of free space or the crash point.
const noLimit = -1

// node is the content of one file: what the running process sees and what
// stable storage holds.
type node struct {
	content []byte
	synced  []byte
}

// Memory is an in-memory disk with fault injection. It is safe for concurrent
// use, and deterministic for a given order of calls. Directories are durable as
// soon as they are created.
type Memory struct {
	mutex       sync.Mutex
	random      *rand.Rand
	directories map[string]bool
	// independentNames is set if each unsynced name survives a crash or not on its own.
	independentNames bool

	names       map[string]*node
	syncedNames map[string]*node
	// generation is incremented at each crash or loss of the disk; files opened in
	// an earlier generation return ErrCrashed.
	generation int
	// freeBytes is how many bytes may still be written; noLimit for any number.
	freeBytes int64
	// operationsLeft is how many modifying operations may still succeed; noLimit
	// for any number.
	operationsLeft int
}

var _ FileSystem = (*Memory)(nil)

// NewMemory returns an empty disk. With a random source, Crash keeps a random
// part of what was not synced, as real disks may; with nil it drops all of it.
func NewMemory(random *rand.Rand) *Memory {
	return &Memory{
		random:         random,
		directories:    map[string]bool{},
		names:          map[string]*node{},
		syncedNames:    map[string]*node{},
		freeBytes:      noLimit,
		operationsLeft: noLimit,
	}
}

// countOperation counts one modifying operation towards the crash point.
func (m *Memory) countOperation() error {
	if m.operationsLeft == 0 {
		return ErrCrashed
	}
	if m.operationsLeft > 0 {
		m.operationsLeft--
	}
	return nil
}

// Create implements FileSystem.
func (m *Memory) Create(path string) (File, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	path = filepath.Clean(path)
	if !m.directories[filepath.Dir(path)] {
		return nil, notExist("create", path)
	}
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	found := m.names[path]
	if found == nil {
		found = &node{}
		m.names[path] = found
	}
	found.content = nil
	return &memoryFile{disk: m, node: found, generation: m.generation, writable: true}, nil
}

// OpenAppend implements FileSystem.
func (m *Memory) OpenAppend(path string) (File, error) {
	return m.open(path, true)
}

// OpenRead implements FileSystem.
func (m *Memory) OpenRead(path string) (File, error) {
	return m.open(path, false)
}

func (m *Memory) open(path string, writable bool) (File, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, err := m.find("open", path)
	if err != nil {
		return nil, err
	}
	return &memoryFile{disk: m, node: found, generation: m.generation, writable: writable}, nil
}

func (m *Memory) find(operation, path string) (*node, error) {
	if m.operationsLeft == 0 {
		return nil, ErrCrashed
	}
	found := m.names[filepath.Clean(path)]
	if found == nil {
		return nil, notExist(operation, path)
	}
	return found, nil
}

// Rename implements FileSystem.
func (m *Memory) Rename(from, to string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, err := m.find("rename", from)
	if err != nil {
		return err
	}
	if err := m.countOperation(); err != nil {
		return err
	}
	delete(m.names, filepath.Clean(from))
	m.names[filepath.Clean(to)] = found
	return nil
}

// Remove implements FileSystem.
func (m *Memory) Remove(path string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, err := m.find("remove", path); err != nil {
		return err
	}
	if err := m.countOperation(); err != nil {
		return err
	}
	delete(m.names, filepath.Clean(path))
	return nil
}

// MkdirAll implements FileSystem.
func (m *Memory) MkdirAll(path string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	path = filepath.Clean(path)
	for !m.directories[path] {
		m.directories[path] = true
		path = filepath.Dir(path)
	}
	return nil
}

// ReadDir implements FileSystem.
func (m *Memory) ReadDir(path string) ([]string, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.operationsLeft == 0 {
		return nil, ErrCrashed
	}
	path = filepath.Clean(path)
	if !m.directories[path] {
		return nil, notExist("readdir", path)
	}
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Size implements FileSystem.
func (m *Memory) Size(path string) (int64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, err := m.find("stat", path)
	if err != nil {
		return 0, err
	}
	return int64(len(found.content)), nil
}

// Truncate implements FileSystem.
func (m *Memory) Truncate(path string, size int64) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, err := m.find("truncate", path)
	if err != nil {
		return err
	}
	if size < 0 || size > int64(len(found.content)) {
		return &fs.PathError{Op: "truncate", Path: path, Err: syscall.EINVAL}
	}
	if err := m.countOperation(); err != nil {
		return err
	}
	found.content = slices.Clone(found.content[:size])
	return nil
}

// SyncDir implements FileSystem.
func (m *Memory) SyncDir(path string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	m.syncNames(filepath.Clean(path))
	return nil
}

// syncNames makes the names in one directory durable.
func (m *Memory) syncNames(directory string) {
	for name := range m.syncedNames {
		if filepath.Dir(name) == directory {
			delete(m.syncedNames, name)
		}
	}
	for name, found := range m.names {
		if filepath.Dir(name) == directory {
			m.syncedNames[name] = found
		}
	}
}

func notExist(operation, path string) error {
	return &fs.PathError{Op: operation, Path: path, Err: fs.ErrNotExist}
}
