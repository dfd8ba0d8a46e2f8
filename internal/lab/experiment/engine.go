package experiment

import (
	"container/heap"
	"slices"
	"time"
)

// Times of the system around the placement, the same for all strategies.
const (
	// handover is how long a planned move leaves a shard without an owner.
	handover = 50 * time.Millisecond
	// detection is how long a loss stays unnoticed: the lease and its margin.
	detection = 950 * time.Millisecond
	// maxMoves bounds the moves in flight.
	maxMoves = 8
	// loadInterval is the time between load reports; each arrives one interval
	// late.
	loadInterval = 5 * time.Second
	// probeInterval is the time between probes of one server.
	probeInterval = time.Second
	// settle is the time at the start that is not measured.
	settle = time.Minute
	// shardsPerServer is how many shards a service begins with.
	shardsPerServer = 32
)

// engine runs one trace through one strategy.
type engine struct {
	trace    *trace
	strategy strategy
	now      time.Duration
	servers  []*server
	owners   *ownership
	agenda   agenda
	// queue holds the moves that may not begin yet.
	queue    []assignment
	inFlight int
	// unfinished asks for a decision once no move is in flight.
	unfinished     bool
	serversChanged bool
	first          bool
	counts         counts
	measured       *measurement
}

func newEngine(t *trace, chosen strategy) *engine {
	e := &engine{trace: t, strategy: chosen, first: true, serversChanged: true, measured: newMeasurement(t)}
	for number := range t.workload.Servers + 1 {
		e.servers = append(e.servers, newServer(t.workload, number%t.workload.Zones))
		e.servers[number].up = number < t.workload.Servers
	}
	e.owners = newOwnership(t.hashes, t.workload.Servers*shardsPerServer)
	e.counts = newCounts(len(t.hashes))
	e.schedule()
	return e
}

// schedule enters everything that is known beforehand.
func (e *engine) schedule() {
	for _, event := range e.trace.events {
		e.agenda.add(event.at, func() { e.serverEvent(event) })
	}
	e.noticeDown()
	for at := probeInterval; at < e.trace.duration; at += probeInterval {
		e.agenda.add(at, e.probe)
	}
	for at := loadInterval; at < e.trace.duration; at += loadInterval {
		e.agenda.add(at, e.interval)
	}
}

// noticeDown tells each server when it goes down next.
func (e *engine) noticeDown() {
	for number, known := range e.servers {
		known.downAt = never
		for _, event := range e.trace.events {
			if event.server == number && event.kind == eventDown && event.at > e.now {
				known.downAt = event.at
				break
			}
		}
	}
}

// run carries the trace to its end.
func (e *engine) run() *measurement {
	e.decide(false)
	source := e.trace.requests()
	for {
		next, more := source.draw()
		if !more {
			break
		}
		e.advance(next.at)
		e.route(next)
	}
	e.advance(e.trace.duration)
	e.finish()
	return e.measured
}

// advance carries out what is due until a time.
func (e *engine) advance(until time.Duration) {
	for len(e.agenda.entries) > 0 && e.agenda.entries[0].at <= until {
		due := heap.Pop(&e.agenda).(entry)
		e.now = due.at
		due.act()
	}
	e.now = until
}

// finish ends the requests that still wait and the open times without an owner.
func (e *engine) finish() {
	for _, known := range e.owners.ordered {
		for range known.waiting {
			e.measured.refuse(e.now)
		}
		known.waiting = nil
		if known.owner == noServer {
			e.owners.unavailable += time.Duration(known.keys.Width() * float64(e.now-known.unownedSince))
		}
	}
	e.measured.ownership(e.owners)
}

func (e *engine) serverEvent(event serverEvent) {
	changed := e.servers[event.server]
	switch event.kind {
	case eventLeaving:
		changed.leaving = true
		e.serversMoved()
	case eventDown:
		e.lose(event.server)
	case eventUp:
		changed.start(e.now)
		e.noticeDown()
		e.serversMoved()
	}
}

// lose stops a server. The controllers know it after the detection time; what
// it owned has no owner from now on.
func (e *engine) lose(number int) {
	e.servers[number].up = false
	for _, known := range e.owners.ordered {
		if known.owner == number {
			e.owners.disown(e.now, known)
		}
	}
	e.agenda.add(e.now+detection, e.serversMoved)
}

func (e *engine) serversMoved() {
	e.serversChanged = true
	e.decide(false)
}

func (e *engine) probe() {
	for _, known := range e.servers {
		if known.up {
			known.probe(e.now, e.trace.workload.ProbeCost)
		}
	}
}

// interval hands the counts over; the strategy sees those of the interval
// before.
func (e *engine) interval() {
	e.counts.turn()
	e.measured.sample(e)
	e.decide(true)
}

// route sends one request to the owner of its key, or lets it wait for one.
func (e *engine) route(next request) {
	e.measured.arrived(next.at)
	e.counts.add(next.key)
	known := e.owners.shardOf[next.key]
	if known.owner == noServer {
		known.waiting = append(known.waiting, next)
		return
	}
	e.send(next, known.owner)
}

