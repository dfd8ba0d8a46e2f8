package link

import "time"

// Queue models the bytes that wait before a link, separately for short and for long messages, which
// share the link by bulkShare. It is not safe for concurrent use.
type Queue struct {
	// rate is the modelled capacity of the link in bytes per second; zero for no bound.
	rate float64
	// short and bulk are the waiting bytes of short and of long messages.
	short, bulk float64
	updatedAt   time.Duration
}

// bitsPerByte and bitsPerMegabit convert Mbit/s to bytes per second.
const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// modelledShare is the share of a link that is available to admitted requests. The rest covers what
// the model does not count, such as rejections, opening and closing of connections, and reports. At
// 1, half of a burst of 1.6 times the usual load waited for seconds; at 0.7, a fifth of the
// requests were rejected under normal load.
const modelledShare = 0.8

// bulkShare is the share of the link that long messages get while short ones wait as well.
// Otherwise a message of 90 KB would delay some fifty short ones by 140 ms on 5 Mbit/s, and would
// itself be delayed for as long as short ones arrive.
const bulkShare = 0.4

// NewQueue returns an empty queue for a link of the given Mbit/s in each direction; zero for a link
// without a bound.
func NewQueue(megabits float64) *Queue {
	return &Queue{rate: modelledShare * megabits * bitsPerMegabit / bitsPerByte}
}

// Bounded reports whether the link has a bound.
func (q *Queue) Bounded() bool { return q.rate > 0 }

// Add adds bytes of a short message to the queue. A negative number removes bytes that were
// expected but will not arrive.
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
	return q.drainTime(q.short, 1-bulkShare, q.bulk)
}

// BulkDelay is Delay for a long message.
func (q *Queue) BulkDelay(now time.Duration) time.Duration {
	q.advance(now)
	return q.drainTime(q.bulk, bulkShare, q.short)
}

// drainTime returns how long it takes to send bytes that get a share of the link, while otherBytes
// get the rest of it. Once otherBytes are sent the whole link is available.
func (q *Queue) drainTime(bytes, share, otherBytes float64) time.Duration {
	if !q.Bounded() {
		return 0
	}
	seconds := bytes / (share * q.rate)
	if othersDone := otherBytes / ((1 - share) * q.rate); othersDone < seconds {
		seconds = othersDone + (bytes-share*q.rate*othersDone)/q.rate
	}
	return time.Duration(seconds * float64(time.Second))
}

// advance removes the bytes that the link has sent by now.
func (q *Queue) advance(now time.Duration) {
	elapsed := (now - q.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.updatedAt = now
	contended := min(elapsed, q.short/((1-bulkShare)*q.rate+1), q.bulk/(bulkShare*q.rate+1))
	q.short -= contended * (1 - bulkShare) * q.rate
	q.bulk -= contended * bulkShare * q.rate
	remaining := (elapsed - contended) * q.rate
	carried := min(remaining, q.short)
	q.short = max(0, q.short-carried)
	q.bulk = max(0, q.bulk-(remaining-carried))
}
