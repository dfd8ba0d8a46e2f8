package controller

import (
	"path/filepath"
	"testing"

	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestFullDiskIsWaitedOut: a controller whose disk accepts no more bytes leaves the group without ending its
// process, and rejoins once there is free space.
func TestFullDiskIsWaitedOut(t *testing.T) {
	disks := make(map[string]*vfs.Memory)
	g := newGroupOn(t, func(name string) vfs.FileSystem {
		disks[name] = vfs.NewMemory(nil)
		return disks[name]
	})
	g.create(serviceName(0))
	full := g.leader()
	p := g.processes[full]
	disks[p.settings.Name].SetSpace(0)
	g.create(serviceName(1))
	g.eventually("the controller waits for free space", func() bool {
		waits, _ := p.logged(telemetry.EventDiskFull)
		return waits > 0
	})
	select {
	case err := <-p.ended:
		t.Fatalf("the process ended: %v", err)
	default:
	}
	const room = 1 << 30
	disks[p.settings.Name].SetSpace(room)
	g.waitCaughtUp()
	g.wantServices(2)
}

// TestFullDiskAtTheStartIsWaitedOut guards against a controller that starts on a full disk and then waits for an address
// which it holds itself, or ends.
func TestFullDiskAtTheStartIsWaitedOut(t *testing.T) {
	disks := make(map[string]*vfs.Memory)
	g := newGroupOn(t, func(name string) vfs.FileSystem {
		disks[name] = vfs.NewMemory(nil)
		return disks[name]
	})
	g.create(serviceName(0))
	starting := g.processes[0]
	g.stop(0)
	disks[starting.settings.Name].SetSpace(0)
	g.start(0)
	g.eventually("the controller waits for free space", func() bool {
		waits, _ := starting.logged(telemetry.EventDiskFull)
		return waits > 0
	})
	const room = 1 << 30
	disks[starting.settings.Name].SetSpace(room)
	g.waitCaughtUp()
	g.wantServices(1)
	if waits, _ := starting.logged(telemetry.EventListenWaiting); waits > 0 {
		t.Errorf("the controller waited %d times for an address that it holds itself", waits)
	}
	select {
	case err := <-starting.ended:
		t.Fatalf("the process ended: %v", err)
	default:
	}
}

// fullAtFirst is a full disk that takes bytes once the controller probes it for free space.
type fullAtFirst struct{ *vfs.Memory }

// Create implements vfs.FileSystem.
func (f fullAtFirst) Create(path string) (vfs.File, error) {
	if filepath.Base(path) == spaceProbeFile {
		f.SetSpace(-1)
	}
	return f.Memory.Create(path)
}

// TestFullDiskAtTheFirstStartIsWaitedOut: the group forms once the last disk takes bytes.
func TestFullDiskAtTheFirstStartIsWaitedOut(t *testing.T) {
	g := newGroupOn(t, func(name string) vfs.FileSystem {
		disk := vfs.NewMemory(nil)
		if name == "c0" {
			disk.SetSpace(0)
		}
		return fullAtFirst{disk}
	})
	if waits, _ := g.processes[0].logged(telemetry.EventDiskFull); waits == 0 {
		t.Error("the disk was not full")
	}
	g.create(serviceName(0))
	g.waitCaughtUp()
	g.wantServices(1)
}
