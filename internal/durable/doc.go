// Package durable manages what one replica keeps on disk, and the order in which it
// is created and read: the log, then the identity, then snapshots. The controller
// process and the simulator run the same code on different file system implementations.
package durable
