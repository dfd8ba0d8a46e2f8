package room

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// defaultServiceTime is assumed for a server before its first answer.
	defaultServiceTime = 100 * time.Millisecond
	// minWaitShare is the share of the target for which a request may wait even if it will miss the
	// target: some late answers are still useful.
	minWaitShare = 0.1
	// maxWaiting bounds the requests that wait in one queue.
	maxWaiting = 512
)

// queue holds the requests that wait for the same servers.
type queue struct {
	name string
	// servers are those that the latest ask named.
	servers []*server
	waiting []waitingAsk
	usedAt  time.Duration
}

// waitingAsk is a request that waits for a place.
type waitingAsk struct {
	id      PlaceID
	urgency float64
	// target is when the request should be answered, latestStart when it must have a place to be
	// answered in time.
	target      time.Duration
	latestStart time.Duration
	deadline    time.Duration
	// notifiedAt is when the asker was last notified that the request waits.
	notifiedAt time.Duration
}

// setServers replaces the servers of the queue by those that an ask names.
func (q *queue) setServers(k *Keeper, servers []directory.Instance) {
	q.servers = q.servers[:0]
	for _, instance := range servers {
		q.servers = append(q.servers, k.server(instance))
	}
}

// usable returns the servers that are not ejected, or all if more than half are ejected.
func (q *queue) usable(now time.Duration) []*server {
	usable := make([]*server, 0, len(q.servers))
	for _, s := range q.servers {
		if s.ejectedUntil <= now {
			usable = append(usable, s)
		}
	}
	if 2*len(usable) < len(q.servers) {
		return q.servers
	}
	return usable
}

// serviceTime returns the mean over the servers that have answered.
func (q *queue) serviceTime() time.Duration {
	total, seen := time.Duration(0), 0
	for _, s := range q.servers {
		if s.serviceTime > 0 {
			total += s.serviceTime
			seen++
		}
	}
	if seen == 0 {
		return defaultServiceTime
	}
	return total / time.Duration(seen)
}

// timeAtServer returns the expected time of a request at its server, including the wait behind the
// requests that were sent there beyond its slots.
func (q *queue) timeAtServer() time.Duration {
	slots := 0
	for _, s := range q.servers {
		slots += s.slots
	}
	ahead := float64(extraInFlight*len(q.servers)) / float64(max(slots, 1))
	return time.Duration((1 + ahead) * float64(q.serviceTime()))
}

// serviceTimeOf returns the mean service time of a server, or the mean of all servers before its
// first answer.
func (q *queue) serviceTimeOf(s *server) time.Duration {
	if s.serviceTime > 0 {
		return s.serviceTime
	}
	return q.serviceTime()
}

// expectedTime returns the time in which a server is expected to answer one more request.
func (q *queue) expectedTime(s *server) time.Duration {
	return time.Duration(s.rounds() * float64(q.serviceTimeOf(s)))
}

// interval returns the mean time between two completions while all slots are in use.
func (q *queue) interval() time.Duration {
	rate := 0.0
	for _, s := range q.servers {
		rate += float64(s.slots) / max(q.serviceTimeOf(s).Seconds(), 0.001)
	}
	if rate == 0 {
		return defaultServiceTime
	}
	return time.Duration(float64(time.Second) / rate)
}

// wait returns how long the next request is expected to wait: at the keeper while all servers are
// full, otherwise at the server that it would get.
func (q *queue) wait(k *Keeper, now time.Duration) time.Duration {
	if free := k.bestServer(now, q); free != nil {
		return max(0, q.expectedTime(free)-q.serviceTimeOf(free))
	}
	return time.Duration(len(q.waiting)+1)*q.interval() + q.timeAtServer() - q.serviceTime()
}

// add inserts a request in order: the more urgent first, then the one with the earlier target. It
// returns nil if the queue is full.
func (q *queue) add(now time.Duration, ask Ask) *waitingAsk {
	needed := q.timeAtServer()
	maxWait := max(ask.TargetLeft-needed, time.Duration(minWaitShare*float64(max(ask.TargetLeft, needed))))
	deadline := min(max(ask.DeadlineLeft, 0), maxDeadline)
	added := waitingAsk{
		id: ask.ID, urgency: ask.Urgency, target: now + ask.TargetLeft, latestStart: now + min(maxWait, deadline), deadline: now + deadline, notifiedAt: now,
	}
	if len(q.waiting) >= maxWaiting {
		return nil
	}
	position, _ := slices.BinarySearchFunc(q.waiting, added, compareWaiting)
	q.waiting = slices.Insert(q.waiting, position, added)
	return &q.waiting[position]
}

func compareWaiting(a, b waitingAsk) int {
	return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.target, b.target), cmp.Compare(a.id.Number, b.id.Number), cmp.Compare(a.id.Asker, b.id.Asker))
}

// removeLate removes and returns the requests that are not expected to get a place in time.
func (q *queue) removeLate(k *Keeper, now time.Duration) []waitingAsk {
	if len(q.waiting) == 0 {
		return nil
	}
	interval := q.interval()
	var late []waitingAsk
	kept := q.waiting[:0]
	for _, waiting := range q.waiting {
		if now+time.Duration(len(kept)+1)*interval > waiting.latestStart {
			late = append(late, waiting)
			continue
		}
		kept = append(kept, waiting)
	}
	q.waiting = kept
	return late
}

func (q *queue) contains(id PlaceID) bool {
	return slices.ContainsFunc(q.waiting, func(each waitingAsk) bool { return each.id == id })
}

func (q *queue) remove(id PlaceID) {
	q.waiting = slices.DeleteFunc(q.waiting, func(each waitingAsk) bool { return each.id == id })
}

func (q *queue) removeAll(asker Asker) {
	q.waiting = slices.DeleteFunc(q.waiting, func(each waitingAsk) bool { return each.id.Asker == asker })
}
