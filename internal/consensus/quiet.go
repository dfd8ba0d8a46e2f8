package consensus

import "time"

// A leader confirms reads, and its driver renews leases, by quorum rounds. What
// is said here bounds how long before an election the last round of any earlier
// leader began.
//
// Each replica counts the ticks since it last acknowledged a leader, was one
// itself, or started; a voter puts that time into the vote that it grants. The
// winner takes the least of the votes that it counted, its own included, as
// Status.QuietBeforeElection: no quorum round of an earlier leader began within
// that time before the election, by whichever path either of them was elected.
//
// Why it holds. A round that began at b was acknowledged by a majority. If the
// memberships of its leader and of the winner are at most one change apart, a
// voter of that majority voted for the winner. It acknowledged the round at b or
// later, and before it voted, since after its vote it refuses the older term. So
// the time that it put into its vote began after b. If the memberships are
// further apart, then the last change but one in the winner's log was appended
// after b and committed by a majority, which acknowledged a leader after b, and
// one of it voted for the winner.
//
// A voter that was restarted, paused or held up says less than the truth. A vote
// that a leadership transfer asked for, which is granted under a living leader,
// says next to nothing. No rule of who may vote changes.

// tickSlack is by how much a count of ticks may be ahead of the time that they
// stand for: one that was due before the count began and is taken after it, and
// one that comes right after that.
const tickSlack = 2

// quiet returns a time, by this replica's clock, in which it surely acknowledged
// no leader and led no term.
func (c *Core) quiet() time.Duration {
	if c.role == RoleLeader {
		return 0
	}
	return time.Duration(max(0, c.quietTicks-tickSlack)) * c.config.TickInterval
}
