// Package heartbeat makes the decisions of the leading controller on the leases that
// instances renew by heartbeats: how a heartbeat changes the directory, which keys its
// answer grants, when a silent instance has certainly lost its keys, and which
// instances get them. It contains only the decision logic: it reads no clock and
// performs no I/O.
//
// A lease is counted from the time at which the instance sent the heartbeat. The process
// answers only after a quorum round that started after the heartbeat was received, so that
// a deposed leader cannot extend a lease that its successor has already waited out.
//
// Invariants:
//   - keys are reassigned only after their owner reported, in a heartbeat sent after the
//     last one whose answer granted them, that it does not hold them; or after its last
//     lease has certainly expired; or after its server has started again;
//   - an answer contains keys that its heartbeat does not list only if the sequence number
//     of that heartbeat, or of a later one, is recorded with the grant;
//   - revoked keys are not granted in any later answer.
package heartbeat
