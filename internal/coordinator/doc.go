// Package coordinator decides, on the leading controller, which servers get
// leases, which sessions end, which shards are revoked and which servers own
// them next. It is deterministic: it reads no clock, performs no I/O and starts no
// goroutine. The driver calls Tick with the time and the replicated state, carries
// out the returned actions, and reports their results.
//
// Terms: an incarnation is one run of a server process. A session ties a server
// to one incarnation. A lease counts from a clock reading that the server process
// sent in an answer. In a quorum round, a quorum of controllers confirms that this
// one still leads.
//
// Invariants:
//   - A lease is renewed only from a clock reading that this leader received
//     before the start of a quorum round that was then confirmed. A leader that
//     has been deposed cannot get the confirmation, so it never extends a lease
//     that a newer leader has waited out.
//   - The end of a session is proposed only when its last lease has certainly
//     expired. A session whose end was proposed is never renewed again.
//   - A revoked shard is released only when its owner has an assignment set
//     without it in force and executes no request in its range.
package coordinator
