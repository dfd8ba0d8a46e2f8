package controller

import (
	"context"
	"path/filepath"
	"time"

	"github.com/thorntiller/thorntiller/internal/vfs"
)

const (
	// spaceCheckInterval is the interval at which a full disk is checked for free space.
	spaceCheckInterval = 250 * time.Millisecond
	// requiredSpaceBytes is the free space that the disk must have.
	requiredSpaceBytes = 64 << 10
	spaceProbeFile     = "room"
)

// awaitDiskSpace waits until a probe file of requiredSpaceBytes can be written. It reports false if the
// context ends first.
func awaitDiskSpace(ctx context.Context, files vfs.FileSystem, folder string) bool {
	ticker := time.NewTicker(spaceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if hasDiskSpace(files, filepath.Join(folder, spaceProbeFile)) {
			return true
		}
	}
}

func hasDiskSpace(files vfs.FileSystem, path string) bool {
	if files.MkdirAll(filepath.Dir(path)) != nil {
		return false
	}
	file, err := files.Create(path)
	if err != nil {
		return false
	}
	_, writeError := file.Write(make([]byte, requiredSpaceBytes))
	closeError := file.Close()
	removeError := files.Remove(path)
	return writeError == nil && closeError == nil && removeError == nil
}
