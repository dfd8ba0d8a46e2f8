package forward

import (
	"bufio"
	"io"
	"net/http/httputil"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
)

// Content-Lengths that fasthttp reports for a body that comes in chunks, and for one that ends with its connection.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

const (
	// firstSegmentBytes is the size of the first segment of a body of unknown length. Each further one is as large as
	// all before it, up to maxSegmentBytes.
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 64 << 10
)

var errAnswerTooLarge = eris.New("the answer is larger than max_answer_bytes")

// readBody reads the body of an answer and its trailers. Memory is reserved before it is allocated, and a chunk takes
// what arrives of it, whatever size it announces.
func readBody(reader *bufio.Reader, response *fasthttp.Response, connection *countingConnection, limit int) error {
	length := response.Header.ContentLength()
	if length > limit {
		return errAnswerTooLarge
	}
	if length >= 0 && length <= freeAnswerBytes {
		return response.ReadBody(reader, limit)
	}
	if length == lengthChunked {
		return readChunks(reader, response, connection, limit)
	}
	response.StreamBody = true
	err := response.ReadBody(reader, limit) // reads nothing yet
	response.StreamBody = false
	if err != nil {
		return err
	}
	body, err := connection.readStream(response.BodyStream(), length, limit)
	if closed := response.CloseBodyStream(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	response.SwapBody(body) // routers take it by SwapBody, which ignores a raw body
	if length == lengthIdentity {
		response.Header.SetContentLength(len(body))
	}
	return nil
}

// readChunks reads a body that comes in chunks, and its trailers.
func readChunks(reader *bufio.Reader, response *fasthttp.Response, connection *countingConnection, limit int) error {
	body, err := connection.readStream(httputil.NewChunkedReader(reader), lengthChunked, limit)
	if err != nil {
		return err
	}
	if err := answerhead.ReadTrailers(reader, &response.Header); err != nil {
		return err
	}
	response.SwapBody(body) // routers take it by SwapBody, which ignores a raw body
	return nil
}

// readStream reads a whole body. Length is negative if it is not known.
func (c *countingConnection) readStream(stream io.Reader, length, limit int) (body []byte, err error) {
	if length >= 0 {
		body, err = c.readSized(stream, length)
	} else {
		body, err = c.readSegments(stream, limit)
	}
	if err != nil && c.readError != nil {
		// The parser may have hidden that the deadline passed.
		err = c.readError
	}
	return body, err
}

func (c *countingConnection) readSized(stream io.Reader, length int) ([]byte, error) {
	if err := c.reserveFor(int64(length)); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(stream, body)
	return body, err
}

// readSegments reads a body of unknown length in segments, and joins them.
func (c *countingConnection) readSegments(stream io.Reader, limit int) ([]byte, error) {
	var segments [][]byte
	capacity := 0
	for {
		size := min(max(firstSegmentBytes, capacity), maxSegmentBytes)
		capacity += size
		if err := c.reserveFor(int64(capacity)); err != nil {
			return nil, err
		}
		segment, ended, err := readSegment(stream, make([]byte, size))
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment)
		total := capacity - size + len(segment)
		if total > limit {
			return nil, errAnswerTooLarge
		}
		if ended {
			return c.join(segments, capacity, total)
		}
	}
}

// readSegment fills a segment, unless the body ends before.
func readSegment(stream io.Reader, segment []byte) (filled []byte, ended bool, err error) {
	count := 0
	for count < len(segment) {
		read, err := stream.Read(segment[count:])
		count += read
		if err == io.EOF {
			return segment[:count], true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return segment, false, nil
}

// join returns a body in one piece.
func (c *countingConnection) join(segments [][]byte, capacity, total int) ([]byte, error) {
	if len(segments) == 1 {
		return segments[0], nil
	}
	if err := c.reserveFor(int64(capacity + total)); err != nil {
		return nil, err
	}
	return slices.Concat(segments...), nil
}
