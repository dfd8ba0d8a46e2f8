package event

import (
	"container/heap"
	"time"
)

// Queue holds the events that are due.
type Queue struct {
	now   time.Duration
	added uint64
	steps uint64
	items items
}

// item is one event.
type item struct {
	at    time.Duration
	order uint64
	run   func()
}

// Now returns the virtual time since the start of the simulation.
func (q *Queue) Now() time.Duration { return q.now }

// Steps returns how many events have run.
func (q *Queue) Steps() uint64 { return q.steps }

// After adds an event. A negative delay counts as zero.
func (q *Queue) After(delay time.Duration, run func()) {
	q.added++
	heap.Push(&q.items, item{at: q.now + max(delay, 0), order: q.added, run: run})
}

// Step runs the next event if it is due by until; else it moves the time to
// until and returns false.
func (q *Queue) Step(until time.Duration) bool {
	if len(q.items) == 0 || q.items[0].at > until {
		q.now = max(q.now, until)
		return false
	}
	next := heap.Pop(&q.items).(item)
	q.now = next.at
	q.steps++
	next.run()
	return true
}

// items implements heap.Interface.
type items []item

func (h items) Len() int      { return len(h) }
func (h items) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h items) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h *items) Push(added any) { *h = append(*h, added.(item)) }

func (h *items) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = item{}
	*h = (*h)[:last]
	return popped
}
