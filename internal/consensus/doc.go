// Package consensus implements the replicated log: leader election with pre-vote
// and check-quorum, log replication, learners, single-server
// membership changes, leadership transfer and quorum-confirmed reads. It follows the Raft
// algorithm of Ongaro and Ousterhout.
//
// The core performs no I/O, reads no clock and starts no goroutine. Its driver
// calls Tick, Step, Propose and ReadIndex, takes a Ready, persists what Ready
// asks to persist (synced to stable storage) before it sends Ready.Messages,
// applies Ready.Committed, then calls Advance. The same core runs in the
// controller process and in the simulator.
package consensus
