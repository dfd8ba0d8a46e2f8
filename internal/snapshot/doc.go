// Package snapshot stores snapshots of the replicated state machine. Each is
// one file, named by its log index, written atomically and checked by a
// checksum; the newest two are kept.
//
// A damaged snapshot is reported, and the newest intact one is loaded instead.
// This fallback is safe because the write-ahead log fails to open if entries
// are missing between the loaded snapshot and the start of the log. For the
// fallback to succeed, the log may be compacted only up to the older of the two
// snapshots; see Store.Oldest.
package snapshot
