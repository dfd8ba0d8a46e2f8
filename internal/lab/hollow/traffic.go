package hollow

import (
	"net"
	"sync/atomic"
)

// Traffic is what one kind of message amounted to, seen from the hollow side.
type Traffic struct {
	Messages uint64 `json:"messages"`
	// Received and Sent are bytes of TCP content, HTTP headers included.
	Received uint64 `json:"received"`
	Sent     uint64 `json:"sent"`
}

// Minus returns the traffic since an earlier reading.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{
		Messages: t.Messages - earlier.Messages,
		Received: t.Received - earlier.Received,
		Sent:     t.Sent - earlier.Sent,
	}
}

// counter counts the traffic of one kind. It is safe for concurrent use.
type counter struct {
	messages atomic.Uint64
	received atomic.Uint64
	sent     atomic.Uint64
}

func (c *counter) read() Traffic {
	return Traffic{Messages: c.messages.Load(), Received: c.received.Load(), Sent: c.sent.Load()}
}

// countedListener hands out connections that count their bytes.
type countedListener struct {
	net.Listener
	hollow *backEnd
}

// Accept implements net.Listener. While the back end is silent further
// connections stay with the kernel, as those of a frozen process do: held ones
// would use up the file descriptors that all back ends share.
func (l countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.hollow.waitWhileSilent()
	return &countedConn{Conn: accepted}, nil
}

// countedConn counts bytes for the kind of its last request. It has one user at
// a time, the goroutine that serves the connection.
type countedConn struct {
	net.Conn
	received uint64
	kind     *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received += uint64(count)
	return count, err
}

// Write implements net.Conn. What was received since the last write belongs to
// the message that this write answers.
func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	if c.kind != nil {
		c.kind.received.Add(c.received)
		c.kind.sent.Add(uint64(count))
		c.received = 0
	}
	return count, err
}

// take counts one message of a kind on the connection that it came by.
func (c *counter) take(connection net.Conn) {
	c.messages.Add(1)
	if counted, ok := connection.(*countedConn); ok {
		counted.kind = c
	}
}
