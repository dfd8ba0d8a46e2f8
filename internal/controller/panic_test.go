package controller

import (
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// panickingFiles is a file system that panics once at the creation of a file in a folder.
type panickingFiles struct {
	vfs.FileSystem
	// folder is the name of the folder; nil while nothing is planted.
	folder atomic.Pointer[string]
}

// Create implements vfs.FileSystem.
func (f *panickingFiles) Create(path string) (vfs.File, error) {
	if folder := f.folder.Load(); folder != nil && filepath.Base(filepath.Dir(path)) == *folder && f.folder.CompareAndSwap(folder, nil) {
		panic("planted panic")
	}
	return f.FileSystem.Create(path)
}

// newPanickingGroup returns a group with the files of its leader.
func newPanickingGroup(t *testing.T) (*group, *process, *panickingFiles) {
	t.Helper()
	files := make(map[string]*panickingFiles)
	g := newGroupOn(t, func(name string) vfs.FileSystem {
		files[name] = &panickingFiles{FileSystem: vfs.NewMemory(nil)}
		return files[name]
	})
	leader := g.processes[g.leader()]
	return g, leader, files[leader.settings.Name]
}

// TestPanicWhileASnapshotIsTakenIsTold guards against a controller that takes no snapshots after a panic, and tells of it
// only when it stops.
func TestPanicWhileASnapshotIsTakenIsTold(t *testing.T) {
	g, leader, files := newPanickingGroup(t)
	folder := "snapshots"
	files.folder.Store(&folder)
	taken, _ := leader.logged(telemetry.EventSnapshotTaken)
	for number := range 3 * snapshotEntries {
		g.create(serviceName(number))
	}
	g.eventually("the panic is logged", func() bool {
		told, _ := leader.logged(telemetry.EventPanicked)
		return told > 0
	})
	g.eventually("a later snapshot is taken", func() bool {
		now, _ := leader.logged(telemetry.EventSnapshotTaken)
		return now > taken
	})
	select {
	case err := <-leader.ended:
		t.Fatalf("the process ended: %v", err)
	default:
	}
}

// panickingLog is a file system that panics at a write to the log.
type panickingLog struct {
	vfs.FileSystem
	planted atomic.Bool
}

// OpenAppend implements vfs.FileSystem.
func (f *panickingLog) OpenAppend(path string) (vfs.File, error) {
	file, err := f.FileSystem.OpenAppend(path)
	return panickingFile{file, f}, err
}

type panickingFile struct {
	vfs.File
	files *panickingLog
}

// Write implements vfs.File.
func (f panickingFile) Write(data []byte) (int, error) {
	if f.files.planted.Load() {
		panic("planted panic")
	}
	return f.File.Write(data)
}

// TestPanicOfTheReplicaEndsTheProcess guards against a controller that lives on without its replica: what the panic left
// is unknown, so that only a restart from the disk helps.
func TestPanicOfTheReplicaEndsTheProcess(t *testing.T) {
	files := make(map[string]*panickingLog)
	g := newGroupOn(t, func(name string) vfs.FileSystem {
		files[name] = &panickingLog{FileSystem: vfs.NewMemory(nil)}
		return files[name]
	})
	number := g.leader()
	leader := g.processes[number]
	files[leader.settings.Name].planted.Store(true)
	g.create(serviceName(0))
	select {
	case err := <-leader.ended:
		if err == nil || !strings.Contains(err.Error(), "planted panic") {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the process lives on")
	}
	if told, _ := leader.logged(telemetry.EventPanicked); told == 0 {
		t.Error("the panic is not logged")
	}
	files[leader.settings.Name].planted.Store(false)
	g.start(number)
	g.waitCaughtUp()
	g.wantServices(1)
}
