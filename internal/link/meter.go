package link

import "sync/atomic"

// Direction is that of bytes on a link, as this machine sees them.
type Direction int

// Directions of a link that carries both at the same time.
const (
	In Direction = iota
	Out
	directions
)

// String returns the direction's name in logs and metrics.
func (d Direction) String() string { return [directions]string{"in", "out"}[d] }

// Directions returns both.
func Directions() []Direction { return []Direction{In, Out} }

// Kind says what bytes on a link belong to.
type Kind int

// Kinds of bytes.
const (
	// Bodies are those of callers' requests on the way in.
	Bodies Kind = iota
	// Answers are the bodies of answers: from instances on the way in, to callers on the way
	// out.
	Answers
	// Attempts are the bodies of requests that are sent to instances.
	Attempts
	// Directory is the stream of the directory, from controllers and other gateways.
	Directory
	// Demand are reports of what was asked for, to the leading controller.
	Demand
	// Places are messages about the places of instances, between gateways.
	Places
	// Overhead are heads of requests and answers, and what connections take.
	Overhead
	kinds
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [kinds]string{"bodies", "answers", "attempts", "directory", "demand", "places", "overhead"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Bodies, Answers, Attempts, Directory, Demand, Places, Overhead} }

// connectionBytes is what opening and closing a connection takes in each direction: three
// packets of 40 to 60 bytes.
const connectionBytes = 150

// Meter counts the bytes that pass a link. It is safe for concurrent use; the zero value
// is ready for use.
type Meter struct {
	counts [directions][kinds]atomic.Int64
	// streams are all bytes of the connections that carry requests, whatever they belong to.
	streams [directions]atomic.Int64
}

// Add counts bytes of one kind, Overhead excepted.
func (m *Meter) Add(direction Direction, kind Kind, bytes int) {
	m.counts[direction][kind].Add(int64(bytes))
}

// AddStream counts bytes of a connection that carries requests. What is not counted as one
// of their bodies is overhead.
func (m *Meter) AddStream(direction Direction, bytes int) {
	m.streams[direction].Add(int64(bytes))
}

// Opened counts a connection that carries requests.
func (m *Meter) Opened() {
	for _, direction := range Directions() {
		m.streams[direction].Add(connectionBytes)
	}
}

// Total returns the bytes of one kind that passed in a direction since the start.
func (m *Meter) Total(direction Direction, kind Kind) int64 {
	if kind != Overhead {
		return m.counts[direction][kind].Load()
	}
	overhead := m.streams[direction].Load()
	for _, body := range []Kind{Bodies, Answers, Attempts} {
		overhead -= m.counts[direction][body].Load()
	}
	// A body may be counted before its connection has carried the whole of it.
	return max(0, overhead)
}

// Passed returns all bytes that passed in a direction since the start.
func (m *Meter) Passed(direction Direction) int64 {
	passed := int64(0)
	for _, kind := range Kinds() {
		passed += m.Total(direction, kind)
	}
	return passed
}
