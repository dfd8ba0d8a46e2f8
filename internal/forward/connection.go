package forward

import (
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// countingConnection counts the bytes that the kernel accepted and delivered, so that a
// failed attempt can tell whether anything was written.
type countingConnection struct {
	net.Conn
	traffic      Traffic
	bytesWritten int64
	bytesRead    int64
	// scheduleWrite is Attempt.Write of the current attempt.
	scheduleWrite func(data []byte, write func([]byte) (int, error)) (int, error)
	// readError is why the last read of the current attempt failed; nil if it did not or the peer ended the stream.
	readError error
	// memory is shared by all answers; reserved is what the current one has taken of it.
	memory   *AnswerMemory
	reserved int64
	// reserve is Attempt.Reserve of the current attempt.
	reserve func(bytes int64) bool
	// check is Attempt.Check of the current attempt.
	check func() *fault.Error
	// release returns the connection to its pool, close removes it from there.
	release, close func()
	// carried has the identifiers of all requests that the connection has carried, and endedAt is the clock.BootTime at
	// the end of the last one. report is that of the current attempt.
	carried  carriedIDs
	endedAt  time.Duration
	requests int
	number   uint64
	report   ConnectionReport
	// carriedHead is true once the connection has carried a HEAD request.
	carriedHead bool
	// reuseUntil is the clock.BootTime until which the connection may be reused according to the back
	// end's Keep-Alive header; zero if it sent none.
	reuseUntil time.Duration
}

// keepAliveMargin is subtracted from the time for which a back end keeps a connection
// open, so that no request is sent while the back end closes it.
const keepAliveMargin = 500 * time.Millisecond

// setKeepAlive applies the timeout in the value of a Keep-Alive header.
func (c *countingConnection) setKeepAlive(header []byte) {
	c.reuseUntil = 0
	for part := range strings.SplitSeq(string(header), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			c.reuseUntil = clock.BootTime() + time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}

// reusable reports whether another attempt may be made on a pooled connection.
func (c *countingConnection) reusable(idleTimeout time.Duration) bool {
	now := clock.BootTime()
	if c.reuseUntil != 0 && now > c.reuseUntil || now-c.endedAt > idleTimeout {
		return false
	}
	return c.idle()
}

// Write implements net.Conn.
func (c *countingConnection) Write(data []byte) (int, error) {
	if c.scheduleWrite != nil {
		return c.scheduleWrite(data, c.write)
	}
	return c.write(data)
}

func (c *countingConnection) write(data []byte) (int, error) {
	if c.bytesWritten == 0 && c.check != nil {
		if failure := c.check(); failure != nil {
			return 0, failure
		}
	}
	count, err := c.Conn.Write(data)
	c.bytesWritten += int64(count)
	c.traffic.Passed(0, count)
	return count, err
}

// Read implements net.Conn.
func (c *countingConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.bytesRead += int64(count)
	c.traffic.Passed(count, 0)
	if err != nil && !eris.Is(err, io.EOF) {
		c.readError = err
	}
	return count, err
}

// beginAttempt resets the byte counts for a new attempt.
func (c *countingConnection) beginAttempt(attempt *Attempt) {
	c.scheduleWrite = attempt.Write
	c.check = attempt.Check
	c.reserve = attempt.Reserve
	c.bytesWritten = 0
	c.bytesRead = 0
	c.readError = nil
	c.requests++
	c.carried.add(attempt.ID)
	c.carriedHead = c.carriedHead || attempt.Request.Header.IsHead()
	c.report = ConnectionReport{Number: c.number, Requests: c.requests}
}

// endAttempt records the end of the current attempt.
func (c *countingConnection) endAttempt() { c.endedAt = clock.BootTime() }

// idle reports whether a pooled connection is still open and has no bytes to read. It is
// unusable if the peer has closed it or has sent unrequested bytes.
func (c *countingConnection) idle() bool {
	systemConnection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := systemConnection.SyscallConn()
	if err != nil {
		return false
	}
	quiet, surplus := false, false
	// raw.Read would fail once the deadline of the last attempt has passed.
	err = raw.Control(func(descriptor uintptr) { quiet, surplus = peek(int(descriptor)) })
	if surplus {
		c.traffic.Surplus(SurplusIdle)
	}
	return err == nil && quiet
}

// peek reports whether a connection is open without bytes to read, and whether there are any.
func peek(descriptor int) (quiet, readable bool) {
	var buffer [1]byte
	count, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return eris.Is(err, syscall.EAGAIN), err == nil && count > 0
}
