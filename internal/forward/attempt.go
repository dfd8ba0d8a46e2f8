package forward

import (
	"bufio"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// Attempt is one attempt of a request. Request must carry the attempt's identifier in
// the header Settings.IDHeader. Response receives the complete answer.
type Attempt struct {
	ID       string
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Timeout is the maximum duration of the whole attempt.
	Timeout time.Duration
	// Write, if not nil, schedules each write of the request: it must call write with data
	// when it is the attempt's turn. Nil means that data is written at once.
	Write func(data []byte, write func([]byte) (int, error)) (int, error)
	// Check, if not nil, is called right before the first byte is written, after the wait for a
	// connection and in Write. If it returns an error, nothing is written and the attempt ends
	// with that error.
	Check func() *fault.Error
	// Reserve, if not nil, is called before further memory is taken for a large answer, besides Settings.AnswerMemory. It
	// may wait. If it returns false, the answer is broken off and the attempt fails with the kind AnswerDropped. What it reserves is the caller's to return.
	Reserve func(bytes int64) bool
	// Unanswered is set by Do: true if the request was sent and no byte of an answer came.
	Unanswered bool
	// Unacknowledged is set by Do: true if the connection broke because bytes that were sent on it stayed
	// unacknowledged for wire.SilenceTimeout.
	Unacknowledged bool
	// Connection is set by Do: what the attempt met on its connection. It is zero if there was none.
	Connection ConnectionReport
	// Interrupt, if not nil, can abort the attempt from another goroutine, for example when the
	// caller has left.
	Interrupt *Interrupt
}

// Do makes the attempt. A nil error means that Response holds the complete answer to
// this attempt, which may be the back end's refusal. With the kinds ConnectFailed,
// SocketUnavailable and QueueFull nothing was written.
func (c *Client) Do(attempt *Attempt) *fault.Error {
	deadline := time.Now().Add(attempt.Timeout)
	connection, failure := c.acquire(attempt.ID, deadline)
	if failure != nil {
		return failure
	}
	if !attempt.Interrupt.attach(connection) {
		connection.release()
		return fault.New(fault.CancelledBeforeStart, "the caller left before the request was sent")
	}
	connection.beginAttempt(attempt)
	reusable, failure := c.exchange(connection, attempt, deadline)
	connection.endAttempt()
	attempt.Connection = connection.report
	attempt.Unanswered = connection.bytesWritten > 0 && connection.bytesRead == 0
	interrupted := !attempt.Interrupt.detach()
	if reusable && !interrupted {
		connection.release()
	} else {
		connection.close()
	}
	return failure
}

// exchange writes the request and reads the answer. It reports whether the connection
// may be reused for another attempt.
func (c *Client) exchange(connection *countingConnection, attempt *Attempt, deadline time.Time) (bool, *fault.Error) {
	if err := connection.SetDeadline(deadline); err != nil {
		return false, fault.Newf(fault.ConnectFailed, "set deadline: %v", err)
	}
	if err := c.write(connection, attempt.Request); err != nil {
		attempt.Unacknowledged = isTimeout(err) && time.Now().Before(deadline)
		return false, writeFailure(connection, err, deadline)
	}
	reader := c.pool.AcquireReader(connection)
	defer c.pool.ReleaseReader(reader)
	defer connection.releaseMemory()
	got, err := c.readAnswer(reader, connection, attempt)
	if err != nil {
		attempt.Unacknowledged = isTimeout(err) && time.Now().Before(deadline)
		return false, readFailure(connection, err, deadline)
	}
	if got != attempt.ID {
		c.settings.Traffic.Surplus(SurplusRejected)
		return false, fault.Newf(fault.AnswerMismatched, "the answer carries identifier %.64q instead of %q", got, attempt.ID)
	}
	reusable := !attempt.Response.ConnectionClose() && reader.Buffered() == 0 && !connection.carried.full()
	if connection.report.LeftOverBytes = reader.Buffered(); connection.report.LeftOverBytes > 0 {
		c.settings.Traffic.Surplus(SurplusBehind)
	}
	connection.setKeepAlive(attempt.Response.Header.Peek(fasthttp.HeaderKeepAlive))
	return reusable, nil
}

func (c *Client) write(connection net.Conn, request *fasthttp.Request) error {
	writer := c.pool.AcquireWriter(connection)
	defer c.pool.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

func writeFailure(connection *countingConnection, err error, deadline time.Time) *fault.Error {
	var rejected *fault.Error
	if eris.As(err, &rejected) {
		return rejected
	}
	if connection.bytesWritten == 0 {
		return fault.Newf(fault.ConnectFailed, "nothing could be written: %v", err)
	}
	if isTimeout(err) && !time.Now().Before(deadline) {
		return fault.New(fault.DeadlineExceeded, "the deadline passed while the request was written")
	}
	return fault.Newf(fault.ConnectionLost, "the connection broke while the request was written: %v", err)
}

func readFailure(connection *countingConnection, err error, deadline time.Time) *fault.Error {
	switch {
	case isTimeout(err) && !time.Now().Before(deadline):
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the back end's answer was whole")
	case eris.Is(err, errNoMemory):
		return fault.New(fault.AnswerDropped, errNoMemory.Error())
	case connection.bytesRead == 0:
		return fault.Newf(fault.ConnectionLost, "the connection broke before an answer came: %v", err)
	default:
		return fault.Newf(fault.AnswerTruncated, "the answer could not be read whole: %v", err)
	}
}

// isTimeout reports whether a deadline passed or, before the deadline of the attempt, sent bytes stayed
// unacknowledged for wire.SilenceTimeout. It checks for the method Timeout rather than for a net.Error, because fasthttp
// reports an exceeded read deadline as an error of its own that is not a net.Error.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return eris.As(err, &timeout) && timeout.Timeout()
}

// errUnframed rejects an answer whose body ends with the connection, because a truncated
// answer would look complete.
var errUnframed = eris.New("the answer has neither Content-Length nor chunks")

// readAnswer reads one complete answer, behind surplus ones to earlier requests, and returns the identifier that it
// carries.
func (c *Client) readAnswer(reader *bufio.Reader, connection *countingConnection, attempt *Attempt) (id string, err error) {
	response := attempt.Response
	for {
		if err := answerhead.ReadFinal(reader, &response.Header); err != nil {
			return "", err
		}
		id = string(response.Header.Peek(c.settings.IDHeader))
		if !connection.maySkip(id, attempt.ID) {
			break
		}
		if err := c.skip(reader, connection, response); err != nil {
			return "", err
		}
	}
	if hasNoBody(attempt.Request, response) {
		response.SkipBody = attempt.Request.Header.IsHead()
		return id, nil
	}
	if response.Header.ContentLength() == lengthIdentity && !c.settings.AcceptUnframed {
		return "", errUnframed
	}
	return id, readBody(reader, response, connection, c.settings.MaxAnswerBytes)
}

func hasNoBody(request *fasthttp.Request, response *fasthttp.Response) bool {
	return request.Header.IsHead() || isBodiless(response.StatusCode())
}

// isBodiless reports whether no answer with a status has a body.
func isBodiless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
