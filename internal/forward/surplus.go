package forward

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
)

// maxSurplusAnswers is the number of surplus answers that one attempt skips. A back end that sends more of them is at
// fault in another way than by repeating an answer.
const maxSurplusAnswers = 8

// maySkip reports whether an answer that is not the one that is due may be skipped: it is a surplus one to an earlier
// request of this connection. An answer to a request that the connection never carried makes all that follows doubtful.
func (c *countingConnection) maySkip(got, due string) bool {
	// Behind a HEAD request it is not known whether a body follows the header of a surplus answer.
	return got != due && c.carried.has(got) && !c.carriedHead && c.report.SurplusAnswers < maxSurplusAnswers
}

// skip reads the rest of a surplus answer, whose header was read, and drops it. An error means that it was not whole.
func (c *Client) skip(reader *bufio.Reader, connection *countingConnection, response *fasthttp.Response) error {
	size, err := discardBody(reader, response, c.settings.MaxAnswerBytes)
	if err != nil {
		return err
	}
	connection.report.SurplusAnswers++
	connection.report.SurplusBytes += size
	c.settings.Traffic.Surplus(SurplusSkipped)
	response.Reset()
	// What has arrived beyond the surplus answer is the beginning of the one that is due.
	connection.bytesRead = int64(reader.Buffered())
	return nil
}

// discardBody reads the body of an answer to a request other than HEAD, and returns its size.
func discardBody(reader *bufio.Reader, response *fasthttp.Response, limit int) (size int, err error) {
	length := response.Header.ContentLength()
	switch {
	case isBodiless(response.StatusCode()):
		return 0, nil
	case length > limit:
		return 0, errAnswerTooLarge
	case length >= 0:
		return reader.Discard(length)
	case length == lengthIdentity:
		return 0, errUnframed
	}
	count, err := io.Copy(io.Discard, io.LimitReader(httputil.NewChunkedReader(reader), int64(limit)+1))
	if err == nil && count > int64(limit) {
		err = errAnswerTooLarge
	}
	if err == nil {
		err = answerhead.ReadTrailers(reader, &response.Header)
	}
	return int(count), err
}
