package snapshot

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/checkedfile"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

const (
	fileSuffix    = ".snapshot"
	keptSnapshots = 2

	remedy = "none is needed if the replica starts with the snapshot before it; otherwise restore the file, " +
		"or remove the data folder so that this controller joins the group again as a new replica"
)

// Store holds the snapshots of one replica. It is safe for concurrent use.
type Store struct {
	fileSystem vfs.FileSystem
	directory  string

	mutex   sync.Mutex
	damaged []*checkedfile.DamageError
	// indexes holds the log indexes of the intact snapshots in ascending order.
	indexes []uint64
}

// Open opens the store in a directory, which is created if missing. It removes
// temporary files left by a crash and reads every snapshot once to determine
// which are intact.
func Open(fileSystem vfs.FileSystem, directory string) (*Store, error) {
	if err := fileSystem.MkdirAll(directory); err != nil {
		return nil, eris.Wrapf(err, "create %s", directory)
	}
	if err := vfs.RemoveTemporary(fileSystem, directory); err != nil {
		return nil, err
	}
	store := &Store{fileSystem: fileSystem, directory: directory}
	if err := store.scan(); err != nil {
		return nil, err
	}
	return store, nil
}

// scan reads every snapshot file in the directory and records it as intact or damaged.
func (s *Store) scan() error {
	names, err := s.fileSystem.ReadDir(s.directory)
	if err != nil {
		return eris.Wrapf(err, "list %s", s.directory)
	}
	for _, name := range names {
		index, valid := parseName(name)
		if !valid {
			continue
		}
		_, err := s.read(index)
		var damage *checkedfile.DamageError
		switch {
		case err == nil:
			s.indexes = append(s.indexes, index)
		case errors.As(err, &damage):
			s.damaged = append(s.damaged, damage)
		default:
			return err
		}
	}
	return nil
}

func (s *Store) read(index uint64) (consensus.Snapshot, error) {
	path := s.path(index)
	found, err := checkedfile.Read[consensus.Snapshot](s.fileSystem, path, remedy)
	if err == nil && found.Metadata.Index != index {
		err = &checkedfile.DamageError{File: path, Reason: "it holds a snapshot of another index", Remedy: remedy}
	}
	return found, err
}

// LoadNewest returns the newest intact snapshot; false if there is none.
func (s *Store) LoadNewest() (consensus.Snapshot, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.indexes) == 0 {
		return consensus.Snapshot{}, false, nil
	}
	newest, err := s.read(s.indexes[len(s.indexes)-1])
	if err != nil {
		return consensus.Snapshot{}, false, eris.Wrap(err, "load the newest snapshot")
	}
	return newest, true, nil
}

// Damaged returns the damaged snapshots that Open found and that Save has not
// replaced or deleted since, for logging and for the operator.
func (s *Store) Damaged() []*checkedfile.DamageError {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.damaged)
}

// Oldest returns the index of the oldest intact snapshot that is kept; zero if
// there are fewer than two. The log can be compacted up to this index while
// a fallback to that snapshot remains possible.
func (s *Store) Oldest() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.indexes) < keptSnapshots {
		return 0
	}
	return s.indexes[0]
}

// Save writes a snapshot to stable storage, then deletes damaged snapshots and
// all intact ones but the newest two. A snapshot that is not newer than the
// newest intact one is ignored.
func (s *Store) Save(snapshot consensus.Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	index := snapshot.Metadata.Index
	if index == 0 {
		return eris.New("snapshot at index 0: a snapshot covers at least one entry")
	}
	if len(s.indexes) > 0 && index <= s.indexes[len(s.indexes)-1] {
		return nil
	}
	path := s.path(index)
	if err := checkedfile.Write(s.fileSystem, path, &snapshot); err != nil {
		return eris.Wrap(err, "save snapshot")
	}
	s.indexes = append(s.indexes, index)
	s.damaged = slices.DeleteFunc(s.damaged, func(old *checkedfile.DamageError) bool { return old.File == path })
	return s.prune()
}

// prune deletes superseded and damaged snapshots. It must run only after the new snapshot is durable.
func (s *Store) prune() error {
	for len(s.indexes) > keptSnapshots {
		if err := s.remove(s.path(s.indexes[0])); err != nil {
			return err
		}
		s.indexes = s.indexes[1:]
	}
	for len(s.damaged) > 0 {
		if err := s.remove(s.damaged[0].File); err != nil {
			return err
		}
		s.damaged = s.damaged[1:]
	}
	return eris.Wrapf(s.fileSystem.SyncDir(s.directory), "sync directory %s", s.directory)
}

func (s *Store) remove(path string) error {
	return eris.Wrapf(s.fileSystem.Remove(path), "remove snapshot %s", path)
}

func (s *Store) path(index uint64) string {
	return filepath.Join(s.directory, fileName(index))
}

func fileName(index uint64) string {
	return fmt.Sprintf("%016x%s", index, fileSuffix)
}

func parseName(name string) (uint64, bool) {
	var index uint64
	digits, found := strings.CutSuffix(name, fileSuffix)
	if !found {
		return 0, false
	}
	_, err := fmt.Sscanf(digits, "%016x", &index)
	return index, err == nil && fileName(index) == name
}
