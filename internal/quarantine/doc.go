// Package quarantine stops requests that crash their servers from being sent to more servers.
//
// A gateway or router records the attempts that ended without an answer. Once it is proved that the
// instance has ended, it treats them as in flight at a crash (CrashDetector). The same request may be
// sent again under other identifiers and through other processes, so it is recognised by its fingerprint
// (Hasher). The leading controller counts the crashes of each request over all processes (Ledger). The list of
// suspects is part of the replicated directory, and each process uses it to decide what it sends (Guard).
//
// A suspect is in one of these states:
//
//   - suspected: it was in flight at a crash, and is sent as before.
//   - on probation: it was in flight at more crashes, or an operator released it from quarantine. All processes
//     together send it one attempt at a time, each a trial that the leader grants to one request that asks for it.
//   - in quarantine: an instance crashed during a trial. It is not sent, until an operator releases it.
//
// A trial that ends without an answer is lost. The leader grants no further one until it knows whether the instance
// crashed: by the proof of the process that lost it, or by what the leader hears of the instance (InstanceState).
//
// An answer of an instance ends the suspicion in each state.
//
// A request is doubtful if processes of an earlier version, which know no probation, reported its crashes and these
// may have another cause. It is in quarantine then, but is tried as well.
//
// The package does no I/O, reads no clock and is not safe for concurrent use, except for Hasher.
package quarantine