// send dispatches a request now. The router of the client's zone takes it, or
// one of another zone while that one is lost.
func (e *engine) send(next request, owner int) {
	workload := e.trace.workload
	router := next.zone
	if e.zoneLost(router) {
		router = (router + 1) % workload.Zones
	}
	result := e.servers[owner].execute(workload, router, e.now, next.at+workload.Timeout, next.work)
	e.measured.ended(next.at, result, 2*workload.ClientOneWay)
}

func (e *engine) zoneLost(zone int) bool {
	since := e.now - e.trace.zoneLostAt
	return zone == e.trace.lostZone && since >= 0 && since < zoneLossTime
}

// flush sends the requests that waited for an owner.
func (e *engine) flush(known *shard) {
	waiting := known.waiting
	known.waiting = nil
	for _, next := range waiting {
		if e.now > next.at+e.trace.workload.Timeout {
			e.measured.refuse(next.at)
			continue
		}
		e.send(next, known.owner)
	}
}

// decide asks the strategy and carries out its choice.
func (e *engine) decide(loadsChanged bool) {
	chosen := e.strategy.decide(e.view(loadsChanged))
	e.serversChanged = false
	for _, wanted := range chosen.assign {
		e.assign(wanted)
	}
	e.first = false
	e.reshape(chosen)
	if len(chosen.move) > 0 || len(chosen.assign) > 0 || loadsChanged {
		e.queue = slices.Clone(chosen.move)
	}
	e.unfinished = chosen.unfinished || len(chosen.assign) > 0
	e.beginMoves()
}

// assign gives an orphan its owner, if that server is still there.
func (e *engine) assign(wanted assignment) {
	known := e.owners.shards[wanted.shard]
	if known == nil || known.owner != noServer || known.moving || !e.servers[wanted.to].up {
		return
	}
	e.owners.give(e.now, known, wanted.to, e.first)
	e.flush(known)
}

func (e *engine) reshape(chosen choice) {
	for _, wanted := range chosen.split {
		known := e.owners.shards[wanted.shard]
		if known != nil && !known.moving && len(known.waiting) == 0 {
			e.owners.cut(known, wanted.part)
		}
	}
	for _, wanted := range chosen.merge {
		first, second := e.owners.shards[wanted.first], e.owners.shards[wanted.second]
		if first == nil || second == nil || first.owner != second.owner || first.moving || second.moving || first.owner == noServer {
			continue
		}
		e.owners.join(first, second)
	}
}

// beginMoves starts as many of the waiting moves as may be in flight.
func (e *engine) beginMoves() {
	for e.inFlight < maxMoves && len(e.queue) > 0 {
		wanted := e.queue[0]
		e.queue = e.queue[1:]
		known := e.owners.shards[wanted.shard]
		if known == nil || known.moving || known.owner == noServer || known.owner == wanted.to {
			continue
		}
		if wanted.part != nil {
			known = e.owners.cut(known, *wanted.part)
		}
		e.beginMove(known, wanted.to)
	}
}

func (e *engine) beginMove(known *shard, to int) {
	e.inFlight++
	known.moving, known.source, known.target = true, known.owner, to
	e.owners.disown(e.now, known)
	e.agenda.add(e.now+handover, func() { e.endMove(known) })
}

// endMove gives the shard to the target; if that was lost meanwhile the shard
// waits for another owner.
func (e *engine) endMove(known *shard) {
	e.inFlight--
	if target := known.target; e.servers[target].up {
		e.owners.give(e.now, known, target, false)
		e.flush(known)
	} else {
		known.moving, known.source, known.target = false, noServer, noServer
		e.unfinished = true
	}
	e.beginMoves()
	if e.inFlight == 0 && e.unfinished {
		e.decide(false)
	}
}

// agenda holds what is to happen, in the order of time and of entering.
type agenda struct {
	entries []entry
	entered int
}

type entry struct {
	at     time.Duration
	number int
	act    func()
}

func (a *agenda) add(at time.Duration, act func()) {
	a.entered++
	heap.Push(a, entry{at: at, number: a.entered, act: act})
}

// Len implements heap.Interface.
func (a *agenda) Len() int { return len(a.entries) }

// Less implements heap.Interface.
func (a *agenda) Less(i, j int) bool {
	if a.entries[i].at != a.entries[j].at {
		return a.entries[i].at < a.entries[j].at
	}
	return a.entries[i].number < a.entries[j].number
}

// Swap implements heap.Interface.
func (a *agenda) Swap(i, j int) { a.entries[i], a.entries[j] = a.entries[j], a.entries[i] }

// Push implements heap.Interface.
func (a *agenda) Push(value any) { a.entries = append(a.entries, value.(entry)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := a.entries[len(a.entries)-1]
	a.entries = a.entries[:len(a.entries)-1]
	return last
}
