package checkedfile

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thorntiller/thorntiller/internal/vfs"
)

// File format: magic | payload length (uint64) | CRC-32C of the payload (uint32) |
// payload. Integers are big-endian.
const (
	magic       = "thorntiller/1\n"
	lengthBytes = 8
	headerBytes = len(magic) + lengthBytes + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError reports that the content of a file is not what was written to it.
type DamageError struct {
	// File is the file's path.
	File string
	// Reason describes the damage.
	Reason string
	// Remedy tells the operator what to do.
	Remedy string
}

// Error implements the error interface.
func (e *DamageError) Error() string {
	return fmt.Sprintf("file %s is damaged: %s; remedy: %s", e.File, e.Reason, e.Remedy)
}

// Write atomically replaces the content of the file at path with value, and returns
// once it is on stable storage.
func Write[T any](fileSystem vfs.FileSystem, path string, value *T) error {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headerBytes))
	if err := msgpack.NewEncoder(&buffer).Encode(value); err != nil {
		return eris.Wrapf(err, "encode %s", path)
	}
	data := buffer.Bytes()
	payload := data[headerBytes:]
	copy(data, magic)
	binary.BigEndian.PutUint64(data[len(magic):], uint64(len(payload)))
	binary.BigEndian.PutUint32(data[len(magic)+lengthBytes:], crc32.Checksum(payload, castagnoli))
	return vfs.WriteFileAtomic(fileSystem, path, data)
}

// Read returns the value stored in the file at path. It returns a DamageError with the
// given remedy if the file is damaged, and an error that satisfies
// errors.Is(err, fs.ErrNotExist) if there is no file.
func Read[T any](fileSystem vfs.FileSystem, path, remedy string) (T, error) {
	var value T
	data, err := vfs.ReadFile(fileSystem, path)
	if err != nil {
		return value, err
	}
	if reason := describeDamage(data); reason != "" {
		return value, &DamageError{File: path, Reason: reason, Remedy: remedy}
	}
	if err := msgpack.Unmarshal(data[headerBytes:], &value); err != nil {
		var zero T
		return zero, &DamageError{File: path, Reason: "content cannot be decoded: " + err.Error(), Remedy: remedy}
	}
	return value, nil
}

// describeDamage returns a description of the damage in a file's content, or "" if it is intact.
func describeDamage(data []byte) string {
	if len(data) < headerBytes {
		return fmt.Sprintf("it is %d bytes long, less than its header of %d", len(data), headerBytes)
	}
	if string(data[:len(magic)]) != magic {
		return "it does not begin with this program's mark and format version"
	}
	payload := data[headerBytes:]
	if length := binary.BigEndian.Uint64(data[len(magic):]); length != uint64(len(payload)) {
		return fmt.Sprintf("it holds %d bytes of content instead of %d", len(payload), length)
	}
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[len(magic)+lengthBytes:]) {
		return "its checksum does not match"
	}
	return ""
}
