// Package driver runs one replica: it connects the consensus core, the ownership
// coordinator and the durable storage, and processes one input at a time. The
// controller process calls it from its event loop, the simulator from its virtual
// clock; Host abstracts the differences. The driver starts no goroutine, opens no
// socket and reads no clock; its only files are those of the durable storage.
//
// HandleReady carries out what the core asks for, always in this order: restore
// a snapshot, save term, vote and entries, send messages, apply committed
// entries in log order, advance the core, confirm reads. Two invariants depend
// on this order. Nothing is sent or acknowledged before it is on stable
// storage: losing a vote or an acknowledged entry in a crash may lead to two
// leaders in one term or to the loss of a committed entry. And the state machine
// gets a snapshot before the entries that follow it, and each entry once, in
// order: otherwise the states of the replicas would diverge.
package driver
