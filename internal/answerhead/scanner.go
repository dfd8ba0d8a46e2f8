package answerhead

import (
	"bytes"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// ErrMalformed rejects an answer whose head or trailers violate the grammar of HTTP/1.1 (RFC 9112). Whether its request ran
// is open.
var ErrMalformed = eris.New("the answer is malformed")

// scanner checks a head, or the trailers behind a body, whose bytes arrive in any number of parts. Each byte is looked at
// once. It is stricter than RFC 9112 requires of a recipient: lines end with CR LF, and a field is one line, so that nobody
// who reads the head further on can frame the answer differently. The zero value is for a head.
type scanner struct {
	state state
	// inTrailers is true if trailers are checked.
	inTrailers bool
	// line is the number of the current line, from 0.
	line int
	// status is the code in the status line, and statusDigits the number of its digits so far.
	status       int
	statusDigits int
	// nameSize is the number of bytes of the current name so far. differs is true if these are not the beginning of
	// transferEncoding, and chunked if there was a field of that name.
	nameSize int
	differs  bool
	chunked  bool
}

// transferEncoding is the name of the field that announces chunks, the only coding that the parser accepts.
var transferEncoding = []byte("transfer-encoding")

// newTrailerScanner returns a scanner of trailers.
func newTrailerScanner() scanner { return scanner{state: lineStart, inTrailers: true} }

// state is what the next byte of a head or of trailers belongs to.
type state uint8

const (
	beforeStatusLine state = iota
	emptyLineEnd           // the LF of an empty line before the status line
	inVersion
	beforeStatus
	inStatus
	inReason
	lineEnd // the LF of the status line or of a field
	lineStart
	inName
	inValue
	sectionEnd // the LF of the empty line behind the fields
	complete
)

var (
	// isToken tells which bytes the name of a field consists of (RFC 9110, 5.6.2).
	isToken = bytesOf("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
	// isText tells which bytes a status line and the value of a field consist of (RFC 9110, 5.5).
	isText = textBytes()
)

func bytesOf(text string) (set [256]bool) {
	for _, each := range []byte(text) {
		set[each] = true
	}
	return set
}

func textBytes() (set [256]bool) {
	const lastControl, deleteByte = 0x1f, 0x7f
	for each := range set {
		set[each] = each > lastControl && each != deleteByte || each == '\t'
	}
	return set
}

// scan checks the next bytes. It returns how many of them belong to the head or the trailers, which are complete if these are
// not all.
func (s *scanner) scan(data []byte) (used int, err error) {
	for used < len(data) && s.state != complete {
		used += s.skip(data[used:])
		if used == len(data) {
			break
		}
		if err := s.next(data[used]); err != nil {
			return used, err
		}
		used++
	}
	return used, nil
}

// skip passes over bytes of a name, a reason or a value, and returns their number.
func (s *scanner) skip(data []byte) int {
	switch s.state {
	case lineStart, inName:
		count := tokenPrefix(data)
		s.addToName(data[:count])
		return count
	case inReason, inValue:
		return textPrefix(data)
	default:
		return 0
	}
}

// addToName adds bytes to the name of a field, which begins at the start of a line.
func (s *scanner) addToName(part []byte) {
	if len(part) == 0 {
		return
	}
	if s.state == lineStart {
		s.state, s.nameSize, s.differs = inName, 0, false
	}
	end := s.nameSize + len(part)
	s.differs = s.differs || end > len(transferEncoding) || !bytes.EqualFold(part, transferEncoding[s.nameSize:end])
	s.nameSize = end
}

// tokenPrefix returns the number of leading bytes that belong to a token.
func tokenPrefix(data []byte) int {
	for index, each := range data {
		if !isToken[each] {
			return index
		}
	}
	return len(data)
}

// textPrefix returns the number of leading bytes that are text.
func textPrefix(data []byte) int {
	index := 0
	for index+wordBytes <= len(data) && !hasControlByte(binary.LittleEndian.Uint64(data[index:])) {
		index += wordBytes
	}
	for index < len(data) && isText[data[index]] {
		index++
	}
	return index
}

// wordBytes is the number of bytes that textPrefix looks at together.
const wordBytes = 8

// hasControlByte reports whether one of the eight bytes of a word is a control byte, a tab included.
func hasControlByte(word uint64) bool {
	const ones, highBits = 0x0101010101010101, 0x8080808080808080
	deleted := word ^ ones*0x7f // zero where a byte is DEL
	return ((word-ones*0x20)&^word|(deleted-ones)&^deleted)&highBits != 0
}

// next checks one byte and changes the state.
func (s *scanner) next(each byte) error {
	if each == '\n' {
		return s.endLine()
	}
	switch s.state {
	case lineStart:
		if each == '\r' {
			s.state = sectionEnd
			return nil
		}
	case inName:
		if each == ':' {
			s.state = inValue
			s.chunked = s.chunked || !s.differs && s.nameSize == len(transferEncoding)
			return nil
		}
	case inValue:
		if each == '\r' {
			s.state = lineEnd
			return nil
		}
	default:
		return s.nextOfStatusLine(each)
	}
	return s.malformed(each)
}

// nextOfStatusLine checks one byte of the status line, or of an empty line before it.
func (s *scanner) nextOfStatusLine(each byte) error {
	switch {
	case s.state == beforeStatusLine && each == '\r':
		s.state = emptyLineEnd
	case s.state == emptyLineEnd || s.state == lineEnd || s.state == sectionEnd || each != '\r' && !isText[each]:
		return s.malformed(each)
	case s.state == beforeStatusLine:
		s.state = inVersion
	case each == '\r':
		s.state = lineEnd
		return s.checkStatus()
	case s.state == inVersion && each == ' ':
		s.state = beforeStatus
	case s.state == inStatus && each == ' ':
		s.state = inReason
		return s.checkStatus()
	case s.state == beforeStatus && each != ' ', s.state == inStatus:
		s.state = inStatus
		return s.addToStatus(each)
	}
	return nil
}

// addToStatus adds a digit to the status.
func (s *scanner) addToStatus(digit byte) error {
	if digit < '0' || digit > '9' || s.statusDigits == maxStatusDigits {
		return eris.Wrap(ErrInvalidStatus, "it is no number of three digits")
	}
	s.status = 10*s.status + int(digit-'0')
	s.statusDigits++
	return nil
}

// checkStatus checks a status that ends here.
func (s *scanner) checkStatus() error {
	if s.status < minStatus {
		return eris.Wrapf(ErrInvalidStatus, "it is %03d", s.status)
	}
	return nil
}

// endLine checks that a line ends where it may.
func (s *scanner) endLine() error {
	switch s.state {
	case emptyLineEnd:
		s.state = beforeStatusLine
	case lineEnd:
		s.state = lineStart
	case sectionEnd:
		s.state = complete
	default:
		return s.malformed('\n')
	}
	s.line++
	return nil
}

// malformed returns the error for a byte that may not come next. It tells the place, and none of the bytes.
func (s *scanner) malformed(each byte) error {
	section := "head"
	if s.inTrailers {
		section = "trailers"
	}
	return eris.Wrapf(ErrMalformed, "%s, line %d: %s", section, s.line+1, s.violation(each))
}

func (s *scanner) violation(each byte) string {
	switch {
	case each != '\n' && (s.state == emptyLineEnd || s.state == lineEnd || s.state == sectionEnd):
		return "CR without LF"
	case s.state == lineStart && (each == ' ' || each == '\t'):
		return "a blank before the name of a field"
	case s.state == lineStart && each == ':':
		return "a field without a name"
	case each == '\n' && s.state == inName:
		return "a field without a colon"
	case each == '\n':
		return "LF without CR"
	case s.state == inName && each == '\r':
		return "a field without a colon"
	case (s.state == lineStart || s.state == inName) && each == ' ':
		return "a blank in the name of a field"
	case s.state == lineStart || s.state == inName:
		return "a byte in the name of a field that is not allowed there"
	default:
		return "a control byte"
	}
}
