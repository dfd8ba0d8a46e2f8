package admission

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// smoothing is the weight of the latest service time in the moving average.
const smoothing = 0.1

// Limits bound one server's queue.
type Limits struct {
	// Running bounds the requests sent to the server at the same time.
	Running int
	// Waiting bounds the requests that wait to be sent.
	Waiting int
}

// ServerLimits returns one router's bounds for a server with the given slots and the given share of
// its connections. The slots are shared with other routers, but the router with most of the traffic
// must be able to fill them, so each may send slots × slotFactor requests at the same time.
func ServerLimits(slots, connections, waiting int) Limits {
	const slotFactor = 2
	running := max(1, min(slots*slotFactor, connections-ControlConnections))
	return Limits{Running: running, Waiting: waiting}
}

// ControlConnections is how many connections of a router's share are kept for cancels and health
// checks, if the share is large enough.
const ControlConnections = 2

// ConnectionShare returns how many connections one router may hold to a server, at least one.
func ConnectionShare(connections, routers int) int {
	return max(1, connections/max(1, routers))
}

// Queue admits requests to one server.
type Queue struct {
	clock   clock.Clock
	mutex   sync.Mutex
	limits  Limits
	running int
	waiters list.List
	// average is the moving average of service times.
	average time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(reader clock.Clock, limits Limits) *Queue {
	return &Queue{clock: reader, limits: limits}
}

// SetLimits changes the bounds; requests already admitted stay.
func (q *Queue) SetLimits(limits Limits) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limits = limits
	q.wakeLocked()
}

// Running returns the number of requests that hold a place.
func (q *Queue) Running() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.running
}

// Waiting returns the number of requests that wait for a place.
func (q *Queue) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiters.Len()
}

// Limit returns the bound on running requests.
func (q *Queue) Limit() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limits.Running
}

// waiter is one request in the queue. Its channel is closed when it gets a place or, with a reason,
// when it is evicted.
type waiter struct {
	decided chan struct{}
	reason  error
	// notify, if not nil, is called with the reason when the wait ends.
	notify func(error)
}

// decide ends the wait: with a place if the reason is nil, otherwise without.
func (w *waiter) decide(reason error) {
	w.reason = reason
	close(w.decided)
	if w.notify != nil {
		w.notify(reason)
	}
}

// Acquire waits for a place until the deadline, a reading of the queue's clock. If it returns nil,
// the caller holds a place and must call Release or ReleaseUnused. Otherwise the error has the kind
// QueueFull or DeadlineBeforeStart, or is the context's error, or the reason given to Evict.
func (q *Queue) Acquire(ctx context.Context, deadline time.Duration) error {
	element, err := q.enter(deadline, nil)
	if err != nil || element == nil {
		return err
	}
	timer := time.NewTimer(deadline - q.clock.Now())
	defer timer.Stop()
	entry := element.Value.(*waiter)
	select {
	case <-entry.decided:
		return entry.reason
	case <-timer.C:
		return q.abandon(element, errDeadlineInQueue())
	case <-ctx.Done():
		return q.abandon(element, context.Cause(ctx))
	}
}

// Ticket is a request's position in the queue.
type Ticket struct{ element *list.Element }

// Join is Acquire for callers that cannot block. A nil ticket without an error means that the
// caller holds a place. With a ticket the request waits: decided is called, under the queue's lock,
// with nil once it holds a place, or with the reason given to Evict.
func (q *Queue) Join(deadline time.Duration, decided func(error)) (*Ticket, error) {
	element, err := q.enter(deadline, decided)
	if err != nil || element == nil {
		return nil, err
	}
	return &Ticket{element: element}, nil
}

// Expire ends a wait whose deadline passed. It returns nil if the wait had already ended, otherwise
// an error of kind DeadlineBeforeStart.
func (q *Queue) Expire(ticket *Ticket) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case <-ticket.element.Value.(*waiter).decided:
		return nil
	default:
	}
	q.waiters.Remove(ticket.element)
	return errDeadlineInQueue()
}

func errDeadlineInQueue() *fault.Error {
	return fault.New(fault.DeadlineBeforeStart, "the deadline passed in the router's queue")
}

// enter takes a place at once (nil element), joins the queue, or rejects the request.
func (q *Queue) enter(deadline time.Duration, notify func(error)) (*list.Element, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	if now >= deadline {
		return nil, fault.New(fault.DeadlineBeforeStart, "the deadline passed before dispatch")
	}
	if q.running < q.limits.Running && q.waiters.Len() == 0 {
		q.running++
		return nil, nil
	}
	if q.waiters.Len() >= q.limits.Waiting {
		return nil, fault.Newf(fault.QueueFull, "%d requests already wait for the server", q.waiters.Len())
	}
	if now+q.estimateLocked() > deadline {
		return nil, fault.New(fault.DeadlineBeforeStart, "the request could not finish in time behind those that wait")
	}
	return q.waiters.PushBack(&waiter{decided: make(chan struct{}), notify: notify}), nil
}

// estimateLocked returns the expected time until a request that joins now finishes.
func (q *Queue) estimateLocked() time.Duration {
	ahead := q.waiters.Len() + 1
	rounds := float64(ahead)/float64(max(1, q.limits.Running)) + 1
	return time.Duration(rounds * float64(q.average))
}

// abandon leaves the queue with the given reason. If the wait has already ended it returns the
// result of the wait instead.
func (q *Queue) abandon(element *list.Element, reason error) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	entry := element.Value.(*waiter)
	select {
	case <-entry.decided:
		return entry.reason
	default:
	}
	q.waiters.Remove(element)
	return reason
}

// Release returns a place after an attempt that took the given time.
func (q *Queue) Release(took time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.running--
	q.observeLocked(took)
	q.wakeLocked()
}

// ReleaseUnused returns a place without an attempt having been made.
func (q *Queue) ReleaseUnused() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.running--
	q.wakeLocked()
}

func (q *Queue) observeLocked(took time.Duration) {
	if q.average == 0 {
		q.average = took
		return
	}
	q.average += time.Duration(smoothing * float64(took-q.average))
}

func (q *Queue) wakeLocked() {
	for q.running < q.limits.Running && q.waiters.Len() > 0 {
		front := q.waiters.Front()
		q.waiters.Remove(front)
		q.running++
		front.Value.(*waiter).decide(nil)
	}
}

// Evict ends the wait of every waiting request with the reason, for instance because the server's
// session ended.
func (q *Queue) Evict(reason error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for q.waiters.Len() > 0 {
		front := q.waiters.Front()
		q.waiters.Remove(front)
		front.Value.(*waiter).decide(reason)
	}
}
