package room

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// firstServiceTime is expected of a server before any answer was seen.
	firstServiceTime = 100 * time.Millisecond
	// leastPatience is the share of the target for which a request waits that is late
	// already: some may be late and still of use.
	leastPatience = 0.1
	// mostWaiting bounds the requests that wait in one queue.
	mostWaiting = 512
)

// queue has the requests that wait for the same servers.
type queue struct {
	name string
	// servers are those that the newest ask named.
	servers []*server
	waiting []waiting
	usedAt  time.Duration
}

// waiting is a request that waits for a place.
type waiting struct {
	id      PlaceID
	urgency float64
	// target is when it should be answered, latest when it must have a place for that.
	target   time.Duration
	latest   time.Duration
	deadline time.Duration
	// toldAt is when it was told last that it waits.
	toldAt time.Duration
}

// note takes the servers that an ask names.
func (q *queue) note(k *Keeper, servers []directory.Instance) {
	q.servers = q.servers[:0]
	for _, each := range servers {
		q.servers = append(q.servers, k.server(each))
	}
}

// usable returns the servers that do not rest; all if more than half do.
func (q *queue) usable(now time.Duration) []*server {
	usable := make([]*server, 0, len(q.servers))
	for _, each := range q.servers {
		if each.restsUntil <= now {
			usable = append(usable, each)
		}
	}
	if 2*len(usable) < len(q.servers) {
		return q.servers
	}
	return usable
}

// serviceTime is the mean of the servers whose answers were seen.
func (q *queue) serviceTime() time.Duration {
	total, seen := time.Duration(0), 0
	for _, each := range q.servers {
		if each.serviceTime > 0 {
			total += each.serviceTime
			seen++
		}
	}
	if seen == 0 {
		return firstServiceTime
	}
	return total / time.Duration(seen)
}

// timeAtServer is how long a request is expected to be at its server, behind those that were
// sent there beyond its slots.
func (q *queue) timeAtServer() time.Duration {
	slots := 0
	for _, each := range q.servers {
		slots += each.slots
	}
	ahead := float64(beyondSlots*len(q.servers)) / float64(max(slots, 1))
	return time.Duration((1 + ahead) * float64(q.serviceTime()))
}

// timeOf is a server's mean service time, that of all while nothing is known of it.
func (q *queue) timeOf(each *server) time.Duration {
	if each.serviceTime > 0 {
		return each.serviceTime
	}
	return q.serviceTime()
}

// expected is the time until a server would answer one more request.
func (q *queue) expected(each *server) time.Duration {
	return time.Duration(each.rounds() * float64(q.timeOf(each)))
}

// interval is the mean time between two ends of requests while all slots are in use.
func (q *queue) interval() time.Duration {
	rate := 0.0
	for _, each := range q.servers {
		rate += float64(each.slots) / max(q.timeOf(each).Seconds(), 0.001)
	}
	if rate == 0 {
		return firstServiceTime
	}
	return time.Duration(float64(time.Second) / rate)
}

// wait is how long the next request is expected to wait: with the keeper while all servers
// are full, else at the server that it would get.
func (q *queue) wait(k *Keeper, now time.Duration) time.Duration {
	if free := k.best(now, q); free != nil {
		return max(0, q.expected(free)-q.timeOf(free))
	}
	return time.Duration(len(q.waiting)+1)*q.interval() + q.timeAtServer() - q.serviceTime()
}

// add puts a request in its order: the more urgent first, then the earlier target. It
// returns nil if the queue is full of others that go before it.
func (q *queue) add(now time.Duration, ask Ask) *waiting {
	needed := q.timeAtServer()
	patience := max(ask.TargetLeft-needed, time.Duration(leastPatience*float64(max(ask.TargetLeft, needed))))
	deadline := min(max(ask.DeadlineLeft, 0), longestDeadline)
	added := waiting{
		id: ask.ID, urgency: ask.Urgency, target: now + ask.TargetLeft, latest: now + min(patience, deadline), deadline: now + deadline, toldAt: now,
	}
	if len(q.waiting) >= mostWaiting {
		return nil
	}
	position, _ := slices.BinarySearchFunc(q.waiting, added, compareWaiting)
	q.waiting = slices.Insert(q.waiting, position, added)
	return &q.waiting[position]
}

func compareWaiting(a, b waiting) int {
	return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.target, b.target), cmp.Compare(a.id.Number, b.id.Number), cmp.Compare(a.id.Asker, b.id.Asker))
}

// late removes and returns those who are not expected to get a place in time.
func (q *queue) late(k *Keeper, now time.Duration) []waiting {
	if len(q.waiting) == 0 {
		return nil
	}
	interval := q.interval()
	var late []waiting
	kept := q.waiting[:0]
	for _, each := range q.waiting {
		if now+time.Duration(len(kept)+1)*interval > each.latest {
			late = append(late, each)
			continue
		}
		kept = append(kept, each)
	}
	q.waiting = kept
	return late
}

func (q *queue) contains(id PlaceID) bool {
	return slices.ContainsFunc(q.waiting, func(each waiting) bool { return each.id == id })
}

func (q *queue) remove(id PlaceID) {
	q.waiting = slices.DeleteFunc(q.waiting, func(each waiting) bool { return each.id == id })
}

func (q *queue) removeAll(asker Asker) {
	q.waiting = slices.DeleteFunc(q.waiting, func(each waiting) bool { return each.id.Asker == asker })
}
