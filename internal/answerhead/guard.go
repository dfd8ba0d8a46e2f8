package answerhead

import (
	"net"

	"github.com/rotisserie/eris"
)

// Guard returns a connection of a client that reads one answer after each request: reading fails at an answer without a
// valid status. It is for clients of the library, which parse answers themselves.
func Guard(connection net.Conn) net.Conn { return &guarded{Conn: connection} }

type guarded struct {
	net.Conn
	head scanner
	// due is true until the status line of the answer to the last request has been read.
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
	if !g.due {
		return count, err
	}
	_, invalid := g.head.scan(target[:count])
	if eris.Is(invalid, ErrInvalidStatus) {
		return 0, invalid
	}
	g.due = invalid == nil && g.head.state < lineEnd
	return count, err
}
