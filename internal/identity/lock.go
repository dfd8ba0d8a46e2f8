package identity

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	lockFileName                    = "lock"
	lockPermissions     os.FileMode = 0o600
	directoryPermission os.FileMode = 0o700
)

// ErrLocked is returned by Lock if another process, or another Lock of this
// process, holds the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// FolderLock is a held lock on a data folder. The operating system releases it
// when the process ends, in whatever way.
type FolderLock struct {
	file *os.File
}

// Lock takes a data folder, which is created if missing, for this process. It
// does not wait: a taken folder gives an error that satisfies
// errors.Is(err, ErrLocked).
func Lock(directory string) (*FolderLock, error) {
	if err := os.MkdirAll(directory, directoryPermission); err != nil {
		return nil, eris.Wrapf(err, "create %s", directory)
	}
	path := filepath.Join(directory, lockFileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, lockPermissions) //nolint:gosec // the operator names the folder
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", path)
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return &FolderLock{file: file}, nil
	}
	_ = file.Close() // the lock's error is the one to report
	if errors.Is(err, unix.EWOULDBLOCK) {
		err = ErrLocked
	}
	return nil, eris.Wrapf(err, "lock %s; remedy: end the other process or give this one its own folder", path)
}

// Close releases the folder.
func (l *FolderLock) Close() error {
	return eris.Wrap(l.file.Close(), "release the data folder")
}
