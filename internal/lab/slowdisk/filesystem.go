package slowdisk

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/vfs"
)

// look is how often a stalled operation looks whether the stall has ended.
const look = 2 * time.Millisecond

// FileSystem is a slow disk. Several goroutines may use it.
type FileSystem struct {
	vfs.FileSystem
	steering string
	mutex    sync.Mutex
	report   Report
}

var _ vfs.FileSystem = (*FileSystem)(nil)

// New returns a slow disk over another file layer. The steering file need not
// exist yet; without it nothing is held up.
func New(files vfs.FileSystem, steering string) *FileSystem {
	return &FileSystem{FileSystem: files, steering: steering}
}

// Create implements vfs.FileSystem.
func (f *FileSystem) Create(path string) (vfs.File, error) {
	return f.slow(f.FileSystem.Create(path))
}

// OpenAppend implements vfs.FileSystem.
func (f *FileSystem) OpenAppend(path string) (vfs.File, error) {
	return f.slow(f.FileSystem.OpenAppend(path))
}

// SyncDir implements vfs.FileSystem.
func (f *FileSystem) SyncDir(path string) error {
	if err := f.holdSync(); err != nil {
		return err
	}
	return f.FileSystem.SyncDir(path)
}

func (f *FileSystem) slow(opened vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{File: opened, disk: f}, nil
}

// file is an open file of a slow disk.
type file struct {
	vfs.File
	disk *FileSystem
}

// Sync implements vfs.File.
func (f *file) Sync() error {
	if err := f.disk.holdSync(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Write implements vfs.File.
func (f *file) Write(content []byte) (int, error) {
	if err := f.disk.holdWrite(); err != nil {
		return 0, err
	}
	return f.File.Write(content)
}

func (f *FileSystem) holdWrite() error {
	delays, err := f.delays()
	if err != nil || delays.Write == 0 {
		return err
	}
	time.Sleep(delays.Write)
	return f.held(delays.Write)
}

func (f *FileSystem) holdSync() error {
	began := time.Now()
	delays, err := f.delays()
	if err != nil || (delays.Sync == 0 && !delays.Stalled) {
		return err
	}
	time.Sleep(delays.Sync)
	for delays.Stalled {
		time.Sleep(look)
		if delays, err = f.delays(); err != nil {
			return err
		}
	}
	return f.held(time.Since(began))
}

func (f *FileSystem) delays() (Delays, error) {
	var delays Delays
	err := read(f.steering, &delays)
	return delays, eris.Wrap(err, "read the steering file of a slow disk")
}

func (f *FileSystem) held(lasting time.Duration) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.report.Operations++
	f.report.Longest = max(f.report.Longest, lasting)
	return eris.Wrap(replace(f.steering+reportSuffix, f.report), "report a slow disk")
}
