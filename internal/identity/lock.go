package identity

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	lockFileName              = "lock"
	lockFileMode  os.FileMode = 0o600
	directoryMode os.FileMode = 0o700
)

// ErrLocked is returned by Lock if another process, or another Lock of this
// process, holds the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// FolderLock is an exclusive lock held on a data folder. The operating system releases it
// when the process ends, however it ends.
type FolderLock struct {
	file *os.File
}

// Lock locks a data folder, which is created if missing, for this process. It does
// not wait: if the folder is already locked, the error satisfies
// errors.Is(err, ErrLocked).
func Lock(directory string) (*FolderLock, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, eris.Wrapf(err, "create %s", directory)
	}
	path := filepath.Join(directory, lockFileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, lockFileMode) //nolint:gosec // the path comes from the operator
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", path)
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return &FolderLock{file: file}, nil
	}
	_ = file.Close() // report the error of Flock instead
	if errors.Is(err, unix.EWOULDBLOCK) {
		err = ErrLocked
	}
	return nil, eris.Wrapf(err, "lock %s; remedy: end the other process or give this one its own folder", path)
}

// Close releases the lock.
func (l *FolderLock) Close() error {
	return eris.Wrap(l.file.Close(), "release the data folder")
}
