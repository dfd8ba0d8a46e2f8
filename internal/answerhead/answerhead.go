package answerhead

import (
	"bufio"
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// statusDigits is the number of digits of a status, the first of which is not zero.
	statusDigits = 3
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

// check returns ErrInvalidStatus unless a status line has a status from 100 to 999.
func check(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimSpace(rest), []byte(" "))
	if len(code) != statusDigits || code[0] == '0' {
		return eris.Wrapf(ErrInvalidStatus, "status %.16q", code)
	}
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return eris.Wrapf(ErrInvalidStatus, "status %.16q", code)
		}
	}
	return nil
}

// ReadFinal reads the header of an answer, behind interim ones.
func ReadFinal(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterimAnswers {
		if line := peekLine(reader); line != nil {
			if err := check(line); err != nil {
				return err
			}
		}
		if err := header.Read(reader); err != nil {
			return err
		}
		switch status := header.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return ErrSwitched
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errTooManyInterim
}

// peekLine returns the first line that is not empty; nil if it does not come whole, which the parser will report.
func peekLine(reader *bufio.Reader) []byte {
	for {
		buffered, _ := reader.Peek(reader.Buffered()) // these bytes are there
		if line := firstLine(buffered); line != nil {
			return line
		}
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return nil
		}
	}
}

// firstLine returns the first line that is not empty; nil if that is not whole.
func firstLine(content []byte) []byte {
	line, _, whole := bytes.Cut(bytes.TrimLeft(content, "\r\n"), []byte("\n"))
	if !whole {
		return nil
	}
	return line
}
