package link

import "time"

// fullShare is the share of its rate from which a link counts as full: packet headers,
// acknowledgements and other traffic on the link are not counted.
const fullShare = 0.6

// Backlog detects whether bytes may be waiting to arrive over a link. A link with a backlog
// delivers at its full rate, so a link that delivers less has none.
type Backlog struct {
	// bytesPerSecond is the rate of the link; zero if unknown.
	bytesPerSecond float64
	passed         int64
	at             time.Duration
}

// NewBacklog starts observing a link of the given Mbit/s, zero if unknown, that has delivered
// passed bytes so far.
func NewBacklog(megabits float64, now time.Duration, passed int64) *Backlog {
	return &Backlog{bytesPerSecond: megabits * bitsPerMegabit / bitsPerByte, passed: passed, at: now}
}

// Waits reports whether the link was full since the last call; always false if the rate is unknown.
func (b *Backlog) Waits(now time.Duration, passed int64) bool {
	delivered, elapsed := float64(passed-b.passed), now-b.at
	b.passed, b.at = passed, now
	return b.bytesPerSecond > 0 && delivered >= fullShare*b.bytesPerSecond*elapsed.Seconds()
}
