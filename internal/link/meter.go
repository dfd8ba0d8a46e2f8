package link

import "sync/atomic"

// Direction is the direction of bytes on a link, as seen from this machine.
type Direction int

// Directions of a link that carries both at the same time.
const (
	In Direction = iota
	Out
	directions
)

// String returns the name of the direction in logs and metrics.
func (d Direction) String() string { return [directions]string{"in", "out"}[d] }

// Directions returns both directions.
func Directions() []Direction { return []Direction{In, Out} }

// Kind is the kind of traffic on a link.
type Kind int

// Kinds of bytes.
const (
	// Bodies are the bodies of callers' requests, on the way in.
	Bodies Kind = iota
	// Answers are the bodies of answers: from instances on the way in, to callers on the way out.
	Answers
	// Attempts are the bodies of requests sent to instances.
	Attempts
	// Directory is the directory stream from controllers and other gateways.
	Directory
	// Demand are the demand reports to the leading controller.
	Demand
	// Places are the messages between gateways about places at instances.
	Places
	// Overhead are the headers of requests and answers, and the overhead of connections.
	Overhead
	kinds
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [kinds]string{"bodies", "answers", "attempts", "directory", "demand", "places", "overhead"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Bodies, Answers, Attempts, Directory, Demand, Places, Overhead} }

// connectionBytes is the traffic in each direction for opening and closing a connection: three
// packets of 40 to 60 bytes.
const connectionBytes = 150

// Meter counts the bytes on a link. It is safe for concurrent use. The zero value is ready to use.
type Meter struct {
	counts [directions][kinds]atomic.Int64
	// streams are all bytes of the connections that carry requests, of any kind.
	streams [directions]atomic.Int64
}

// Add counts bytes of any kind except Overhead.
func (m *Meter) Add(direction Direction, kind Kind, bytes int) {
	m.counts[direction][kind].Add(int64(bytes))
}

// AddStream counts bytes of a connection that carries requests. Those that are not also counted as
// bodies are overhead.
func (m *Meter) AddStream(direction Direction, bytes int) {
	m.streams[direction].Add(int64(bytes))
}

// Opened counts the opening and closing of a connection that carries requests.
func (m *Meter) Opened() {
	for _, direction := range Directions() {
		m.streams[direction].Add(connectionBytes)
	}
}

// Total returns the bytes of one kind in a direction since the start.
func (m *Meter) Total(direction Direction, kind Kind) int64 {
	if kind != Overhead {
		return m.counts[direction][kind].Load()
	}
	overhead := m.streams[direction].Load()
	for _, body := range []Kind{Bodies, Answers, Attempts} {
		overhead -= m.counts[direction][body].Load()
	}
	// A body may be counted before its connection has transferred all of it.
	return max(0, overhead)
}

// Passed returns all bytes in a direction since the start.
func (m *Meter) Passed(direction Direction) int64 {
	passed := int64(0)
	for _, kind := range Kinds() {
		passed += m.Total(direction, kind)
	}
	return passed
}
