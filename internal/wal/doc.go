// Package wal is the write-ahead log of one replica: the hard state and the
// log entries that must be on stable storage before a message is sent.
//
// The log is a directory of segments, named by a rising sequence number and the
// first index that each may hold. A segment is a series of records:
//
//	length uint32 | crc32c of the payload uint32 | payload, msgpack
//
// with big-endian integers. The first record of a segment is its header, which
// repeats the hard state, the last index and the newest snapshot mark, so that
// earlier segments can be deleted and a missing one is found. A new segment is
// written under a temporary name, synced and renamed.
//
// One call of Save is one record, one write and one sync (several, each synced
// before the next, only when the entries exceed Options.RecordBytes). So at
// most the last record of the last segment can be torn. A record there is torn,
// and is cut, if it is incomplete or if a sector of it holds only zeros, which
// is how blocks that never reached the disk read. Every other bad record is
// damage, and Open refuses with a DamageError: an acknowledged entry is never
// dropped in silence.
//
// A write or sync that failed is not repeated, since the operating system may
// have dropped the data: the Log refuses all later calls. Open rewrites the
// last segment, so that what it returns is on stable storage.
package wal
