package link

import "time"

// fullShare is the share of its rate from which on a link counts as full: what is counted leaves
// out packet headers, acknowledgements and whatever else shares the link.
const fullShare = 0.6

// Backlog tells whether bytes may be waiting to come in over a link. A link that something waits
// for delivers at its full rate, so that one which delivers less has nothing left to deliver.
type Backlog struct {
	// bytesPerSecond is the rate of the link; zero if unknown.
	bytesPerSecond float64
	passed         int64
	at             time.Duration
}

// NewBacklog begins to look at a link of a rate in Mbit/s, zero if unknown, that has delivered a
// number of bytes so far.
func NewBacklog(megabits float64, now time.Duration, passed int64) *Backlog {
	return &Backlog{bytesPerSecond: megabits * mega / bitsOfByte, passed: passed, at: now}
}

// Waits reports whether the link was full since the last look. Of a link without a known rate it
// says that nothing waits.
func (b *Backlog) Waits(now time.Duration, passed int64) bool {
	delivered, elapsed := float64(passed-b.passed), now-b.at
	b.passed, b.at = passed, now
	return b.bytesPerSecond > 0 && delivered >= fullShare*b.bytesPerSecond*elapsed.Seconds()
}
