package intake

import (
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/overload"
)

var (
	// ErrTooLarge is returned for a body beyond the limit.
	ErrTooLarge = eris.New("the body is larger than allowed")
	// ErrNoMemory is returned for a body for which there is no memory beside the others.
	ErrNoMemory = eris.New("no memory is left for the body of the request")
	// ErrEvicted is returned for a body that made no progress while memory or connections were short.
	ErrEvicted = eris.New("the body made no progress while memory or connections were short")
)

// reserveTimeout is how long a body waits for memory that evicted connections return.
const reserveTimeout = 300 * time.Millisecond

// Read reads the body of the request that a server with StreamRequestBody passes to its handler. maxBytes bounds its
// length. The memory is reserved by the connection, nil for no bound, until it is released. The errors are those of
// this package and of the connection; after any, the connection must be closed.
func Read(context *fasthttp.RequestCtx, maxBytes int, connection *overload.Connection, now clock.Clock) (Body, error) {
	stream := context.RequestBodyStream()
	if stream == nil {
		if !connection.Enter(now.Now(), overload.Serving) {
			return Body{}, ErrEvicted
		}
		return NewBody(context.Request.Body()), nil
	}
	length := context.Request.Header.ContentLength()
	if length > maxBytes {
		return Body{}, ErrTooLarge
	}
	if !connection.Enter(now.Now(), overload.Reading) {
		return Body{}, ErrEvicted
	}
	body, err := (&reader{stream: stream, maxBytes: maxBytes, connection: connection, clock: now}).read(length)
	if connection.Evicted() || err == nil && !connection.Enter(now.Now(), overload.Serving) {
		err = ErrEvicted
	}
	if err != nil {
		connection.Release()
		return Body{}, err
	}
	return body, nil
}

// ReadJoined is Read for handlers that need the body in one part, which it becomes the body of the request.
func ReadJoined(context *fasthttp.RequestCtx, maxBytes int, connection *overload.Connection, now clock.Clock) error {
	body, err := Read(context, maxBytes, connection, now)
	if err != nil {
		return err
	}
	if len(body.parts) > 1 && !Reserve(connection, now, int64(body.length)) {
		connection.Release()
		return ErrNoMemory
	}
	context.Request.SetBodyRaw(body.joined())
	return nil
}

// Answered counts an answer until the client has taken it. It must be called at the end of the handler.
func Answered(answer *fasthttp.Response, connection *overload.Connection, now clock.Clock) {
	if bytes := len(answer.Body()); bytes > overload.FreeBytes {
		connection.Take(now.Now(), int64(bytes))
	}
	connection.Enter(now.Now(), overload.Writing)
}

// reader reads one body.
type reader struct {
	stream     io.Reader
	maxBytes   int
	connection *overload.Connection
	clock      clock.Clock
	// allocated is the size of all parts, reserved what the connection has reserved for them.
	allocated int
	reserved  int
}

// read reads a body of the given length, or of unknown length if that is negative.
func (r *reader) read(length int) (Body, error) {
	if length >= 0 {
		part, err := r.newPart(length)
		if err != nil {
			return Body{}, err
		}
		_, err = r.fill(part)
		if errors.Is(err, errEnd) {
			err = io.ErrUnexpectedEOF
		}
		return NewBody(part), err
	}
	body, err := r.readParts()
	if err != nil || body.length > maxJoinedBytes || !r.reserve(body.length) {
		return body, err
	}
	return NewBody(body.joined()), nil
}

// readParts reads a body of unknown length.
func (r *reader) readParts() (Body, error) {
	var body Body
	for size := firstPartBytes; ; size = min(2*size, maxPartBytes) {
		part, err := r.newPart(min(size, r.maxBytes+1-body.length))
		if err != nil {
			return Body{}, err
		}
		count, err := r.fill(part)
		body.parts = append(body.parts, part[:count])
		body.length += count
		switch {
		case body.length > r.maxBytes:
			return Body{}, ErrTooLarge
		case errors.Is(err, errEnd):
			return body, nil
		case err != nil:
			return Body{}, err
		}
	}
}

// errEnd is returned by fill if the body ends before the part is full.
var errEnd = eris.New("end of the body")

// fill reads until a part is full. For a part that the body does not fill, the error is errEnd.
func (r *reader) fill(part []byte) (int, error) {
	filled := 0
	for filled < len(part) {
		count, err := r.stream.Read(part[filled:])
		filled += count
		r.connection.Passed(r.clock.Now(), count)
		if errors.Is(err, io.EOF) && filled < len(part) {
			return filled, errEnd
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return filled, err
		}
	}
	return filled, nil
}

// newPart returns memory for a part, once it is reserved.
func (r *reader) newPart(size int) ([]byte, error) {
	r.allocated += size
	if !r.reserve(r.allocated - overload.FreeBytes - r.reserved) {
		return nil, ErrNoMemory
	}
	return make([]byte, size), nil
}

// reserve reserves further memory.
func (r *reader) reserve(bytes int) bool {
	if bytes <= 0 {
		return true
	}
	reserved := Reserve(r.connection, r.clock, int64(bytes))
	if reserved {
		r.reserved += bytes
	}
	return reserved
}

// Reserve reserves memory for a connection; one that is nil has no bound. While there is none, it waits for a short time
// until evicted connections have returned theirs.
func Reserve(connection *overload.Connection, now clock.Clock, bytes int64) bool {
	if connection.Reserve(now.Now(), bytes) {
		return true
	}
	timeout := time.NewTimer(reserveTimeout)
	defer timeout.Stop()
	for {
		freed := connection.Freed()
		if connection.Reserve(now.Now(), bytes) {
			return true
		}
		select {
		case <-freed:
		case <-timeout.C:
			connection.Refused()
			return false
		}
		if connection.Evicted() {
			return false
		}
	}
}
