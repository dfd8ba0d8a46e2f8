package answerhead

import "net"

// Guard returns a connection of a client that reads one answer after each request: reading fails at an answer with a
// malformed head, or without a valid status. It is for clients of the library, which parse answers themselves.
func Guard(connection net.Conn) net.Conn { return &guarded{Conn: connection} }

type guarded struct {
	net.Conn
	head scanner
	// due is true until the final head that answers the last request has been read.
	due bool
}

// Write implements net.Conn.
func (g *guarded) Write(data []byte) (int, error) {
	g.head, g.due = scanner{}, true
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

// check looks at bytes that have arrived. A client that gets no byte of the part with a violation cannot take the head for
// complete.
func (g *guarded) check(data []byte) error {
	for g.due && len(data) > 0 {
		used, err := g.head.scan(data)
		if err != nil {
			return err
		}
		if g.head.state != complete {
			return nil
		}
		data = data[used:]
		g.due = isInterim(g.head.status)
		g.head = scanner{}
	}
	return nil
}
