package room

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// firstServiceTime is expected of a server before any answer was seen.
	firstServiceTime = 100 * time.Millisecond
	// serviceSmoothing is the weight of the newest answer in a server's mean.
	serviceSmoothing = 0.15
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
	// failuresInRow without an answer leave a server out for rest, doubled each time up to
	// longestRest.
	failuresInRow = 3
	rest          = time.Second
	longestRest   = 8 * time.Second
	// leastPatience is the share of the target for which a request waits that is late
	// already: some may be late and still of use.
	leastPatience = 0.1
	// RepeatInterval is the time after which a request that waits is told so again: its
	// gateway then knows that the keeper is alive.
	RepeatInterval = 100 * time.Millisecond
	// mostWaiting bounds the requests that wait in one queue.
	mostWaiting = 512
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

// server is what is known of one server.
type server struct {
	id       directory.InstanceID
	slots    int
	inFlight int
	// serviceTime is a moving mean; zero before the first answer.
	serviceTime time.Duration
	failures    int
	rests       int
	restsUntil  time.Duration
	usedAt      time.Duration
}

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

// end takes the end of a request.
func (s *server) end(now time.Duration, end End, rounds float64) {
	s.inFlight--
	s.usedAt = now
	switch end.Outcome {
	case Answered:
		s.failures, s.rests = 0, 0
		s.learn(min(max(end.Took, 0), longestDeadline), rounds)
	case Failed:
		s.failures++
		if s.failures >= failuresInRow {
			s.failures = 0
			s.restsUntil = now + min(rest<<s.rests, longestRest)
			s.rests = min(s.rests+1, int(longestRest/rest))
		}
	default:
	}
}

// learn takes the time that a request needed, its wait behind others included.
func (s *server) learn(took time.Duration, rounds float64) {
	alone := time.Duration(float64(took) / rounds)
	if s.serviceTime == 0 {
		s.serviceTime = alone
	}
	s.serviceTime += time.Duration(serviceSmoothing * float64(alone-s.serviceTime))
}

// rounds is how many service times one more request takes: those beyond the slots wait.
func (s *server) rounds() float64 {
	return 1 + float64(max(0, s.inFlight+1-s.slots))/float64(s.slots)
}

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
