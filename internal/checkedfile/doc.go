// Package checkedfile stores one msgpack value in one file, written atomically
// and protected by a CRC-32C checksum, so that a reader gets either the whole value
// or an error that names the file.
package checkedfile
