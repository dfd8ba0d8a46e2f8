package vfs

import "io"

// File is an open file. Reads start at the beginning; writes go to the end.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync returns once the content is on stable storage. After an error the
	// content is undefined; the caller must not retry Sync on this file.
	Sync() error
}

// FileSystem is the set of file operations that this project's storage uses.
// Errors satisfy errors.Is with io/fs errors (fs.ErrNotExist) and with
// syscall.ENOSPC where they apply.
type FileSystem interface {
	// Create opens a file for writing. An existing file is truncated to zero length.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(path string) (File, error)
	// OpenRead opens an existing file for reading.
	OpenRead(path string) (File, error)
	// Rename moves a file and replaces the target if it exists.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// MkdirAll creates a directory and its parents. The new directories are
	// durable on return.
	MkdirAll(path string) error
	// ReadDir returns the names of the files in a directory, sorted.
	ReadDir(path string) ([]string, error)
	// Size returns a file's length in bytes.
	Size(path string) (int64, error)
	// Truncate shortens a file to size bytes. It is durable after Sync of the file.
	Truncate(path string, size int64) error
	// SyncDir makes the creation, renaming and removal of files in a directory
	// durable.
	SyncDir(path string) error
}
