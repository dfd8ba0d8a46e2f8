package controller

import (
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// scarceFiles is a file system that opens no files while no descriptor is left.
type scarceFiles struct {
	vfs.FileSystem
	exhausted atomic.Bool
}

// Create implements vfs.FileSystem.
func (f *scarceFiles) Create(path string) (vfs.File, error) {
	if f.exhausted.Load() {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.EMFILE}
	}
	return f.FileSystem.Create(path)
}

// TestWantOfDescriptorsIsWaitedOut: a controller that cannot open the file of a snapshot leaves the group without ending
// its process, and rejoins once descriptors are left.
func TestWantOfDescriptorsIsWaitedOut(t *testing.T) {
	files := make(map[string]*scarceFiles)
	g := newGroupOn(t, func(name string) vfs.FileSystem {
		files[name] = &scarceFiles{FileSystem: vfs.NewMemory(nil)}
		return files[name]
	})
	scarce := g.processes[g.leader()]
	files[scarce.settings.Name].exhausted.Store(true)
	for number := range 2 * snapshotEntries {
		g.create(serviceName(number))
	}
	g.eventually("the controller waits for a descriptor", func() bool {
		waits, _ := scarce.logged(telemetry.EventNoDescriptor)
		return waits > 0
	})
	select {
	case err := <-scarce.ended:
		t.Fatalf("the process ended: %v", err)
	default:
	}
	files[scarce.settings.Name].exhausted.Store(false)
	g.waitCaughtUp()
	g.wantServices(2 * snapshotEntries)
}
