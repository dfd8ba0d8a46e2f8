package controller

import (
	"context"
	"path/filepath"
	"time"

	"github.com/thorntiller/thorntiller/internal/vfs"
)

const (
	// roomInterval is the time between two looks whether a full disk has room.
	roomInterval = 250 * time.Millisecond
	// roomBytes is the room that must be there.
	roomBytes = 64 << 10
	roomFile  = "room"
)

// awaitRoom waits until a file of some size can be written, and reports false if the
// context ends before.
func awaitRoom(ctx context.Context, files vfs.FileSystem, folder string) bool {
	ticker := time.NewTicker(roomInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if hasRoom(files, filepath.Join(folder, roomFile)) {
			return true
		}
	}
}

func hasRoom(files vfs.FileSystem, path string) bool {
	if files.MkdirAll(filepath.Dir(path)) != nil {
		return false
	}
	file, err := files.Create(path)
	if err != nil {
		return false
	}
	_, writeError := file.Write(make([]byte, roomBytes))
	closeError := file.Close()
	removeError := files.Remove(path)
	return writeError == nil && closeError == nil && removeError == nil
}
