package answerhead

import "net"

// Guard returns a connection of a client that reads one answer after each request: reading fails at an answer with a
// malformed head or malformed trailers, or without a valid status. It is for clients of the library, which parse answers
// themselves.
func Guard(connection net.Conn) net.Conn { return &guarded{Conn: connection} }

type guarded struct {
	net.Conn
	// due is what comes next of the answer to the last request.
	due part
	// section checks the head or the trailers, chunks what is between them.
	section scanner
	chunks  chunkScanner
}

// part is a part of an answer that is checked.
type part uint8

const (
	// unchecked is a body with a length, or bytes behind an answer.
	unchecked part = iota
	head
	chunks
	trailers
)

// Write implements net.Conn.
func (g *guarded) Write(data []byte) (int, error) {
	g.due, g.section = head, scanner{}
	return g.Conn.Write(data)
}

// Read implements net.Conn.
func (g *guarded) Read(target []byte) (int, error) {
	count, err := g.Conn.Read(target)
	if invalid := g.check(target[:count]); invalid != nil {
		return 0, invalid
	}
	return count, err
}

// check looks at bytes that have arrived. A client that gets no byte of the part with a violation cannot take the answer for
// complete.
func (g *guarded) check(data []byte) error {
	for g.due != unchecked && len(data) > 0 {
		used, err := g.scan(data)
		if err != nil {
			return err
		}
		data = data[used:]
	}
	return nil
}

// scan checks bytes of the part that is due, and begins the next one behind it.
func (g *guarded) scan(data []byte) (used int, err error) {
	if g.due == chunks {
		used, err = g.chunks.scan(data)
		if g.chunks.state == lastChunk {
			g.due, g.section = trailers, newTrailerScanner()
		}
		return used, err
	}
	used, err = g.section.scan(data)
	switch {
	case g.section.state != complete:
	case g.due == trailers:
		g.due = unchecked
	case isInterim(g.section.status):
		g.section = scanner{}
	case g.section.chunked:
		g.due, g.chunks = chunks, chunkScanner{}
	default:
		g.due = unchecked
	}
	return used, err
}
