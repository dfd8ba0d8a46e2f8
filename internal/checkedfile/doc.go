// Package checkedfile stores one msgpack value in one file, written atomically
// and guarded by a CRC-32C checksum, so that a reader gets the whole value or
// an error that names the file.
package checkedfile
