package consensus

import "time"

// A leader confirms reads, and its driver renews leases, by quorum rounds. The
// quiet time is a lower bound on how long before an election the last quorum
// round of any earlier leader began.
//
// Each replica counts the ticks since it last acknowledged a leader, led a term
// itself, or started. A voter sends that time with the vote that it grants. The
// winner reports the minimum over the votes that it counted, its own included, as
// Status.QuietBeforeElection: no quorum round of an earlier leader began within
// that time before the election, however either leader was elected.
//
// Proof: a round that began at time b was acknowledged by a majority. If the
// memberships of its leader and of the winner are at most one change apart, a
// voter of that majority voted for the winner. It acknowledged the round at b or
// later, and before it voted, since after its vote it rejects the older term. So
// the time that it sent with its vote starts no earlier than b. If the memberships are
// further apart, then the second-to-last change in the winner's log was appended
// after b and committed by a majority, which acknowledged a leader after b, and a
// voter of that majority voted for the winner.
//
// A voter that was restarted, paused or delayed reports less than the actual time,
// which is safe. A vote for a leadership transfer reports a time close to zero,
// since it is granted while the old leader is still active. The quiet time does
// not affect which votes are granted.

// tickSlack is the number of ticks by which a count may exceed the elapsed time:
// one that was due before the count began but was processed after it, and one
// that follows immediately.
const tickSlack = 2

// quietTime returns a time, up to now by this replica's clock, in which it is certain
// to have acknowledged no leader and led no term.
func (c *Core) quietTime() time.Duration {
	if c.role == RoleLeader {
		return 0
	}
	return time.Duration(max(0, c.quietTicks-tickSlack)) * c.config.TickInterval
}
