package intake

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/overload"
)

var (
	// ErrHeadTooLarge is returned for a head beyond the limit.
	ErrHeadTooLarge = eris.New("the head of the request is larger than allowed")
	// ErrOutgrown ends the work of a server on a connection whose next head does not fit into the server's buffer. It is a
	// net.ErrClosed, so that the server answers nothing and logs nothing.
	ErrOutgrown = fmt.Errorf("the head of the request does not fit into the buffer of the server: %w", net.ErrClosed)
)

const (
	// minHeadCopy is the size of the first copy of a head.
	minHeadCopy = 4 << 10
	// parsedHeads is how many times a parsed head takes its size besides the buffer that it is read into: its raw bytes and
	// its fields, in the request that came and in the one that is sent.
	parsedHeads = 3
)

// HeadReader reads the requests on a connection for a server whose parser needs each head whole in a buffer of a fixed size.
// It copies a head that may outgrow the buffer, into memory that is reserved as it grows. If it does, the server gets
// ErrOutgrown, and the HeadReader that Moved returns gives the same bytes to a server with a larger buffer. Only Outgrown may
// be called concurrently.
type HeadReader struct {
	source io.Reader
	// limit returns the largest size of a head in bytes. It is asked whenever bytes of a large head have come.
	limit func() int
	load  *overload.Connection
	clock clock.Clock
	// bufferBytes is the size of the server's buffer, and nextBytes that of the buffer which an outgrown head needs.
	bufferBytes int
	nextBytes   atomic.Int64

	// inHead is true from the end of a request until the end of the next head, and begun once a byte of that has come.
	inHead bool
	begun  bool
	ending headEnd
	// held has what has come since the first byte of the head, and nothing if the head cannot be moved. The server has got
	// the first passed bytes of it.
	held   []byte
	passed int
	// reserved is what the connection has reserved for held.
	reserved int
	failure  error
}

// NewHeadReader returns a reader for a connection on which the first request is due.
func NewHeadReader(source io.Reader, bufferBytes int, limit func() int, load *overload.Connection, now clock.Clock) *HeadReader {
	return &HeadReader{source: source, bufferBytes: bufferBytes, limit: limit, load: load, clock: now, inHead: true}
}

// Next begins the next head. It must be called when a request was answered.
func (r *HeadReader) Next() {
	// Bytes that are left have come with the request before.
	r.inHead = r.passed == len(r.held)
	r.begun, r.ending, r.reserved = false, headEnd{}, 0
	if r.inHead {
		r.held, r.passed = nil, 0
	}
}

// Began must be called when the server has the first byte of a head. It may have come with the request before, and is not
// known here then.
func (r *HeadReader) Began() {
	if !r.begun {
		r.inHead = false
	}
}

// BufferBytes returns the size of the server's buffer.
func (r *HeadReader) BufferBytes() int { return r.bufferBytes }

// Outgrown reports whether the server got ErrOutgrown.
func (r *HeadReader) Outgrown() bool { return r.nextBytes.Load() > 0 }

// Moved returns a reader of the same connection, from the first byte of the outgrown head on, and the size of the buffer that
// its server needs.
func (r *HeadReader) Moved() (moved *HeadReader, bufferBytes int) {
	bufferBytes = int(r.nextBytes.Load())
	return &HeadReader{
		source: r.source, limit: r.limit, load: r.load, clock: r.clock, bufferBytes: bufferBytes, held: r.held, begun: true,
	}, bufferBytes
}

// Read implements io.Reader. Errors are those of the connection, ErrHeadTooLarge, ErrNoMemory and ErrOutgrown. They are
// returned only after the first byte of a head.
func (r *HeadReader) Read(target []byte) (int, error) {
	switch {
	case r.failure != nil:
		return 0, r.failure
	case r.isBufferFull():
		r.failure = r.readRest()
		return 0, r.failure
	case r.passed < len(r.held):
		return r.pass(target), nil
	}
	count, err := r.source.Read(target)
	if r.inHead && count > 0 {
		count = r.follow(target[:count])
	}
	return count, err
}

// isBufferFull reports whether the server's buffer is full though the head has not ended.
func (r *HeadReader) isBufferFull() bool { return r.inHead && len(r.held) >= r.bufferBytes }

// pass gives the server bytes that are held.
func (r *HeadReader) pass(target []byte) int {
	count := copy(target, r.held[r.passed:])
	if r.passed += count; r.passed == len(r.held) {
		r.held, r.passed = nil, 0
	}
	return count
}

// follow looks at bytes of a head that the server is given, and returns how many of them it may get. The last byte that
// fits into its buffer is kept back, so that it reads once more.
func (r *HeadReader) follow(data []byte) int {
	isFirst := !r.begun
	r.begun = true
	isHeld := len(r.held) > 0 || isFirst && r.limit() > r.bufferBytes
	if !isHeld || r.ending.find(data) >= 0 || !r.hold(data) {
		r.inHead, r.held, r.passed = false, nil, 0
		return len(data)
	}
	kept := 0
	if r.isBufferFull() {
		kept = 1
	}
	r.passed = len(r.held) - kept
	return len(data) - kept
}

// hold copies bytes of the head. It reports false if there is no memory for them.
func (r *HeadReader) hold(data []byte) bool {
	if needed := len(r.held) + len(data); needed > cap(r.held) && !r.grow(max(needed, min(2*cap(r.held), r.bufferBytes))) {
		return false
	}
	r.held = append(r.held, data...)
	return true
}

// grow moves the copy to memory of a larger size. The smaller one is garbage then, which counts until it is collected.
func (r *HeadReader) grow(size int) bool {
	size = max(size, minHeadCopy)
	needed := max(0, size-overload.FreeBytes)
	if needed > 0 && !Reserve(r.load, r.clock, int64(needed)) {
		return false
	}
	r.held = append(make([]byte, 0, size), r.held...)
	r.load.Return(int64(r.reserved))
	r.reserved = needed
	return true
}

// readRest reads the rest of a head that fills the server's buffer. It returns ErrOutgrown if the head is within the limit.
func (r *HeadReader) readRest() error {
	for {
		limit := r.limit()
		if len(r.held) > limit {
			return ErrHeadTooLarge
		}
		known := len(r.held)
		if known == cap(r.held) && !r.grow(known+min(known, limit-known+1)) {
			return ErrNoMemory
		}
		count, err := r.source.Read(r.held[known:cap(r.held)])
		r.load.Passed(r.clock.Now(), count)
		r.held = r.held[:known+count]
		if length := r.ending.find(r.held[known:]); length >= 0 {
			return r.outgrow(known+length, limit)
		}
		if err != nil {
			return err
		}
	}
}

// outgrow reserves what a server needs for a head of the given size.
func (r *HeadReader) outgrow(size, limit int) error {
	if size > limit {
		return ErrHeadTooLarge
	}
	needed := r.bufferBytes
	for needed < size {
		needed *= 2
	}
	memory := int64(needed) + parsedHeads*int64(size)
	if !Reserve(r.load, r.clock, memory) {
		return ErrNoMemory
	}
	r.load.Keep(memory)
	r.nextBytes.Store(int64(needed))
	return ErrOutgrown
}
