// Package snapshot stores snapshots of the replicated state machine. Each is
// one file, named by its log index, written atomically and checked by a
// checksum; the newest two are kept.
//
// A damaged snapshot is reported, and the newest intact one is loaded instead.
// That is safe, since the write-ahead log refuses to open after a snapshot that
// it does not reach back to. So the log may be released only up to the older of
// the two snapshots if a fallback shall succeed; see Store.Oldest.
package snapshot
