package intake

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/overload"
)

// past is a deadline that ends a wait at once.
var past = time.Unix(1, 0)

// maxWriteBytes is the largest part of an answer that is written at a time, so that the progress of a slow reader is
// known.
const maxWriteBytes = 64 << 10

const (
	// lingerTimeout bounds the time for a client to take an answer that ends its connection: some round trips.
	lingerTimeout = time.Second
	// lingerBytes is the size of the buffer for what the client still sends.
	lingerBytes = 4 << 10
)

// Bounded is a connection that takes a part of a budget.
type Bounded interface {
	// Load returns what the connection takes; nil if it has no bound.
	Load() *overload.Connection
}

// LoadOf returns what a connection takes of a budget, also below TLS; nil for a connection without a bound.
func LoadOf(connection net.Conn) *overload.Connection {
	if secured, isSecured := connection.(interface{ NetConn() net.Conn }); isSecured {
		connection = secured.NetConn()
	}
	if bounded, isBounded := connection.(Bounded); isBounded {
		return bounded.Load()
	}
	return nil
}

// Follow applies the state of a server's connection to what it takes of a budget.
func Follow(load *overload.Connection, now time.Duration, change fasthttp.ConnState) {
	switch change {
	case fasthttp.StateActive:
		load.Enter(now, overload.Reading)
	case fasthttp.StateIdle:
		load.Release()
		load.Enter(now, overload.Idle)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		load.Close()
	}
}

// listener admits connections to a budget.
type listener struct {
	net.Listener
	budget *overload.Budget
	clock  clock.Clock
}

// Listen returns a listener that admits connections to a budget, and closes those that it refuses.
func Listen(inner net.Listener, budget *overload.Budget, now clock.Clock) net.Listener {
	return &listener{Listener: inner, budget: budget, clock: now}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := Admit(accepted, l.budget, l.clock); admitted != nil {
			return admitted, nil
		}
		_ = accepted.Close() // nothing was read
	}
}

// Connection is a client's connection that takes a part of a budget.
type Connection struct {
	net.Conn
	clock clock.Clock
	load  *overload.Connection
	// lingers is true if the client may still send while the connection is closed.
	lingers atomic.Bool
}

var (
	_ overload.Client = (*Connection)(nil)
	_ syscall.Conn    = (*Connection)(nil)
)

// Admit returns a connection that takes a part of a budget until it is closed, or nil if the budget refuses it.
func Admit(inner net.Conn, budget *overload.Budget, now clock.Clock) *Connection {
	admitted := &Connection{Conn: inner, clock: now}
	if admitted.load = budget.Open(now.Now(), admitted); admitted.load == nil {
		return nil
	}
	return admitted
}

// Load implements Bounded.
func (c *Connection) Load() *overload.Connection { return c.load }

// Await calls wait, which waits for something other than the client, amid an answer.
func (c *Connection) Await(wait func()) {
	c.load.Hold()
	wait()
	c.load.Resume(c.clock.Now())
}

// Stalled implements overload.Client. A client whose bytes were not read yet waits for this process.
func (c *Connection) Stalled(phase overload.Phase) bool {
	return phase == overload.Writing || !HasUnread(c)
}

// Evict implements overload.Client. A request that is being read can still be refused.
func (c *Connection) Evict(phase overload.Phase) {
	if phase == overload.Writing {
		_ = c.Conn.Close() // the write fails
		return
	}
	c.EndWait()
}

// EndWait ends a wait for bytes of the client at once.
func (c *Connection) EndWait() {
	_ = c.Conn.SetReadDeadline(past) // fails if the connection is closed
}

// SetReadDeadline implements net.Conn.
func (c *Connection) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.load.Evicted() {
		// The eviction may have set its deadline before.
		err = c.Conn.SetReadDeadline(past)
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Connection) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// Write implements net.Conn.
func (c *Connection) Write(data []byte) (int, error) {
	written := 0
	for {
		count, err := c.Conn.Write(data[written:min(len(data), written+maxWriteBytes)])
		c.load.Passed(c.clock.Now(), count)
		written += count
		if err != nil || written >= len(data) {
			return written, err
		}
	}
}

// Linger lets Close wait until the client has taken the answer that was written. It is for answers to requests that were
// not read whole: the system resets a connection that is closed before its bytes were read, and the client may lose the
// answer by that.
func (c *Connection) Linger() { c.lingers.Store(true) }

// Close implements net.Conn.
func (c *Connection) Close() error {
	if c.lingers.Swap(false) {
		c.drain()
	}
	c.load.Close()
	return c.Conn.Close()
}

// drain ends the answer, and reads what the client still sends until it closes the connection or the time is over.
func (c *Connection) drain() {
	halfClosing, can := c.Conn.(interface{ CloseWrite() error })
	if !can || halfClosing.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return // the connection is closed already
	}
	buffer := make([]byte, lingerBytes)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// SyscallConn implements syscall.Conn.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	system, isSystem := c.Conn.(syscall.Conn)
	if !isSystem {
		return nil, eris.New("the connection has no descriptor")
	}
	return system.SyscallConn()
}

// HasUnread reports whether bytes of a connection were received and not read yet.
func HasUnread(connection syscall.Conn) bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return false // closed
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, _ = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // a failure is no byte
	})
	return err == nil && count > 0
}
