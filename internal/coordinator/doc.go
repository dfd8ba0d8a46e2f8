// Package coordinator decides, on the leading controller, which server gets a
// lease, which session ends, which shard is revoked and who owns it next. It
// is a pure core: it reads no clock, performs no I/O and starts no goroutine.
// The driver calls Tick with the time and the replicated state, carries out
// the returned actions, and reports back what became of them.
//
// Invariants:
//   - a renewal rests on a clock reading of the server that this leader received
//     before a quorum round began, and that round was confirmed. A leader that
//     was deposed meanwhile cannot confirm it, so it never extends a lease that
//     a newer leader has waited out;
//   - the end of a session is proposed only after the last lease of the session surely
//     ended, and once it is proposed the session is never renewed again;
//   - a revoked shard is released only when its owner holds a set without it and
//     executes none of its requests.
package coordinator
