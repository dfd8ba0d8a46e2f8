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

// callerInterval is the time between two looks whether callers are still there.
const callerInterval = 100 * time.Millisecond

// overdue is by how much the deadline of a request has passed when its attempt is given up here.
// Timers give it up in time, but for one whose machine was suspended: they stand still then.
const overdue = 100 * time.Millisecond

// callers watches the connections of requests that wait for their answer, and gives
// up the attempts of those whose caller has left or whose deadline has passed. It looks at each connection
// without reading from it, so that a request which waits behind stays whole. It is
// safe for concurrent use.
type callers struct {
	mutex   sync.Mutex
	last    uint64
	watched map[uint64]watched
}

type watched struct {
	// left returns the time until the request is given up.
	left       func() time.Duration
	connection syscall.RawConn
	interrupt  *forward.Interrupt
}

func newCallers() *callers { return &callers{watched: make(map[uint64]watched)} }

// watch begins to watch a connection and returns how to end it.
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
	c.last++
	number := c.last
	c.watched[number] = watched{left: current.left, connection: raw, interrupt: current.interrupt}
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.watched, number)
	}
}

// run looks at the connections until the context ends.
func (c *callers) run(ctx context.Context) {
	clock.Every(ctx, callerInterval, func() {
		c.look(func(each watched) bool { return hasLeft(each.connection) })
	})
}

// look gives up the attempts whose deadline has passed or whose caller has left.
func (c *callers) look(left func(watched) bool) {
	for _, each := range c.snapshot() {
		if each.left() < -overdue || left(each) {
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

// interrupted is the failure of an attempt that was given up: its caller left, or its deadline
// passed while the machine was suspended, which the timers of the attempt do not count.
func (r *request) interrupted() *fault.Error {
	if r.left() <= 0 {
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the instance's answer was whole")
	}
	return fault.New(fault.ConnectionLost, "the caller left")
}

// hasLeft reports whether the peer closed or reset a connection. Bytes that wait
// say that it is there.
func hasLeft(connection syscall.RawConn) bool {
	left := false
	err := connection.Control(func(descriptor uintptr) { left = peek(descriptor) == 0 })
	return err != nil || left
}

// nothingYet is what peek returns for an open connection without unread bytes.
const nothingYet = -1

// peek looks at a connection without reading from it. It returns 1 if bytes wait, 0 if the peer
// closed or reset it, and nothingYet otherwise.
func peek(descriptor uintptr) int {
	var buffer [1]byte
	count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return count
	case syscall.EAGAIN, syscall.EINTR:
		return nothingYet
	default:
		return 0
	}
}
