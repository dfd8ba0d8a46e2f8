// Package durable is what one replica keeps on disk, and the order in which it
// is made and read: the log, then the identity, then snapshots. The controller
// process and the simulator use the same code, on different file layers.
package durable
