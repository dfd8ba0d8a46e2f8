package answerhead

import "net"

// maxLine bounds the bytes that are kept of a status line.
const maxLine = 64

// Guard returns a connection of a client that reads one answer after each request: reading fails at an answer without a
// valid status. It is for clients of the library, which parse answers themselves.
func Guard(connection net.Conn) net.Conn { return &guarded{Conn: connection} }

type guarded struct {
	net.Conn
	// line has the first bytes of the answer while its status is not known.
	line  []byte
	begun bool
}

// Write implements net.Conn.
func (g *guarded) Write(data []byte) (int, error) {
	g.line, g.begun = g.line[:0], true
	return g.Conn.Write(data)
}

// Read implements net.Conn.
func (g *guarded) Read(target []byte) (int, error) {
	count, err := g.Conn.Read(target)
	if !g.begun || count == 0 {
		return count, err
	}
	g.line = append(g.line, target[:min(count, maxLine-len(g.line))]...)
	line := firstLine(g.line)
	if line == nil && len(g.line) < maxLine {
		return count, err
	}
	if line == nil {
		line = g.line
	}
	g.begun = false
	if invalid := check(line); invalid != nil {
		return 0, invalid
	}
	return count, err
}
