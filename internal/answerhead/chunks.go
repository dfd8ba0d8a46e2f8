package answerhead

import "github.com/rotisserie/eris"

// chunkScanner passes over the chunks of a body, whose bytes arrive in any number of parts, up to its trailers.
type chunkScanner struct {
	state chunkState
	// left is the number of bytes that are left of a chunk, or its size so far, and digits the number of digits of that.
	left   uint64
	digits int
}

// chunkState is what the next byte of chunks belongs to.
type chunkState uint8

const (
	inSize chunkState = iota
	inExtension
	sizeEnd // the LF of the line with the size
	inChunk
	chunkCR // the CR behind a chunk
	chunkLF // the LF behind a chunk
	lastChunk
)

const (
	hexBase = 16
	// maxSizeDigits is the number of digits of the largest size of a chunk.
	maxSizeDigits = 15
)

var errMalformedChunk = eris.Wrap(ErrMalformed, "the chunks of the body")

// scan checks the next bytes. It returns how many of them belong to chunks; the last chunk has ended if these are not all.
func (c *chunkScanner) scan(data []byte) (used int, err error) {
	for used < len(data) && c.state != lastChunk {
		if c.state == inChunk {
			count := min(c.left, uint64(len(data)-used))
			c.left -= count
			used += int(count)
			if c.left == 0 {
				c.state = chunkCR
			}
			continue
		}
		if err := c.next(data[used]); err != nil {
			return used, err
		}
		used++
	}
	return used, nil
}

// next checks one byte beside those of chunks, and changes the state.
func (c *chunkScanner) next(each byte) error {
	switch {
	case c.state == inSize:
		return c.nextOfSize(each)
	case c.state == inExtension && each == '\r':
		c.state = sizeEnd
	case c.state == inExtension && each != '\n':
	case c.state == sizeEnd && each == '\n' && c.left == 0:
		c.state = lastChunk
	case c.state == sizeEnd && each == '\n':
		c.state = inChunk
	case c.state == chunkCR && each == '\r':
		c.state = chunkLF
	case c.state == chunkLF && each == '\n':
		*c = chunkScanner{}
	default:
		return errMalformedChunk
	}
	return nil
}

// nextOfSize checks one byte of the size of a chunk, or the first one behind it.
func (c *chunkScanner) nextOfSize(each byte) error {
	digit := hexDigit(each)
	switch {
	case digit >= 0 && c.digits < maxSizeDigits:
		c.left = hexBase*c.left + uint64(digit)
		c.digits++
	case c.digits > 0 && each == '\r':
		c.state = sizeEnd
	case c.digits > 0 && (each == ';' || each == ' ' || each == '\t'):
		c.state = inExtension
	default:
		return errMalformedChunk
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(each byte) int {
	switch {
	case each >= '0' && each <= '9':
		return int(each - '0')
	case each >= 'a' && each <= 'f':
		return int(each-'a') + 10
	case each >= 'A' && each <= 'F':
		return int(each-'A') + 10
	default:
		return -1
	}
}
