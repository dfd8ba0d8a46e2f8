package intake

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"
)

const (
	// firstPartBytes and maxPartBytes are the sizes of the first and the largest part of a body of unknown length. Parts
	// double in size, so that a body takes at most twice its length, and large ones little more than it.
	firstPartBytes = 8 << 10
	maxPartBytes   = 1 << 20
	// maxJoinedBytes is the size up to which the parts of a body are copied into one.
	maxJoinedBytes = 1 << 20
)

// Body is the whole body of a request. A large one whose length was not known is in several parts. The zero value is
// an empty body.
type Body struct {
	parts  [][]byte
	length int
}

// NewBody returns a body in one part.
func NewBody(content []byte) Body { return Body{parts: [][]byte{content}, length: len(content)} }

// Len returns the length in bytes.
func (b Body) Len() int { return b.length }

// Parts returns the parts in order. They must not be changed.
func (b Body) Parts() [][]byte { return b.parts }

// SetTo sets the body of an outgoing request, which must be written before the memory of the body is released.
func (b Body) SetTo(request *fasthttp.Request) {
	switch len(b.parts) {
	case 0:
		request.SetBodyRaw(nil)
	case 1:
		request.SetBodyRaw(b.parts[0])
	default:
		request.SetBodyStream(b.reader(), b.length)
	}
}

func (b Body) reader() io.Reader {
	readers := make([]io.Reader, 0, len(b.parts))
	for _, part := range b.parts {
		readers = append(readers, bytes.NewReader(part))
	}
	return io.MultiReader(readers...)
}

// joined returns the body in one part.
func (b Body) joined() []byte {
	switch len(b.parts) {
	case 0:
		return nil
	case 1:
		return b.parts[0]
	}
	whole := make([]byte, 0, b.length)
	for _, part := range b.parts {
		whole = append(whole, part...)
	}
	return whole
}
