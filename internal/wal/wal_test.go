package wal

import (
	"errors"
	"fmt"
	"math/rand"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

const (
	directory    = "/data/wal"
	gopterSeed   = 7
	stepsPerCase = 40
	casesPerRun  = 100
)

// model is the state that the log should recover.
type model struct {
	hardState consensus.HardState
	snapshot  snapshotPosition
	entries   []consensus.Entry // those after the snapshot
}

func (m *model) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// save returns the model after a Save.
func (m model) save(hardState consensus.HardState, entries []consensus.Entry) model {
	m.hardState = hardState
	if len(entries) > 0 {
		kept := m.entries[:entries[0].Index-m.snapshot.Index-1]
		m.entries = append(append([]consensus.Entry{}, kept...), entries...)
	}
	return m
}

// mark returns the model after a snapshot, taken locally or received from a leader.
func (m model) mark(position snapshotPosition) model {
	offset := position.Index - m.snapshot.Index
	if position.Index <= m.last() && m.entries[offset-1].Term == position.Term {
		m.entries = m.entries[offset:]
	} else {
		m.entries = nil
	}
	m.snapshot = position
	m.hardState.Commit = max(m.hardState.Commit, position.Index)
	return m
}

// matches reports whether the recovered state equals the model. Only the commit
// index may be lower.
func (m model) matches(got Recovered) bool {
	return got.HardState.Term == m.hardState.Term && got.HardState.Vote == m.hardState.Vote &&
		got.HardState.Commit <= m.hardState.Commit && len(got.Entries) == len(m.entries) &&
		(len(m.entries) == 0 || reflect.DeepEqual(got.Entries, m.entries))
}

func (m model) options() Options {
	return Options{SnapshotIndex: m.snapshot.Index, SnapshotTerm: m.snapshot.Term, SegmentBytes: 700}
}

// history drives a log through random saves, snapshots, crashes and restarts.
type history struct {
	random *rand.Rand
	disk   *vfs.Memory
	files  vfs.FileSystem
	log    *Log
	acked  model
	// attempted is the state after the last call if it took effect.
	attempted model
}

// step makes one random call, often with a crash during it.
func (h *history) step() error {
	if h.random.Intn(3) == 0 {
		h.disk.CrashAfter(h.random.Intn(6))
	}
	err := h.randomCall()
	if err != nil && !errors.Is(err, vfs.ErrCrashed) {
		return err
	}
	if err == nil {
		h.acked = h.attempted
	}
	if err == nil && h.random.Intn(2) == 0 {
		return nil // a pending crash point hits one of the next calls
	}
	if h.random.Intn(4) > 0 {
		h.disk.Crash()
	} else {
		h.disk.CrashAfter(-1) // only the process ends
	}
	return h.reopen()
}

func (h *history) randomCall() error {
	h.attempted = h.acked
	switch h.random.Intn(8) {
	case 0:
		position := snapshotPosition{Index: h.acked.hardState.Commit, Term: h.acked.hardState.Term}
		switch {
		case h.random.Intn(2) == 0: // from a leader, in conflict with the log or beyond its end
			position.Index += uint64(h.random.Intn(int(h.acked.last()-position.Index)+5)) + 1
			position.Term++
		case position.Index > h.acked.snapshot.Index: // taken locally
			position.Term = h.acked.entries[position.Index-h.acked.snapshot.Index-1].Term
		default:
			return nil
		}
		h.acked = h.acked.mark(position) // the snapshot is stored before it is marked
		h.attempted = h.acked
		return h.log.MarkSnapshot(position.Index, position.Term)
	case 1:
		return h.log.Release(h.acked.snapshot.Index)
	}
	hardState, entries := h.randomSave()
	h.attempted = h.acked.save(hardState, entries)
	return h.log.Save(&hardState, entries)
}

// randomSave returns a random hard state and entries that are valid for the log.
func (h *history) randomSave() (consensus.HardState, []consensus.Entry) {
	hardState := h.acked.hardState
	first := h.acked.last() + 1
	if hardState.Term == 0 || h.random.Intn(3) == 0 {
		hardState.Term++
		hardState.Vote = consensus.ReplicaID(h.random.Uint64())
		first -= uint64(h.random.Intn(int(h.acked.last()-hardState.Commit) + 1))
	}
	entries := make([]consensus.Entry, h.random.Intn(5))
	for position := range entries {
		data := make([]byte, h.random.Intn(300)+1)
		h.random.Read(data)
		entries[position] = consensus.Entry{Index: first + uint64(position), Term: hardState.Term, Data: data}
	}
	if h.random.Intn(2) == 0 {
		next := h.acked.save(hardState, entries)
		hardState.Commit += uint64(h.random.Intn(int(next.last()-hardState.Commit) + 1))
	}
	return hardState, entries
}

// reopen reopens the log and compares the recovered state with the acknowledged
// one and with that after the failed call, if any.
func (h *history) reopen() error {
	log, got, err := Open(h.files, directory, h.acked.options())
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	switch {
	case h.acked.matches(got):
	case h.attempted.matches(got):
		h.acked = h.attempted
	default:
		return fmt.Errorf("recovered %s; acknowledged %s, or, with the failed call, %s",
			describe(got.HardState, got.Entries), describe(h.acked.hardState, h.acked.entries),
			describe(h.attempted.hardState, h.attempted.entries))
	}
	h.acked.hardState.Commit = got.HardState.Commit
	h.log = log
	return nil
}

func describe(hardState consensus.HardState, entries []consensus.Entry) string {
	text := fmt.Sprintf("%+v", hardState)
	for _, entry := range entries {
		text += fmt.Sprintf(" %d@%d", entry.Index, entry.Term)
	}
	return text
}

// runHistory runs one seeded history and returns its first error or mismatch.
func runHistory(seed int64, wrap func(vfs.FileSystem) vfs.FileSystem) (*history, error) {
	random := rand.New(rand.NewSource(seed))
	disk := vfs.NewMemory(random)
	h := &history{random: random, disk: disk, files: wrap(disk)}
	if err := h.reopen(); err != nil {
		return h, err
	}
	for step := range stepsPerCase {
		if err := h.step(); err != nil {
			return h, fmt.Errorf("step %d: %w", step, err)
		}
	}
	h.disk.CrashAfter(-1)
	h.disk.Crash()
	return h, h.reopen()
}

func withoutFault(files vfs.FileSystem) vfs.FileSystem { return files }

// noSync injects a fault: Sync of its files does nothing.
type noSync struct{ vfs.FileSystem }

type noSyncFile struct{ vfs.File }

func (noSyncFile) Sync() error { return nil }

func (n noSync) Create(path string) (vfs.File, error) {
	file, err := n.FileSystem.Create(path)
	return noSyncFile{file}, err
}

func (n noSync) OpenAppend(path string) (vfs.File, error) {
	file, err := n.FileSystem.OpenAppend(path)
	return noSyncFile{file}, err
}

// noSyncDir injects a fault: directory entries are never made durable.
type noSyncDir struct{ vfs.FileSystem }

func (noSyncDir) SyncDir(string) error { return nil }

// propertyHolds reports whether every random history recovers the acknowledged state.
func propertyHolds(t *testing.T, wrap func(vfs.FileSystem) vfs.FileSystem) bool {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(gopterSeed)
	parameters.MinSuccessfulTests = casesPerRun
	parameters.MaxShrinkCount = 0
	var first error
	result := prop.ForAll(func(seed int64) bool {
		_, err := runHistory(seed, wrap)
		if err != nil && first == nil {
			first = fmt.Errorf("seed %d: %w", seed, err)
		}
		return err == nil
	}, gen.Int64()).Check(parameters)
	if first != nil {
		t.Log(first)
	}
	return result.Passed()
}

func TestAcknowledgedSurvivesCrashes(t *testing.T) {
	if !propertyHolds(t, withoutFault) {
		t.Error("an acknowledged save was not recovered exactly")
	}
}

// TestMissingSyncIsCaught verifies that the property test detects lost data if
// files or directories are not synced.
func TestMissingSyncIsCaught(t *testing.T) {
	if propertyHolds(t, func(files vfs.FileSystem) vfs.FileSystem { return noSync{files} }) {
		t.Error("the property holds without file syncs")
	}
	if propertyHolds(t, func(files vfs.FileSystem) vfs.FileSystem { return noSyncDir{files} }) {
		t.Error("the property holds without directory syncs")
	}
}

// TestFlippedBitRefuses verifies that Open returns a DamageError for the segment
// in which any one bit is flipped.
func TestFlippedBitRefuses(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(gopterSeed)
	parameters.MinSuccessfulTests = casesPerRun
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("open refuses", prop.ForAll(func(seed int64) string {
		h, err := runHistory(seed, withoutFault)
		if err != nil {
			return err.Error()
		}
		names, err := h.disk.ReadDir(directory)
		if err != nil {
			return err.Error()
		}
		path := filepath.Join(directory, names[h.random.Intn(len(names))])
		bit, err := h.disk.FlipRandomBit(path, h.random)
		if err != nil {
			return err.Error()
		}
		_, got, err := Open(h.files, directory, h.acked.options())
		var damage *DamageError
		if !errors.As(err, &damage) || damage.File != path || !strings.Contains(err.Error(), "remedy") {
			return fmt.Sprintf("bit %d of %s: error %v, recovered %s", bit, path, err,
				describe(got.HardState, got.Entries))
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}

func mustOpen(t *testing.T, disk vfs.FileSystem, options Options) *Log {
	t.Helper()
	log, _, err := Open(disk, directory, options)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

func entriesOf(first, last, term uint64) []consensus.Entry {
	var entries []consensus.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, consensus.Entry{Index: index, Term: term, Data: []byte{byte(index)}})
	}
	return entries
}

func TestFullDiskPoisonsTheLog(t *testing.T) {
	disk := vfs.NewMemory(rand.New(rand.NewSource(1)))
	log := mustOpen(t, disk, Options{RecordBytes: 50})
	if err := log.Save(&consensus.HardState{Term: 1}, entriesOf(1, 9, 1)); err != nil {
		t.Fatal(err)
	}
	disk.SetSpace(20)
	if err := log.Save(nil, entriesOf(10, 11, 1)); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("save on a full disk: %v", err)
	}
	disk.SetSpace(-1)
	if err := log.Save(nil, entriesOf(10, 11, 1)); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("save after a failed one: %v", err)
	}
	disk.Crash()
	_, got, err := Open(disk, directory, Options{MustExist: true})
	if err != nil || !reflect.DeepEqual(got.Entries, entriesOf(1, 9, 1)) {
		t.Errorf("recovered %+v, %v", got, err)
	}
}

func TestGapsAreRefused(t *testing.T) {
	disk := vfs.NewMemory(nil)
	log := mustOpen(t, disk, Options{SegmentBytes: 1})
	if err := log.Save(&consensus.HardState{Term: 1, Commit: 3}, entriesOf(1, 3, 1)); err != nil {
		t.Fatal(err)
	}
	for _, entries := range [][]consensus.Entry{entriesOf(5, 6, 1), append(entriesOf(4, 4, 1), entriesOf(6, 6, 1)...), entriesOf(3, 3, 2)} {
		if err := log.Save(nil, entries); err == nil {
			t.Errorf("entries from %d were taken", entries[0].Index)
		}
	}
	if err := errors.Join(log.Save(nil, entriesOf(4, 5, 1)), log.Save(nil, entriesOf(6, 6, 1))); err != nil {
		t.Fatal(err)
	}
	if err := log.Release(3); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(log.Close(), log.Close()); err != nil {
		t.Fatal(err)
	}
	var damage *DamageError
	for _, index := range []uint64{0, 2} { // the snapshot at 3 is lost
		if _, _, err := Open(disk, directory, Options{SnapshotIndex: index, SnapshotTerm: index / 2}); !errors.As(err, &damage) {
			t.Errorf("open after a snapshot at %d: %v", index, err)
		}
	}
	if _, got, err := Open(disk, directory, Options{SnapshotIndex: 3, SnapshotTerm: 1}); err != nil || len(got.Entries) != 3 {
		t.Errorf("open with the snapshot: %+v, %v", got, err)
	}
	names, err := disk.ReadDir(directory)
	if err != nil || len(names) < 2 {
		t.Fatal(names, err)
	}
	if err := disk.Remove(filepath.Join(directory, names[len(names)-2])); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(disk, directory, Options{SnapshotIndex: 3, SnapshotTerm: 1}); !errors.As(err, &damage) {
		t.Errorf("open with a missing segment: %v", err)
	}
	disk.LoseDisk()
	if _, _, err := Open(disk, directory, Options{MustExist: true}); !errors.As(err, &damage) {
		t.Errorf("open of a lost log: %v", err)
	}
}
