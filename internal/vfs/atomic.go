package vfs

import (
	"io"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// TemporarySuffix is the suffix of the name of an incomplete file. Files with
// this suffix that are found at startup were left by a crash and hold no
// acknowledged data.
const TemporarySuffix = ".tmp"

// WriteFileAtomic replaces the content of the file at path with data: after a
// crash at any point the file has either all of the old or all of the new content. It
// returns once the new content is on stable storage.
func WriteFileAtomic(fileSystem FileSystem, path string, data []byte) error {
	temporary := path + TemporarySuffix
	if err := writeAndSync(fileSystem, temporary, data); err != nil {
		return err
	}
	if err := fileSystem.Rename(temporary, path); err != nil {
		return eris.Wrapf(err, "rename %s to %s", temporary, path)
	}
	if err := fileSystem.SyncDir(filepath.Dir(path)); err != nil {
		return eris.Wrapf(err, "sync directory %s", filepath.Dir(path))
	}
	return nil
}

func writeAndSync(fileSystem FileSystem, path string, data []byte) error {
	file, err := fileSystem.Create(path)
	if err != nil {
		return eris.Wrapf(err, "create %s", path)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	closeErr := file.Close()
	if err == nil {
		err = closeErr
	}
	return eris.Wrapf(err, "write %s", path)
}

// ReadFile returns the whole content of a file.
func ReadFile(fileSystem FileSystem, path string) ([]byte, error) {
	file, err := fileSystem.OpenRead(path)
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", path)
	}
	data, err := io.ReadAll(file)
	closeErr := file.Close()
	if err == nil {
		err = closeErr
	}
	return data, eris.Wrapf(err, "read %s", path)
}

// RemoveTemporary deletes the incomplete files that a crash left in a directory.
func RemoveTemporary(fileSystem FileSystem, directory string) error {
	names, err := fileSystem.ReadDir(directory)
	if err != nil {
		return eris.Wrapf(err, "list %s", directory)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, TemporarySuffix) {
			continue
		}
		path := filepath.Join(directory, name)
		if err := fileSystem.Remove(path); err != nil {
			return eris.Wrapf(err, "remove %s", path)
		}
	}
	return nil
}
