package room

import (
	"math/rand/v2"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// extraInFlight is how many requests a server gets beyond its slots, so that it is not idle
	// between the completion of one request and the arrival of the next.
	extraInFlight = 1
	// endMessageGrace is added to a request's deadline before its place expires, to allow for the
	// message that returns it.
	endMessageGrace = 300 * time.Millisecond
	// lostAskerGrace is how long the places of a disconnected gateway are kept: its requests may
	// still be running.
	lostAskerGrace = 500 * time.Millisecond
	// maxDeadline bounds how long a place is kept, whatever deadline the asker gives.
	maxDeadline = time.Minute
	// RepeatInterval is how often a gateway is notified again that its request waits, so that it knows
	// that the keeper is alive.
	RepeatInterval = 100 * time.Millisecond
)

// Keeper grants the places of the servers that gateways ask for. It is not safe for concurrent use.
type Keeper struct {
	servers map[directory.InstanceID]*server
	places  map[PlaceID]*place
	queues  map[string]*queue
	random  *rand.Rand
	answers []Answer
}

// place is a granted place.
type place struct {
	server *server
	queue  string
	endsAt time.Duration
	// rounds is the time that the request was expected to take at the server, in service times,
	// including the wait behind requests sent before it.
	rounds float64
}

// New returns a keeper without any server. The seed determines the choice between equally loaded
// servers.
func New(seed uint64) *Keeper {
	return &Keeper{
		servers: make(map[directory.InstanceID]*server), places: make(map[PlaceID]*place),
		queues: make(map[string]*queue), random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Held returns the number of granted places.
func (k *Keeper) Held() int { return len(k.places) }

// Waiting returns the number of requests that wait for a place.
func (k *Keeper) Waiting() int {
	count := 0
	for _, q := range k.queues {
		count += len(q.waiting)
	}
	return count
}

// TakeAnswers returns the answers that became due since the last call, in order.
func (k *Keeper) TakeAnswers() []Answer {
	taken := k.answers
	k.answers = nil
	return taken
}

func (k *Keeper) answer(id PlaceID, verdict Verdict, server directory.InstanceID, wait time.Duration) {
	k.answers = append(k.answers, Answer{ID: id, Verdict: verdict, Server: server, Wait: wait})
}

// Ask processes a request for a place.
func (k *Keeper) Ask(now time.Duration, ask Ask) {
	if _, known := k.places[ask.ID]; known || len(ask.Servers) == 0 {
		k.answer(ask.ID, Unknown, "", 0)
		return
	}
	q := k.queue(ask)
	q.setServers(k, ask.Servers)
	waiting := q.add(now, ask)
	if waiting == nil {
		k.answer(ask.ID, Rejected, "", q.wait(k, now))
		return
	}
	k.serve(now, q)
	if _, granted := k.places[ask.ID]; !granted && q.contains(ask.ID) {
		k.answer(ask.ID, Queued, "", q.wait(k, now))
	}
}

// End returns a place, or ends the wait for one.
func (k *Keeper) End(now time.Duration, end End) {
	place, found := k.places[end.ID]
	if !found {
		for _, q := range k.queues {
			q.remove(end.ID)
		}
		return
	}
	delete(k.places, end.ID)
	place.server.end(now, end, place.rounds)
	if q, found := k.queues[place.queue]; found {
		k.serve(now, q)
	}
}

// Disconnect records that a gateway disconnected. Its requests in flight may run on for lostAskerGrace.
func (k *Keeper) Disconnect(now time.Duration, asker Asker) {
	for _, q := range k.queues {
		q.removeAll(asker)
	}
	for id, place := range k.places {
		if id.Asker == asker {
			place.endsAt = min(place.endsAt, now+lostAskerGrace)
		}
	}
}

// Tick processes what is due by time alone: expired places, requests that wait too long, repeated
// notices, and unused queues and servers.
func (k *Keeper) Tick(now time.Duration) {
	for id, place := range k.places {
		if now >= place.endsAt {
			delete(k.places, id)
			place.server.inFlight--
		}
	}
	for name, q := range k.queues {
		k.serve(now, q)
		k.notifyWaiting(now, q)
		if len(q.waiting) == 0 && now-q.usedAt > maxDeadline {
			delete(k.queues, name)
		}
	}
	for id, s := range k.servers {
		if s.inFlight == 0 && now-s.usedAt > maxDeadline {
			delete(k.servers, id)
		}
	}
}

// serve grants free places to waiting requests and rejects those that would wait too long.
func (k *Keeper) serve(now time.Duration, q *queue) {
	q.usedAt = now
	for len(q.waiting) > 0 {
		free := k.bestServer(now, q)
		if free == nil {
			break
		}
		k.grant(now, q, free)
	}
	for _, late := range q.removeLate(k, now) {
		k.answer(late.id, Rejected, "", q.wait(k, now))
	}
}

// notifyWaiting notifies askers again that their requests wait, every RepeatInterval.
func (k *Keeper) notifyWaiting(now time.Duration, q *queue) {
	for index := range q.waiting {
		waiting := &q.waiting[index]
		if now-waiting.notifiedAt >= RepeatInterval {
			waiting.notifiedAt = now
			k.answer(waiting.id, Queued, "", q.wait(k, now))
		}
	}
}

func (k *Keeper) grant(now time.Duration, q *queue, free *server) {
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	k.places[next.id] = &place{server: free, queue: q.name, endsAt: next.deadline + endMessageGrace, rounds: free.rounds()}
	free.inFlight++
	free.usedAt = now
	k.answer(next.id, Granted, free.id, q.wait(k, now))
}

// bestServer returns the server that is expected to answer soonest, or nil if all are full.
func (k *Keeper) bestServer(now time.Duration, q *queue) *server {
	var best *server
	bestTime := time.Duration(0)
	usable := q.usable(now)
	start := k.random.IntN(max(len(usable), 1))
	for offset := range usable {
		s := usable[(start+offset)%len(usable)]
		if s.inFlight >= s.slots+extraInFlight {
			continue
		}
		if expected := q.expectedTime(s); best == nil || expected < bestTime {
			best, bestTime = s, expected
		}
	}
	return best
}

func (k *Keeper) server(instance directory.Instance) *server {
	s, ok := k.servers[instance.ID]
	if !ok {
		s = &server{id: instance.ID}
		k.servers[instance.ID] = s
	}
	s.slots = max(instance.Slots, 1)
	return s
}

func (k *Keeper) queue(ask Ask) *queue {
	q, ok := k.queues[ask.Queue]
	if !ok {
		q = &queue{name: ask.Queue}
		k.queues[ask.Queue] = q
	}
	return q
}
