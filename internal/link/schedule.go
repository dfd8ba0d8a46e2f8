package link

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// pacedShare is the share of a link that scheduled bytes may use. The rest is for packet
	// headers, 40 bytes in some 1,500, for acknowledgements, and for other connections.
	pacedShare = 0.93
	// sendAhead is how far ahead of the link bytes may be handed to the kernel, so that the link is
	// not idle between two turns.
	sendAhead = 6 * time.Millisecond
	// maxTurnWait bounds how long bytes wait behind more urgent ones. A peer that receives nothing
	// for longer considers the connection dead.
	maxTurnWait = 400 * time.Millisecond
)

// Turn is a number of bytes to be sent together.
type Turn struct {
	Bytes int
	// Urgency is the rank of the request, from 0 for the least urgent to 1.
	Urgency float64
	// Target is when the answer must arrive to be of full use.
	Target time.Duration
	// Bulk is true for a part of a long message.
	Bulk bool
	// askedAt is when Ask was called.
	askedAt time.Duration
}

// before reports whether a turn goes before another one: turns that have waited for maxTurnWait
// first, then those that are not late yet, then the more urgent, then those with the earlier
// target.
func (t *Turn) before(other *Turn, now time.Duration) bool {
	if overdue, otherOverdue := now-t.askedAt > maxTurnWait, now-other.askedAt > maxTurnWait; overdue != otherOverdue {
		return overdue
	}
	if late, otherLate := t.Target < now, other.Target < now; late != otherLate {
		return otherLate
	}
	return cmp.Or(cmp.Compare(other.Urgency, t.Urgency), cmp.Compare(t.Target, other.Target), cmp.Compare(t.askedAt, other.askedAt)) < 0
}

// Schedule orders what is sent over a link, so that bytes queue in this process and not in the
// kernel, which sends first come first served. It is not safe for concurrent use.
type Schedule struct {
	// rate is in bytes per second; zero for no bound.
	rate float64
	// busyUntil is when the link has sent everything that was handed to it.
	busyUntil time.Duration
	waiting   turns
	// bulk are the waiting parts of long messages. credit is the number of bytes that they may send
	// before others, which gives them their share of the link while both wait.
	bulk   turns
	credit float64
}

// NewSchedule returns a schedule for a link of the given Mbit/s; zero for a link without a bound.
func NewSchedule(megabits float64) *Schedule {
	return &Schedule{rate: pacedShare * megabits * bitsPerMegabit / bitsPerByte}
}

// Passed records bytes that were sent without a turn.
func (s *Schedule) Passed(now time.Duration, bytes int) {
	if s.rate > 0 {
		s.busyUntil = max(s.busyUntil, now) + time.Duration(float64(bytes)/s.rate*float64(time.Second))
	}
}

// Ask requests a turn. It returns true if the bytes may be sent at once; otherwise Next returns the
// turn when it is due.
func (s *Schedule) Ask(now time.Duration, turn *Turn) bool {
	if s.rate <= 0 || len(s.waiting.turns)+len(s.bulk.turns) == 0 && s.linkFree(now) {
		s.Passed(now, turn.Bytes)
		return true
	}
	turn.askedAt = now
	queue := &s.waiting
	if turn.Bulk {
		queue = &s.bulk
	}
	queue.now = now
	heap.Push(queue, turn)
	return false
}

// linkFree reports whether bytes may be handed to the kernel now.
func (s *Schedule) linkFree(now time.Duration) bool { return s.busyUntil <= now+sendAhead }

// Next returns the turn that is due, or nil if none is, and when to call it again; zero if none
// waits.
func (s *Schedule) Next(now time.Duration) (*Turn, time.Duration) {
	if len(s.waiting.turns)+len(s.bulk.turns) == 0 {
		return nil, 0
	}
	if !s.linkFree(now) {
		return nil, s.busyUntil - sendAhead
	}
	next := s.popNext(now)
	s.Passed(now, next.Bytes)
	return next, now
}

// popNext removes and returns the next turn: one of a long message if its share is due or nothing
// else waits.
func (s *Schedule) popNext(now time.Duration) *Turn {
	switch {
	case len(s.waiting.turns) == 0:
		s.credit = 0
		return s.bulk.pop(now)
	case len(s.bulk.turns) == 0:
		s.credit = 0
		return s.waiting.pop(now)
	case s.credit > 0:
		turn := s.bulk.pop(now)
		s.credit -= float64(turn.Bytes)
		return turn
	default:
		turn := s.waiting.pop(now)
		s.credit += float64(turn.Bytes) * bulkShare / (1 - bulkShare)
		return turn
	}
}

// turns implements heap.Interface.
type turns struct {
	now   time.Duration
	turns []*Turn
}

// pop removes and returns the first turn. It restores the heap first: turns become late or overdue
// while they wait, which changes their order.
func (t *turns) pop(now time.Duration) *Turn {
	t.now = now
	heap.Init(t)
	return heap.Pop(t).(*Turn)
}

// Len implements heap.Interface.
func (t *turns) Len() int { return len(t.turns) }

// Less implements heap.Interface.
func (t *turns) Less(i, j int) bool { return t.turns[i].before(t.turns[j], t.now) }

// Swap implements heap.Interface.
func (t *turns) Swap(i, j int) { t.turns[i], t.turns[j] = t.turns[j], t.turns[i] }

// Push implements heap.Interface.
func (t *turns) Push(turn any) { t.turns = append(t.turns, turn.(*Turn)) }

// Pop implements heap.Interface.
func (t *turns) Pop() any {
	last := len(t.turns) - 1
	popped := t.turns[last]
	t.turns = t.turns[:last]
	return popped
}
