package room

import (
	"math/rand/v2"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// beyondSlots is how many requests a server gets beyond its slots, so that it does not
	// rest while the end of one request is told and the next one is on its way.
	beyondSlots = 1
	// noticeTime is added to a request's deadline before its place ends by itself, for the
	// message that ends it.
	noticeTime = 300 * time.Millisecond
	// lostPlaces is how long the places of a gateway that went away are kept: its requests
	// may still be at work.
	lostPlaces = 500 * time.Millisecond
	// longestDeadline bounds how long a place is kept, whatever the asker says.
	longestDeadline = time.Minute
	// RepeatInterval is the time after which a request that waits is told so again: its
	// gateway then knows that the keeper is alive.
	RepeatInterval = 100 * time.Millisecond
)

// Keeper gives out the places of the servers that it is asked for. It is not safe for
// concurrent use.
type Keeper struct {
	servers map[directory.InstanceID]*server
	places  map[PlaceID]*place
	queues  map[string]*queue
	random  *rand.Rand
	answers []Answer
}

// place is a place that was given out.
type place struct {
	server *server
	queue  string
	endsAt time.Duration
	// rounds is how many service times the request was expected to take, behind others that
	// were sent there before it.
	rounds float64
}

// New returns a keeper that knows of no server. The seed decides between servers that are
// alike.
func New(seed uint64) *Keeper {
	return &Keeper{
		servers: make(map[directory.InstanceID]*server), places: make(map[PlaceID]*place),
		queues: make(map[string]*queue), random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Held returns the number of places that are given out.
func (k *Keeper) Held() int { return len(k.places) }

// Waiting returns the number of requests that wait for a place.
func (k *Keeper) Waiting() int {
	count := 0
	for _, asked := range k.queues {
		count += len(asked.waiting)
	}
	return count
}

// Take returns the answers that became due since the last call, in their order.
func (k *Keeper) Take() []Answer {
	taken := k.answers
	k.answers = nil
	return taken
}

func (k *Keeper) answer(id PlaceID, verdict Verdict, server directory.InstanceID, wait time.Duration) {
	k.answers = append(k.answers, Answer{ID: id, Verdict: verdict, Server: server, Wait: wait})
}

// Ask takes a request for a place.
func (k *Keeper) Ask(now time.Duration, ask Ask) {
	if _, known := k.places[ask.ID]; known || len(ask.Servers) == 0 {
		k.answer(ask.ID, Unknown, "", 0)
		return
	}
	asked := k.queue(ask)
	asked.note(k, ask.Servers)
	waiting := asked.add(now, ask)
	if waiting == nil {
		k.answer(ask.ID, Rejected, "", asked.wait(k, now))
		return
	}
	k.serve(now, asked)
	if _, granted := k.places[ask.ID]; !granted && asked.contains(ask.ID) {
		k.answer(ask.ID, Queued, "", asked.wait(k, now))
	}
}

// End takes a place back, or ends a wait.
func (k *Keeper) End(now time.Duration, end End) {
	held, found := k.places[end.ID]
	if !found {
		for _, asked := range k.queues {
			asked.remove(end.ID)
		}
		return
	}
	delete(k.places, end.ID)
	held.server.end(now, end, held.rounds)
	if asked, waits := k.queues[held.queue]; waits {
		k.serve(now, asked)
	}
}

// Lose takes note that a gateway went away. What it had in flight may run on for a while.
func (k *Keeper) Lose(now time.Duration, asker Asker) {
	for _, asked := range k.queues {
		asked.removeAll(asker)
	}
	for id, held := range k.places {
		if id.Asker == asker {
			held.endsAt = min(held.endsAt, now+lostPlaces)
		}
	}
}

// Tick ends what is due by itself.
func (k *Keeper) Tick(now time.Duration) {
	for id, held := range k.places {
		if now >= held.endsAt {
			delete(k.places, id)
			held.server.inFlight--
		}
	}
	for name, asked := range k.queues {
		k.serve(now, asked)
		k.repeat(now, asked)
		if len(asked.waiting) == 0 && now-asked.usedAt > longestDeadline {
			delete(k.queues, name)
		}
	}
	for id, each := range k.servers {
		if each.inFlight == 0 && now-each.usedAt > longestDeadline {
			delete(k.servers, id)
		}
	}
}

// serve gives free places to those who wait, and rejects those who would wait too long.
func (k *Keeper) serve(now time.Duration, asked *queue) {
	asked.usedAt = now
	for len(asked.waiting) > 0 {
		free := k.best(now, asked)
		if free == nil {
			break
		}
		k.grant(now, asked, free)
	}
	for _, late := range asked.late(k, now) {
		k.answer(late.id, Rejected, "", asked.wait(k, now))
	}
}

// repeat tells those who wait that they still do.
func (k *Keeper) repeat(now time.Duration, asked *queue) {
	for index := range asked.waiting {
		each := &asked.waiting[index]
		if now-each.toldAt >= RepeatInterval {
			each.toldAt = now
			k.answer(each.id, Queued, "", asked.wait(k, now))
		}
	}
}

func (k *Keeper) grant(now time.Duration, asked *queue, free *server) {
	next := asked.waiting[0]
	asked.waiting = asked.waiting[1:]
	k.places[next.id] = &place{server: free, queue: asked.name, endsAt: next.deadline + noticeTime, rounds: free.rounds()}
	free.inFlight++
	free.usedAt = now
	k.answer(next.id, Granted, free.id, asked.wait(k, now))
}

// best returns the server that is expected to answer soonest; nil while all are full.
func (k *Keeper) best(now time.Duration, asked *queue) *server {
	var best *server
	bestTime := time.Duration(0)
	usable := asked.usable(now)
	start := k.random.IntN(max(len(usable), 1))
	for offset := range usable {
		each := usable[(start+offset)%len(usable)]
		if each.inFlight >= each.slots+beyondSlots {
			continue
		}
		if expected := asked.expected(each); best == nil || expected < bestTime {
			best, bestTime = each, expected
		}
	}
	return best
}

func (k *Keeper) server(instance directory.Instance) *server {
	known, met := k.servers[instance.ID]
	if !met {
		known = &server{id: instance.ID}
		k.servers[instance.ID] = known
	}
	known.slots = max(instance.Slots, 1)
	return known
}

func (k *Keeper) queue(ask Ask) *queue {
	asked, known := k.queues[ask.Queue]
	if !known {
		asked = &queue{name: ask.Queue}
		k.queues[ask.Queue] = asked
	}
	return asked
}
