package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
)

// callerPollInterval is the interval at which the callers' connections are checked.
const callerPollInterval = 100 * time.Millisecond

// overdueMargin is how long after its deadline the attempt of a request is aborted here. The timers of the
// attempt do so in time, unless the machine was suspended, during which they stand still.
const overdueMargin = 100 * time.Millisecond

// callers watches the connections of requests that wait for their answer, and aborts the attempts of those
// whose caller has disconnected or whose deadline has passed. It peeks at each connection without reading, so
// that a pipelined request stays complete. It is safe for concurrent use.
type callers struct {
	mutex      sync.Mutex
	lastNumber uint64
	watched    map[uint64]watched
}

type watched struct {
	// remaining returns the time until the deadline of the request.
	remaining  func() time.Duration
	connection syscall.RawConn
	interrupt  *forward.Interrupt
}

func newCallers() *callers { return &callers{watched: make(map[uint64]watched)} }

// watch starts watching a connection and returns a function that stops it.
func (c *callers) watch(connection net.Conn, current *request) (forget func()) {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return func() {}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastNumber++
	number := c.lastNumber
	c.watched[number] = watched{remaining: current.remaining, connection: raw, interrupt: current.interrupt}
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.watched, number)
	}
}

// run checks the connections until the context ends.
func (c *callers) run(ctx context.Context) {
	clock.Every(ctx, callerPollInterval, func() {
		c.poll(func(each watched) bool { return disconnected(each.connection) })
	})
}

// poll aborts the attempts whose deadline has passed or whose caller has disconnected.
func (c *callers) poll(disconnected func(watched) bool) {
	for _, each := range c.snapshot() {
		if each.remaining() < -overdueMargin || disconnected(each) {
			each.interrupt.Fire()
		}
	}
}

func (c *callers) snapshot() []watched {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	all := make([]watched, 0, len(c.watched))
	for _, each := range c.watched {
		all = append(all, each)
	}
	return all
}

// interrupted returns the failure of an aborted attempt: its caller disconnected, or its deadline passed while
// the machine was suspended, which the timers of the attempt do not count.
func (r *request) interrupted() *fault.Error {
	if r.remaining() <= 0 {
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the instance's answer was whole")
	}
	return fault.New(fault.ConnectionLost, "the caller left")
}

// disconnected reports whether the peer closed or reset a connection. Unread bytes prove that it is still
// there.
func disconnected(connection syscall.RawConn) bool {
	closed := false
	err := connection.Control(func(descriptor uintptr) { closed = peek(descriptor) == 0 })
	return err != nil || closed
}

// hasDisconnected reports whether the peer closed or reset a connection.
func hasDisconnected(connection net.Conn) bool {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	return err == nil && disconnected(raw)
}

// noUnreadBytes is what peek returns for an open connection without unread bytes.
const noUnreadBytes = -1

// peek checks a connection without reading from it. It returns 1 if there are unread bytes, 0 if the peer
// closed or reset the connection, and noUnreadBytes otherwise.
func peek(descriptor uintptr) int {
	var buffer [1]byte
	count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return count
	case syscall.EAGAIN, syscall.EINTR:
		return noUnreadBytes
	default:
		return 0
	}
}
