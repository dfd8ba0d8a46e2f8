package forward

import (
	"bufio"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Attempt is one sending of a request. Request must carry the attempt's
// identifier in the header that Settings name. Response takes a whole answer.
type Attempt struct {
	ID       string
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Timeout bounds the whole attempt.
	Timeout time.Duration
	// Write writes a part of the request by a function, in its turn; nil for at once.
	Write func(data []byte, write func([]byte) (int, error)) (int, error)
	// Check is asked right before the first byte is written, when the wait for a connection and
	// for a turn is over. Its failure ends the attempt; nothing was written then. Nil for no check.
	Check func() *fault.Error
	// Interrupt gives the attempt up when the caller leaves; nil for never.
	Interrupt *Interrupt
}

// Do makes the attempt. A nil error means that a whole answer to this attempt
// is in Response, which may be the back end's refusal. Otherwise the error is
// a *fault.Error; with ConnectFailed and QueueFull nothing was written.
func (c *Client) Do(attempt *Attempt) *fault.Error {
	end := time.Now().Add(attempt.Timeout)
	for {
		pooled, err := c.pool.AcquireConn(time.Until(end), false)
		if err != nil {
			return acquireFailure(err)
		}
		connection := pooled.Conn().(*countedConnection)
		if connection.used && !connection.reusable() {
			c.pool.CloseConn(pooled)
			continue
		}
		if !attempt.Interrupt.attach(connection) {
			c.pool.ReleaseConn(pooled)
			return fault.New(fault.CancelledBeforeStart, "the caller left before the request was sent")
		}
		connection.begin(attempt)
		reusable, failure := c.exchange(connection, attempt, end)
		interrupted := !attempt.Interrupt.detach()
		if reusable && !interrupted {
			c.pool.ReleaseConn(pooled)
		} else {
			c.pool.CloseConn(pooled)
		}
		return failure
	}
}

func acquireFailure(err error) *fault.Error {
	if eris.Is(err, fasthttp.ErrNoFreeConns) {
		return fault.New(fault.QueueFull, "all connections to the back end are in use")
	}
	return fault.Newf(fault.ConnectFailed, "connect to the back end: %v", err)
}

// exchange writes the request and reads the answer. It reports whether the
// connection may serve another attempt.
func (c *Client) exchange(connection *countedConnection, attempt *Attempt, end time.Time) (bool, *fault.Error) {
	if err := connection.SetDeadline(end); err != nil {
		return false, fault.Newf(fault.ConnectFailed, "set deadline: %v", err)
	}
	if err := c.write(connection, attempt.Request); err != nil {
		return false, writeFailure(connection, err)
	}
	reader := c.pool.AcquireReader(connection)
	defer c.pool.ReleaseReader(reader)
	if err := c.readAnswer(reader, attempt); err != nil {
		return false, readFailure(connection, err)
	}
	if got := string(attempt.Response.Header.Peek(c.settings.IDHeader)); got != attempt.ID {
		return false, fault.Newf(fault.AnswerMismatched, "the answer carries identifier %.64q instead of %q", got, attempt.ID)
	}
	reusable := !attempt.Response.ConnectionClose() && reader.Buffered() == 0
	connection.keepFor(attempt.Response.Header.Peek(fasthttp.HeaderKeepAlive))
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

func writeFailure(connection *countedConnection, err error) *fault.Error {
	var rejected *fault.Error
	if eris.As(err, &rejected) {
		return rejected
	}
	if connection.written == 0 {
		return fault.Newf(fault.ConnectFailed, "nothing could be written: %v", err)
	}
	if isTimeout(err) {
		return fault.New(fault.DeadlineExceeded, "the deadline passed while the request was written")
	}
	return fault.Newf(fault.ConnectionLost, "the connection broke while the request was written: %v", err)
}

func readFailure(connection *countedConnection, err error) *fault.Error {
	switch {
	case isTimeout(err):
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the back end's answer was whole")
	case connection.read == 0:
		return fault.Newf(fault.ConnectionLost, "the connection broke before an answer came: %v", err)
	default:
		return fault.Newf(fault.AnswerTruncated, "the answer could not be read whole: %v", err)
	}
}

// isTimeout asks for the one method Timeout, not for a net.Error: fasthttp turns
// a read deadline that passed into an error of its own, which is no net.Error.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return eris.As(err, &timeout) && timeout.Timeout()
}

// errUnframed: the end of the answer's body is the end of the connection, so
// that a cut answer would look like a whole one.
var errUnframed = eris.New("the answer has neither Content-Length nor chunks")

const maxInterimAnswers = 5

// readAnswer reads one whole answer.
func (c *Client) readAnswer(reader *bufio.Reader, attempt *Attempt) error {
	response := attempt.Response
	if err := readFinalHeader(reader, response); err != nil {
		return err
	}
	if bodyless(attempt.Request, response) {
		response.SkipBody = attempt.Request.Header.IsHead()
		return nil
	}
	const identity = -2
	const chunked = -1
	length := response.Header.ContentLength()
	if length == identity && !c.settings.AcceptUnframed {
		return errUnframed
	}
	if err := response.ReadBody(reader, c.settings.MaxAnswerBytes); err != nil {
		return err
	}
	if length == chunked {
		return response.Header.ReadTrailer(reader)
	}
	return nil
}

func readFinalHeader(reader *bufio.Reader, response *fasthttp.Response) error {
	for range maxInterimAnswers {
		if err := response.Header.Read(reader); err != nil {
			return err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return eris.New("too many interim answers")
}

func bodyless(request *fasthttp.Request, response *fasthttp.Response) bool {
	status := response.StatusCode()
	return request.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
