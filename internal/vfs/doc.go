// Package vfs is the file system abstraction below the write-ahead log, the
// snapshots and the identity file. System is the operating system's file system.
// Memory is an in-memory disk for tests and the simulator that injects faults:
// loss of unsynced data, torn writes, flipped bits, a full disk and loss of the
// whole disk.
//
// The durability rules are the same for both: the content of a file is durable
// after File.Sync; its name, a rename and a removal are durable after SyncDir of
// the parent directory. Paths use the separator of path/filepath.
package vfs
