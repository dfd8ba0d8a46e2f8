package forward

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// countedConnection counts the bytes that the kernel accepted and gave, so
// that a failed attempt can tell whether anything was written.
type countedConnection struct {
	net.Conn
	traffic Traffic
	written int64
	read    int64
	// inTurn writes in the turn of the present attempt; nil for at once.
	inTurn func(data []byte, write func([]byte) (int, error)) (int, error)
	// check is asked right before the first byte of the present attempt is written; nil for
	// never.
	check func() *fault.Error
	// used is true once an attempt was made on the connection.
	used bool
	// keptUntil is when the back end may close the connection, as it said, by clock.BootTime; zero if
	// it said nothing.
	keptUntil time.Duration
}

// keepAliveMargin is taken off the time that a back end keeps a connection, so
// that no request crosses its close.
const keepAliveMargin = 500 * time.Millisecond

// keepFor takes the value of a header Keep-Alive.
func (c *countedConnection) keepFor(header []byte) {
	c.keptUntil = 0
	for part := range strings.SplitSeq(string(header), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			c.keptUntil = clock.BootTime() + time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}

// reusable reports whether another attempt may be made on a kept connection.
func (c *countedConnection) reusable() bool {
	if c.keptUntil != 0 && clock.BootTime() > c.keptUntil {
		return false
	}
	return c.idle()
}

// Write implements net.Conn.
func (c *countedConnection) Write(data []byte) (int, error) {
	if c.inTurn != nil {
		return c.inTurn(data, c.write)
	}
	return c.write(data)
}

func (c *countedConnection) write(data []byte) (int, error) {
	if c.written == 0 && c.check != nil {
		if failure := c.check(); failure != nil {
			return 0, failure
		}
	}
	count, err := c.Conn.Write(data)
	c.written += int64(count)
	c.traffic.Passed(0, count)
	return count, err
}

// Read implements net.Conn.
func (c *countedConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.read += int64(count)
	c.traffic.Passed(count, 0)
	return count, err
}

// begin starts the count of a new attempt.
func (c *countedConnection) begin(attempt *Attempt) {
	c.inTurn = attempt.Write
	c.check = attempt.Check
	c.written = 0
	c.read = 0
	c.used = true
}

// idle reports whether a kept connection is still open and silent. A peer that
// closed it, or sent bytes that nobody asked for, makes it unusable.
func (c *countedConnection) idle() bool {
	systemConnection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := systemConnection.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	// Not raw.Read, which fails once the deadline of the last attempt has passed.
	err = raw.Control(func(descriptor uintptr) { silent = peekWouldBlock(int(descriptor)) })
	return err == nil && silent
}

func peekWouldBlock(descriptor int) bool {
	var buffer [1]byte
	_, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return eris.Is(err, syscall.EAGAIN)
}
