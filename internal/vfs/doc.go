// Package vfs is the file layer below the write-ahead log, the snapshots and
// the identity file. System is the operating system's file system. Memory is a
// model of a disk for tests and the simulator: it loses what was not synced,
// tears writes, flips bits, runs out of space and loses everything.
//
// Durability rules, for both: the content of a file is durable after
// File.Sync; its name, a rename and a removal are durable after SyncDir of the
// parent directory. Paths use the separator of path/filepath.
package vfs
