package overload

import (
	"sync/atomic"
	"time"
)

// Phase is what the process waits for on a connection.
type Phase int32

// Phases of a connection.
const (
	// Idle waits for a request.
	Idle Phase = iota
	// Reading waits for the rest of a request.
	Reading
	// Serving does not wait for the client: its request is being executed. It is never evicted.
	Serving
	// Writing waits until the client takes an answer.
	Writing
	// Evicted is being closed.
	Evicted
)

// progressBytes is the number of bytes that count as progress of a client: one that sends or takes byte by byte makes
// none.
const progressBytes = 1 << 10

// Client is the client's end of a connection.
type Client interface {
	// Stalled reports whether the process waits for the client, rather than the client for the process: for example,
	// no byte is there that was not read yet.
	Stalled(phase Phase) bool
	// Evict ends the wait for the client at once, so that the connection is closed. It must not block.
	Evict(phase Phase)
}

// Connection is one open connection. Its methods may be called concurrently with those of others, and with the eviction
// of this one, but not with each other.
type Connection struct {
	budget *Budget
	client Client
	phase  atomic.Int32
	// progressAt is the clock reading of the last progress of the client.
	progressAt atomic.Int64
	// bytes is what the connection has taken besides Limits.ConnectionBytes, and kept the part of it that Release leaves.
	bytes atomic.Int64
	kept  atomic.Int64
	// passed counts bytes towards the next progress.
	passed int
}

// Enter changes the phase. It reports false if the connection was evicted.
func (c *Connection) Enter(now time.Duration, phase Phase) bool {
	if c == nil {
		return true
	}
	for {
		current := c.phase.Load()
		if Phase(current) == Evicted {
			return false
		}
		if c.phase.CompareAndSwap(current, int32(phase)) {
			c.passed = 0
			c.progressAt.Store(int64(now))
			return true
		}
	}
}

func (c *Connection) enter(now time.Duration, phase Phase) {
	c.phase.Store(int32(phase))
	c.progressAt.Store(int64(now))
}

// Hold begins a wait of the process for something other than its client, amid an answer.
func (c *Connection) Hold() {
	if c != nil {
		c.phase.CompareAndSwap(int32(Writing), int32(Serving))
	}
}

// Resume ends the wait that Hold began.
func (c *Connection) Resume(now time.Duration) {
	if c != nil {
		c.progressAt.Store(int64(now))
		c.phase.CompareAndSwap(int32(Serving), int32(Writing))
	}
}

// Passed records bytes that the client sent or took.
func (c *Connection) Passed(now time.Duration, bytes int) {
	if c == nil {
		return
	}
	if c.passed += bytes; c.passed >= progressBytes {
		c.passed = 0
		c.progressAt.Store(int64(now))
	}
}

// Evicted reports whether the connection is being closed.
func (c *Connection) Evicted() bool { return c != nil && Phase(c.phase.Load()) == Evicted }

// Reserve takes memory for a body. If there is not enough, it takes nothing and evicts connections that hold some; the
// caller may try again once memory was freed. A nil connection has no bound.
func (c *Connection) Reserve(now time.Duration, bytes int64) bool {
	if c == nil {
		return true
	}
	missing := c.budget.take(bytes) - c.budget.limits.Bytes
	if missing <= 0 {
		c.bytes.Add(bytes)
		c.budget.collect()
		return true
	}
	c.budget.used.Add(-bytes)
	c.budget.evict(now, need{bytes: missing, spared: c})
	return false
}

// Freed returns a channel that is closed when memory is returned. Call it before an attempt to reserve.
func (c *Connection) Freed() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.budget.freed.Next()
}

// Take takes memory that is in use already, beyond the bound if need be, and evicts connections that hold some if there
// is not enough.
func (c *Connection) Take(now time.Duration, bytes int64) {
	if c == nil {
		return
	}
	c.bytes.Add(bytes)
	if missing := c.budget.take(bytes) - c.budget.limits.Bytes; missing > 0 {
		c.budget.evict(now, need{bytes: missing, spared: c})
	}
}

// Return returns a part of the memory that was reserved.
func (c *Connection) Return(bytes int64) {
	if c != nil {
		c.bytes.Add(-bytes)
		c.budget.returned(bytes)
	}
}

// Refused counts a request that was refused for lack of memory.
func (c *Connection) Refused() {
	if c != nil {
		c.budget.refused.Add(1)
	}
}

// Keep marks a part of the memory that was reserved as one that the connection needs until it is closed.
func (c *Connection) Keep(bytes int64) {
	if c != nil {
		c.kept.Add(bytes)
	}
}

// Release returns the memory that the connection has taken for requests and answers, except what it keeps.
func (c *Connection) Release() {
	if c == nil {
		return
	}
	for {
		taken := c.bytes.Load()
		kept := min(taken, c.kept.Load())
		if c.bytes.CompareAndSwap(taken, kept) {
			c.budget.returned(taken - kept)
			return
		}
	}
}

// Close returns everything. It may be called repeatedly, and concurrently with Release.
func (c *Connection) Close() {
	if c == nil {
		return
	}
	c.kept.Store(0)
	c.Release()
	c.budget.mutex.Lock()
	_, open := c.budget.connections[c]
	delete(c.budget.connections, c)
	c.budget.mutex.Unlock()
	if open {
		c.budget.release(c.budget.limits.ConnectionBytes)
	}
}
