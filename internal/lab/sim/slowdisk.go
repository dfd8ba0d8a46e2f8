package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/vfs"
)

// Syncs of a slow disk.
const (
	fastestSlowSync = 5 * time.Millisecond
	slowestSlowSync = 80 * time.Millisecond
	maxSlowSyncs    = 20
	// stallShare is the share of slow disks that stall once, for as long as a
	// pause may last.
	stallShare = 0.5
)

// slowDisk lets the next syncs of a controller take long, or one stall.
func (s *simulation) slowDisk() {
	target := s.likelyLeader()
	if s.chance(stallShare) {
		target.slowSyncs, target.syncTakes = 1, s.pauseTime()
		return
	}
	target.slowSyncs = 1 + s.random.IntN(maxSlowSyncs)
	target.syncTakes = s.between(fastestSlowSync, slowestSlowSync)
}

// synced holds the controller up after a sync of a slow disk: it sends what
// follows in this step, and takes its next input, once the sync has lasted.
func (c *controller) synced() {
	if c.slowSyncs == 0 {
		return
	}
	c.slowSyncs--
	c.sim.counts.SlowSyncs++
	c.pause(c.syncTakes)
}

// slowFiles is the file layer of a controller whose disk may be slow.
type slowFiles struct {
	vfs.FileSystem
	owner *controller
}

// Create implements vfs.FileSystem.
func (f slowFiles) Create(path string) (vfs.File, error) {
	return f.slow(f.FileSystem.Create(path))
}

// OpenAppend implements vfs.FileSystem.
func (f slowFiles) OpenAppend(path string) (vfs.File, error) {
	return f.slow(f.FileSystem.OpenAppend(path))
}

func (f slowFiles) slow(opened vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return slowFile{File: opened, owner: f.owner}, nil
}

type slowFile struct {
	vfs.File
	owner *controller
}

// Sync implements vfs.File.
func (f slowFile) Sync() error {
	err := f.File.Sync()
	f.owner.synced()
	return err
}
