// Package driver drives one replica: the consensus core, the ownership
// coordinator and the durable storage, by one input at a time. The controller
// process calls it from its loop, the simulator from its virtual clock; what
// differs between the two stands behind Host. It starts no goroutine and has no
// socket and no clock; its files are those of the durable storage.
//
// HandleReady carries out what the core asks for, always in this order: restore
// a snapshot, save term, vote and entries, send messages, apply committed
// entries in the order of the log, advance the core, confirm reads. Two
// invariants rest on it. Nothing is sent or acknowledged before it is on stable
// storage: a vote or an acknowledged entry that a crash takes back may give one
// term two leaders or lose a committed entry. And the state machine sees a
// snapshot before the entries that follow it, and each entry once, in order:
// replicas hold the same state only then.
package driver
