package controller

import (
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
