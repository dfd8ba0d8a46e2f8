// Package wal implements the write-ahead log of one replica. It holds the hard
// state and the log entries that must be on stable storage before a message is
// sent.
//
// The log is a directory of segments, each named by an increasing sequence
// number and the log index that follows the log's end when the segment is
// created. A segment is a series of records:
//
//	length uint32 | crc32c of the payload uint32 | payload, msgpack
//
// with big-endian integers. The first record of a segment is its header, which
// repeats the hard state, the last index and the newest snapshot mark, so that
// earlier segments can be deleted and a missing one is detected. A new segment is
// written under a temporary name, synced and renamed.
//
// A call of Save appends one record with one write and one sync. Only if the
// entries exceed Options.RecordBytes does it append several, each synced before
// the next. So at most the last record of the last segment can be torn. That
// record counts as torn, and is truncated, if it is incomplete or if one of its
// sectors holds only zeros, since blocks that were never written to the disk
// read as zeros. Any other invalid record is damage, and Open returns a
// DamageError, so that an acknowledged entry is never dropped silently.
//
// A failed write or sync is not retried, since the operating system may have
// dropped the data; all later calls on the Log fail. Open rewrites the last
// segment, so that the state it returns is on stable storage.
package wal
