package link

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// paced is the share of a link that scheduled bytes may fill: the rest is for the heads of
	// packets, 40 bytes in some 1,500, for acknowledgements, and for what other connections
	// send.
	paced = 0.93
	// ahead is how much of the link's time may be handed to the system before it is due, so
	// that the link does not rest between two turns.
	ahead = 6 * time.Millisecond
	// longestTurn is how long bytes wait at most behind more urgent ones: a peer that gets
	// nothing for longer takes the connection for dead.
	longestTurn = 400 * time.Millisecond
)

// Turn is a number of bytes that want to leave.
type Turn struct {
	Bytes int
	// Urgency is the rank of the request, from 0 for the least urgent to 1.
	Urgency float64
	// Target is when the answer should be there to be of full use.
	Target time.Duration
	// Bulk is true for a part of a long message.
	Bulk bool
	// asked is when the turn was asked for.
	asked time.Duration
}

// before reports whether a turn goes before another one: those that are in time before those
// that are late already, the more urgent first, then the one with the earlier target.
func (t *Turn) before(other *Turn, now time.Duration) bool {
	if waited, otherWaited := now-t.asked > longestTurn, now-other.asked > longestTurn; waited != otherWaited {
		return waited
	}
	if late, otherLate := t.Target < now, other.Target < now; late != otherLate {
		return otherLate
	}
	return cmp.Or(cmp.Compare(other.Urgency, t.Urgency), cmp.Compare(t.Target, other.Target), cmp.Compare(t.asked, other.asked)) < 0
}

// Schedule orders what leaves over a link, so that the queue before the link stands in this
// process and not in the system, where the first to come is the first to go. It is a pure core
// and not safe for concurrent use.
type Schedule struct {
	// rate is in bytes a second; zero for no bound.
	rate float64
	// busyUntil is when the link has carried what was handed to it.
	busyUntil time.Duration
	waiting   turns
	// bulk are the parts of long messages that wait, and credit what they may send before
	// others, in bytes: while both wait they get their share of the link.
	bulk   turns
	credit float64
}

// NewSchedule returns the schedule of a link of a number of Mbit/s; zero for one without a
// bound.
func NewSchedule(megabits float64) *Schedule {
	return &Schedule{rate: paced * megabits * mega / bitsOfByte}
}

// Passed counts bytes that left without a turn.
func (s *Schedule) Passed(now time.Duration, bytes int) {
	if s.rate > 0 {
		s.busyUntil = max(s.busyUntil, now) + time.Duration(float64(bytes)/s.rate*float64(time.Second))
	}
}

// Ask takes a turn. It reports true if the bytes may leave at once; else Next returns the turn
// once it has come.
func (s *Schedule) Ask(now time.Duration, turn *Turn) bool {
	if s.rate <= 0 || len(s.waiting.turns)+len(s.bulk.turns) == 0 && s.free(now) {
		s.Passed(now, turn.Bytes)
		return true
	}
	turn.asked = now
	queue := &s.waiting
	if turn.Bulk {
		queue = &s.bulk
	}
	queue.now = now
	heap.Push(queue, turn)
	return false
}

func (s *Schedule) free(now time.Duration) bool { return s.busyUntil <= now+ahead }

// Next returns the turn that has come, nil if none has, and when to ask again; zero if none
// waits.
func (s *Schedule) Next(now time.Duration) (*Turn, time.Duration) {
	if len(s.waiting.turns)+len(s.bulk.turns) == 0 {
		return nil, 0
	}
	if !s.free(now) {
		return nil, s.busyUntil - ahead
	}
	next := s.first(now)
	s.Passed(now, next.Bytes)
	return next, now
}

// first takes out the turn that goes first: of the long messages if their share is due, or
// nothing else waits.
func (s *Schedule) first(now time.Duration) *Turn {
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

// pop takes out the first turn. Turns become late or overdue while they wait, so that their order
// is not lasting.
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
