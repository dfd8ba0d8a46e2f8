package experiment

import "time"

// server is one server of the model.
type server struct {
	zone int
	up   bool
	// leaving is true between the notice and the stop.
	leaving bool
	readyAt time.Duration
	// downAt is when the server goes down next; requests that would still be
	// there are lost.
	downAt time.Duration
	// slots holds when each slot is free.
	slots []time.Duration
	// connections holds, by router, when each open connection is free.
	connections [][]time.Duration
	limit       int
}

const (
	// warmUp is how long a server that started executes slower, by coldFactor
	// at first.
	warmUp     = time.Minute
	coldFactor = 1.0
	// never is after every trace.
	never = time.Duration(1 << 62)
)

func newServer(workload Workload, zone int) *server {
	return &server{
		zone: zone, downAt: never, slots: make([]time.Duration, workload.Slots),
		connections: make([][]time.Duration, workload.Zones), limit: workload.Connections / workload.Zones,
	}
}

// start empties the server.
func (s *server) start(now time.Duration) {
	s.up = true
	s.leaving = false
	s.readyAt = now
	clear(s.slots)
	for router := range s.connections {
		s.connections[router] = s.connections[router][:0]
	}
}

func (s *server) accepts() bool {
	return s.up && !s.leaving
}

// earliest returns the position of the time that comes first.
func earliest(times []time.Duration) int {
	first := 0
	for position, at := range times {
		if at < times[first] {
			first = position
		}
	}
	return first
}

// connect returns when a connection from a router is there for a request that
// is ready at a time, and which one it is.
func (s *server) connect(router int, at, cost time.Duration) (time.Duration, int) {
	open := s.connections[router]
	if len(open) > 0 {
		first := earliest(open)
		if open[first] <= at || len(open) == s.limit {
			return max(at, open[first]), first
		}
	}
	s.connections[router] = append(open, 0)
	return at + cost, len(open)
}

// slow is by what factor a request executes longer while the server is cold.
func (s *server) slow(at time.Duration) float64 {
	age := at - s.readyAt
	if age >= warmUp || s.readyAt == 0 {
		return 1
	}
	return 1 + coldFactor*(1-float64(age)/float64(warmUp))
}

// probe keeps a slot busy.
func (s *server) probe(now, cost time.Duration) {
	slot := earliest(s.slots)
	s.slots[slot] = max(s.slots[slot], now) + cost
}

// outcome is what becomes of one request.
type outcome struct {
	kind outcomeKind
	// at is when the router has the answer.
	at time.Duration
}

type outcomeKind int

const (
	answered outcomeKind = iota
	// notRun: the deadline would have passed before the end.
	notRun
	// unknown: the server was lost with the request.
	unknown
)

// execute runs a request that a router sends at a time.
func (s *server) execute(workload Workload, router int, sent, deadline time.Duration, work time.Duration) outcome {
	way := time.Duration(0)
	if router != s.zone {
		way = workload.ZoneOneWay
	}
	connected, connection := s.connect(router, sent, workload.ConnectCost)
	slot := earliest(s.slots)
	begin := max(connected+way, s.slots[slot])
	end := begin + time.Duration(float64(work)*s.slow(begin))
	if end+way > deadline {
		return outcome{kind: notRun, at: connected + 2*way}
	}
	s.slots[slot] = end
	s.connections[router][connection] = end + way
	if end > s.downAt {
		return outcome{kind: unknown, at: s.downAt}
	}
	return outcome{kind: answered, at: end + way}
}
