package checker

import "time"

// roundChecker compares what new leaders believe of the quorum rounds of earlier
// ones with the rounds that were confirmed.
type roundChecker struct {
	// quietSince has, by term, the true time from which the leader believes that
	// no earlier leader began a round.
	quietSince map[uint64]time.Duration
	// newest has, by term, when the newest confirmed round began.
	newest map[uint64]time.Duration
}

func newRoundChecker() roundChecker {
	return roundChecker{quietSince: make(map[uint64]time.Duration), newest: make(map[uint64]time.Duration)}
}

// LeadsAfterQuiet records that the leader of a term believes that no earlier
// leader began a quorum round after a true time.
func (c *Checker) LeadsAfterQuiet(term uint64, since time.Duration) {
	c.rounds.quietSince[term] = since
	for earlier, began := range c.rounds.newest {
		c.compareRound(earlier, began, term, since)
	}
}

// RoundConfirmed records that a quorum confirmed a round of a term's leader, and
// when it began.
func (c *Checker) RoundConfirmed(term uint64, began time.Duration) {
	c.counts.Rounds++
	c.rounds.newest[term] = max(c.rounds.newest[term], began)
	for later, since := range c.rounds.quietSince {
		c.compareRound(term, began, later, since)
	}
}

func (c *Checker) compareRound(earlier uint64, began time.Duration, later uint64, since time.Duration) {
	if earlier < later && began > since {
		c.Fail(QuietElection, "the leader of term %d counts from %v, but a round of term %d began at %v", later, since, earlier, began)
	}
}
