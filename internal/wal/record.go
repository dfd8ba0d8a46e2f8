package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thorntiller/thorntiller/internal/consensus"
)

const (
	frameHeaderBytes = 8
	// recordLimitBytes is the maximum payload length of a record.
	recordLimitBytes = 256 << 20
	// sectorBytes is the unit that a disk writes atomically.
	sectorBytes = 512
	// formatVersion is written to each segment header.
	formatVersion = 1

	recordMagic = "TWAL"
	// payloadPrefix starts each payload: a msgpack array of six values, of
	// which the first is recordMagic.
	payloadPrefix = "\x96\xa4" + recordMagic
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotPosition is the index and term of the last entry that a snapshot covers.
type snapshotPosition struct {
	Index uint64
	Term  uint64
}

// snapshotMark records that a snapshot is on stable storage and whether it
// replaces the log. Replaces is stored, since the entries that determined it may
// be in a segment that has been deleted.
type snapshotMark struct {
	Snapshot snapshotPosition
	Replaces bool
}

// segmentHeader is the log's state at the start of a segment.
type segmentHeader struct {
	Version   int
	Sequence  uint64
	HardState consensus.HardState
	// Last is the last index of the log when the segment was created.
	Last uint64
	Mark snapshotPosition
}

// record is one payload, encoded as an array. Nil fields are absent.
type record struct {
	Magic     string
	Header    *segmentHeader
	HardState *consensus.HardState
	Mark      *snapshotMark
	Entries   []consensus.Entry
	// End is always true, so that the last byte of a record is never zero.
	End bool
}

// encodeRecord returns the record with its frame header.
func encodeRecord(value record) ([]byte, error) {
	value.Magic = recordMagic
	value.End = true
	var buffer bytes.Buffer
	buffer.Write(make([]byte, frameHeaderBytes))
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&value); err != nil {
		return nil, eris.Wrap(err, "encode log record")
	}
	frame := buffer.Bytes()
	payload := frame[frameHeaderBytes:]
	if len(payload) > recordLimitBytes {
		return nil, eris.Errorf("log record of %d bytes exceeds the limit of %d", len(payload), recordLimitBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	return frame, nil
}

// decodeRecord reads the record at an offset and returns the offset after it.
// The reason is empty if the record is valid.
func decodeRecord(data []byte, offset int) (value record, next int, reason string) {
	payload, checksum, reason := framePayload(data, offset)
	if reason != "" {
		return record{}, 0, reason
	}
	if crc32.Checksum(payload, castagnoli) != checksum {
		return record{}, 0, "checksum does not match"
	}
	if err := msgpack.Unmarshal(payload, &value); err != nil {
		return record{}, 0, "payload cannot be decoded: " + err.Error()
	}
	if value.Magic != recordMagic {
		return record{}, 0, "payload is no log record"
	}
	return value, offset + frameHeaderBytes + len(payload), ""
}

func framePayload(data []byte, offset int) (payload []byte, checksum uint32, reason string) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes {
		return nil, 0, "record is incomplete"
	}
	length := binary.BigEndian.Uint32(rest)
	checksum = binary.BigEndian.Uint32(rest[4:])
	rest = rest[frameHeaderBytes:]
	switch {
	case length == 0:
		return nil, 0, "record has no payload"
	case length > recordLimitBytes:
		return nil, 0, "record length exceeds the limit"
	case int(length) > len(rest):
		return nil, 0, "record is incomplete"
	}
	return rest[:length], checksum, ""
}

// isTorn reports whether the invalid record at an offset of the last segment was
// left by a crash during its write, rather than damaged later.
func isTorn(data []byte, offset int) bool {
	if hasValidRecord(data, offset+1) {
		return false
	}
	rest := data[offset:]
	if len(rest) < frameHeaderBytes {
		return true
	}
	length := binary.BigEndian.Uint32(rest)
	if length > recordLimitBytes {
		return false
	}
	end := offset + frameHeaderBytes + int(length)
	if end > len(data) || (end < len(data) && startsWithAmbiguousSector(data, offset)) {
		return !onlyLengthDamaged(rest)
	}
	return hasZeroSector(data, offset, end)
}

// onlyLengthDamaged reports whether the rest of the segment is one payload that
// matches its checksum, although its frame has another length.
func onlyLengthDamaged(rest []byte) bool {
	checksum := binary.BigEndian.Uint32(rest[4:])
	payload := rest[frameHeaderBytes:]
	return len(payload) > 0 && crc32.Checksum(payload, castagnoli) == checksum
}

// hasValidRecord reports whether a valid record starts at or after an offset.
func hasValidRecord(data []byte, offset int) bool {
	for start := offset + frameHeaderBytes; start < len(data); start++ {
		found := bytes.Index(data[start:], []byte(payloadPrefix))
		if found < 0 {
			return false
		}
		start += found
		if _, _, reason := decodeRecord(data, start-frameHeaderBytes); reason == "" {
			return true
		}
	}
	return false
}

// lengthHighBytes is how many bytes at the start of a valid record may all be
// zero: the high bytes of its length.
const lengthHighBytes = 3

// startsWithAmbiguousSector reports whether the first sector of a record holds
// only high bytes of its length, all zero. These are zero in most records, so
// they do not show whether the sector was written.
func startsWithAmbiguousSector(data []byte, offset int) bool {
	next := offset + sectorBytes - offset%sectorBytes
	return next <= offset+lengthHighBytes && len(bytes.Trim(data[offset:next], "\x00")) == 0
}

// hasZeroSector reports whether the part of the record in one of its sectors
// holds only zeros. An ambiguous first sector is skipped.
func hasZeroSector(data []byte, offset, end int) bool {
	if startsWithAmbiguousSector(data, offset) {
		offset += sectorBytes - offset%sectorBytes
	}
	for offset < end {
		next := min(end, offset+sectorBytes-offset%sectorBytes)
		if len(bytes.Trim(data[offset:next], "\x00")) == 0 {
			return true
		}
		offset = next
	}
	return false
}
