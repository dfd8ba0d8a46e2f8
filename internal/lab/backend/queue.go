package backend

// slotQueue gives a bounded number of slots out in the order of asking. Its
// caller holds the lock.
type slotQueue struct {
	slots   int
	limit   int
	taken   int
	waiters []*waiter
}

// waiter is one request that waits for a slot; granted closes once it has one.
type waiter struct {
	granted chan struct{}
	hasSlot bool
}

// enter takes a slot or joins the queue; nil when the queue is full.
func (q *slotQueue) enter() *waiter {
	entering := &waiter{granted: make(chan struct{})}
	if q.taken < q.slots {
		q.taken++
		q.grant(entering)
		return entering
	}
	if len(q.waiters) >= q.limit {
		return nil
	}
	q.waiters = append(q.waiters, entering)
	return entering
}

func (q *slotQueue) grant(entering *waiter) {
	entering.hasSlot = true
	close(entering.granted)
}

// leave gives the slot to the next waiter, or takes a waiter out of the queue.
func (q *slotQueue) leave(leaving *waiter) {
	if !leaving.hasSlot {
		q.remove(leaving)
		return
	}
	leaving.hasSlot = false
	if len(q.waiters) == 0 {
		q.taken--
		return
	}
	next := q.waiters[0]
	q.waiters = q.waiters[1:]
	q.grant(next)
}

func (q *slotQueue) remove(leaving *waiter) {
	for index, waiting := range q.waiters {
		if waiting == leaving {
			q.waiters = append(q.waiters[:index:index], q.waiters[index+1:]...)
			return
		}
	}
}

func (q *slotQueue) queued() int {
	return len(q.waiters)
}
