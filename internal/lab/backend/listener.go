package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// countingListener marks the connections beyond a limit, so that requests on
// them are refused in plain HTTP instead of by a reset.
type countingListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// countedConnection is one connection of a countingListener.
type countedConnection struct {
	net.Conn
	listener  *countingListener
	overLimit bool
	closed    sync.Once
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	overLimit := l.open.Add(1) > l.limit
	return &countedConnection{Conn: connection, listener: l, overLimit: overLimit}, nil
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
