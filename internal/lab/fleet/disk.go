package fleet

import (
	"path/filepath"

	"github.com/thorntiller/thorntiller/internal/lab/slowdisk"
)

// diskOf returns the path of the file that steers a controller's disk.
func (f *Fleet) diskOf(controller *Node) string {
	return filepath.Join(f.settingsFolder(), controller.Name+".disk")
}

// SteerDisk slows a controller's disk down. The fleet must have slow disks.
func (f *Fleet) SteerDisk(controller *Node, delays slowdisk.Delays) error {
	return slowdisk.Steer(f.diskOf(controller), delays)
}

// DiskReport returns what a controller's disk has held up since the controller
// was started last.
func (f *Fleet) DiskReport(controller *Node) (slowdisk.Report, error) {
	return slowdisk.ReadReport(f.diskOf(controller))
}
