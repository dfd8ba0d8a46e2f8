package link

import "time"

// Queue models the bytes that wait before a link: those of short messages, and those of long
// ones, which share the link with them, see bulkShare. It is not safe for concurrent use.
type Queue struct {
	// rate is what the link carries, in bytes a second; zero for no bound.
	rate float64
	// short and bulk are the bytes that wait.
	short, bulk float64
	at          time.Duration
}

// bitsOfByte and mega turn Mbit/s into bytes a second.
const (
	bitsOfByte = 8
	mega       = 1e6
)

// modelled is the share of a link that is left to admitted requests: the rest is for what
// the model does not see, such as rejections, opening and closing of connections, and
// reports. At 1 half of a burst of 1.6 times the usual waited for seconds, at 0.7 a fifth of
// the requests of a calm time was rejected.
const modelled = 0.8

// bulkShare is the share of the link that long messages get while short ones wait as well. One
// of 90 KB would else hold up some fifty short ones for 140 ms on 5 Mbit/s, and be held up by
// them in turn for as long as they come.
const bulkShare = 0.4

// NewQueue returns an empty queue before a link of a number of Mbit/s in each direction;
// zero for one without a bound.
func NewQueue(megabits float64) *Queue {
	return &Queue{rate: modelled * megabits * mega / bitsOfByte}
}

// Bounded reports whether the link has a bound.
func (q *Queue) Bounded() bool { return q.rate > 0 }

// Add puts bytes of a short message into the queue; a negative number takes some back that were
// expected and do not come.
func (q *Queue) Add(now time.Duration, bytes float64) {
	q.advance(now)
	q.short = max(0, q.short+bytes)
}

// AddBulk is Add for a long message.
func (q *Queue) AddBulk(now time.Duration, bytes float64) {
	q.advance(now)
	q.bulk = max(0, q.bulk+bytes)
}

// Delay returns how long the last byte of a short message waits.
func (q *Queue) Delay(now time.Duration) time.Duration {
	q.advance(now)
	return q.drained(q.short, 1-bulkShare, q.bulk)
}

// BulkDelay is Delay for a long message.
func (q *Queue) BulkDelay(now time.Duration) time.Duration {
	q.advance(now)
	return q.drained(q.bulk, bulkShare, q.short)
}

// drained returns when bytes that get a share of the link have passed it, while others get the
// rest and all of it is had once these have passed.
func (q *Queue) drained(bytes, share, others float64) time.Duration {
	if !q.Bounded() {
		return 0
	}
	seconds := bytes / (share * q.rate)
	if othersGone := others / ((1 - share) * q.rate); othersGone < seconds {
		seconds = othersGone + (bytes-share*q.rate*othersGone)/q.rate
	}
	return time.Duration(seconds * float64(time.Second))
}

// advance lets the link carry what it can until a time.
func (q *Queue) advance(now time.Duration) {
	elapsed := (now - q.at).Seconds()
	if elapsed <= 0 {
		return
	}
	q.at = now
	both := min(elapsed, q.short/((1-bulkShare)*q.rate+1), q.bulk/(bulkShare*q.rate+1))
	q.short -= both * (1 - bulkShare) * q.rate
	q.bulk -= both * bulkShare * q.rate
	left := (elapsed - both) * q.rate
	carried := min(left, q.short)
	q.short = max(0, q.short-carried)
	q.bulk = max(0, q.bulk-(left-carried))
}
