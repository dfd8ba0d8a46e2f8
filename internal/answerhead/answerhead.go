package answerhead

import (
	"bufio"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// maxStatusDigits is the number of digits of a status, and minStatus the lowest one.
	maxStatusDigits = 3
	minStatus       = 100
	// maxInterimAnswers bounds the interim answers before a final one.
	maxInterimAnswers = 5
)

var (
	// ErrInvalidStatus rejects an answer without a valid status. Whether its request ran is open.
	ErrInvalidStatus = eris.New("the answer has no valid status")
	// ErrSwitched rejects an answer that switches to another protocol, which was not asked for.
	ErrSwitched = eris.New("the answer switches to another protocol")

	errTooManyInterim = eris.New("too many interim answers")
)

// isInterim reports whether another answer follows to the same request.
func isInterim(status int) bool {
	return status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

// ReadFinal reads the head of an answer, behind interim ones. Nothing of a head is parsed before it is complete and
// checked. Errors of the reader are wrapped. No error has bytes of the answer.
func ReadFinal(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterimAnswers {
		var head scanner
		if err := head.await(reader); err != nil {
			return err
		}
		if err := header.Read(reader); err != nil {
			return eris.Wrap(ErrMalformed, "the parser rejects the version, the length or the coding in the head") // its own error quotes the answer
		}
		switch {
		case head.status == fasthttp.StatusSwitchingProtocols:
			return ErrSwitched
		case !isInterim(head.status):
			return nil
		}
	}
	return errTooManyInterim
}

// ReadTrailers reads the trailers behind the last chunk of a body. Nothing of them is parsed before they are complete and
// checked.
func ReadTrailers(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	trailers := newTrailerScanner()
	if err := trailers.await(reader); err != nil {
		return err
	}
	if err := header.ReadTrailer(reader); err != nil {
		return eris.Wrap(ErrMalformed, "the parser rejects a field in the trailers") // its own error quotes the answer
	}
	return nil
}

// await checks a head or trailers as they arrive, and leaves them in the reader's buffer.
func (s *scanner) await(reader *bufio.Reader) error {
	for checked := 0; ; {
		buffered, _ := reader.Peek(reader.Buffered()) // these bytes are there
		if _, err := s.scan(buffered[checked:]); err != nil || s.state == complete {
			return err
		}
		checked = len(buffered)
		_, err := reader.Peek(checked + 1)
		if eris.Is(err, bufio.ErrBufferFull) {
			return eris.Errorf("the head or the trailers of the answer are larger than %d bytes", reader.Size())
		}
		if err != nil {
			return eris.Wrapf(err, "the head or the trailers of the answer end after %d bytes", checked)
		}
	}
}
