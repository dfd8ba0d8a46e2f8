package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/codec"
)

const (
	lengthBytes     = 4
	readBufferBytes = 32 << 10
	// keptBufferBytes is the largest buffer that is kept for the next frame.
	keptBufferBytes = 1 << 20
)

var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Conn sends and receives frames on one stream. Send and Close are safe for
// concurrent use; Receive must have one caller at a time.
type Conn struct {
	stream  net.Conn
	options Options
	reader  *bufio.Reader
	// frame is the last received one; its memory is used again.
	frame bytes.Buffer
	// writing holds one token while a Send writes.
	writing  chan struct{}
	closed   atomic.Bool
	sent     atomic.Uint64
	received atomic.Uint64
	// idle bounds the wait for the next bytes, in nanoseconds.
	idle atomic.Int64
}

// NewConn returns a Conn that owns the stream.
func NewConn(stream net.Conn, options Options) *Conn {
	tune(stream)
	options = options.withDefaults()
	connection := &Conn{stream: stream, options: options, writing: make(chan struct{}, 1)}
	connection.idle.Store(int64(options.IdleTimeout))
	connection.reader = bufio.NewReaderSize(progressReader{connection}, options.ReadBufferBytes)
	return connection
}

// SetIdleTimeout changes the bound of the wait for the next bytes, from the next read on.
func (c *Conn) SetIdleTimeout(idle time.Duration) { c.idle.Store(int64(idle)) }

// Send writes one value as a frame. It waits for other Sends until the context
// ends. An error that satisfies errors.Is(err, ErrNotSent) means that nothing
// was written and the connection is as before; any other error closes the
// connection, since a part of the frame may be out.
func (c *Conn) Send(ctx context.Context, value any) error {
	buffer := frameBuffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buffer)
	if err := encode(buffer, value); err != nil {
		return because(ErrNotSent, err)
	}
	return c.send(ctx, buffer.Bytes())
}

// SendFrame writes an encoded frame, like Send.
func (c *Conn) SendFrame(ctx context.Context, frame Frame) error {
	return c.send(ctx, frame.content)
}

func (c *Conn) send(ctx context.Context, frame []byte) error {
	if length := len(frame) - lengthBytes; length > c.options.MaxFrameBytes {
		return because(ErrNotSent, fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, length, c.options.MaxFrameBytes))
	}
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
	case <-ctx.Done():
		return because(ErrNotSent, ctx.Err())
	}
	if err := ctx.Err(); err != nil {
		return because(ErrNotSent, err)
	}
	if c.closed.Load() {
		return because(ErrNotSent, ErrClosed)
	}
	return c.write(ctx, frame)
}

// write sends a frame by one call, so that the kernel sees it whole. The write
// is cut off after WriteTimeout or at the context's deadline; a context that is
// cancelled meanwhile does not cut it off.
func (c *Conn) write(ctx context.Context, frame []byte) error {
	deadline := time.Now().Add(c.options.WriteTimeout)
	if earlier, set := ctx.Deadline(); set && earlier.Before(deadline) {
		deadline = earlier
	}
	if err := c.stream.SetWriteDeadline(deadline); err != nil {
		c.Close()
		return because(ErrNotSent, err)
	}
	count, err := c.stream.Write(frame)
	c.sent.Add(uint64(count))
	c.options.Passed(0, count)
	if err == nil {
		return nil
	}
	c.Close()
	if count == 0 {
		return because(ErrNotSent, err)
	}
	return because(ErrConnectionLost, err)
}

func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= keptBufferBytes {
		frameBuffers.Put(buffer)
	}
}

// Receive reads one frame into value, a pointer. It returns io.EOF if the peer
// closed the connection between two frames, and an error that satisfies
// errors.Is(err, io.ErrUnexpectedEOF) if it closed within one. After any error
// the connection is closed.
func (c *Conn) Receive(value any) error {
	err := c.receive(value)
	if err != nil {
		c.Close()
	}
	return err
}

func (c *Conn) receive(value any) error {
	length, compressed, err := c.receiveLength()
	if err != nil {
		return err
	}
	if err := c.receiveContent(length); err != nil {
		return err
	}
	err = c.decode(compressed, value)
	if c.frame.Cap() > keptBufferBytes {
		c.frame = bytes.Buffer{}
	}
	return err
}

// decode reads the value out of the received frame.
func (c *Conn) decode(compressed bool, value any) error {
	if !compressed {
		return codec.Unmarshal(c.frame.Bytes(), value)
	}
	plain, err := decompress(c.frame.Bytes(), c.options.MaxFrameBytes)
	if err != nil {
		return err
	}
	defer releaseBuffer(plain)
	return codec.Unmarshal(plain.Bytes(), value)
}

func (c *Conn) receiveLength() (length int64, compressed bool, err error) {
	var header [lengthBytes]byte
	count, err := io.ReadFull(c.reader, header[:])
	c.received.Add(uint64(count))
	if errors.Is(err, io.EOF) {
		return 0, false, io.EOF
	}
	if err != nil {
		return 0, false, eris.Wrap(err, "receive frame")
	}
	announced := binary.BigEndian.Uint32(header[:])
	length = int64(announced &^ compressedFlag)
	if length > int64(c.options.MaxFrameBytes) {
		return 0, false, fmt.Errorf("%w: received length %d, limit %d", ErrFrameTooLarge, length, c.options.MaxFrameBytes)
	}
	return length, announced&compressedFlag != 0, nil
}

// receiveContent reads the rest of a frame. Memory grows with what arrives, not
// with what the peer claims.
func (c *Conn) receiveContent(length int64) error {
	c.frame.Reset()
	count, err := io.CopyN(&c.frame, c.reader, length)
	c.received.Add(uint64(count))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return eris.Wrap(err, "receive frame")
}

// progressReader reads from a stream and gives up once no byte came for a time, however
// long the frame is: a narrow link needs its time for a long one.
type progressReader struct{ connection *Conn }

// Read implements io.Reader.
func (r progressReader) Read(target []byte) (int, error) {
	stream := r.connection.stream
	if err := stream.SetReadDeadline(time.Now().Add(time.Duration(r.connection.idle.Load()))); err != nil {
		return 0, eris.Wrap(err, "set the read deadline")
	}
	count, err := stream.Read(target)
	r.connection.options.Passed(count, 0)
	return count, err
}

// Close ends the connection; blocked calls return. It may be called repeatedly.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.stream.Close() // nothing can be done about a failure
	}
}

// BytesSent returns the bytes written, frame lengths included.
func (c *Conn) BytesSent() uint64 { return c.sent.Load() }

// BytesReceived returns the bytes read, frame lengths included.
func (c *Conn) BytesReceived() uint64 { return c.received.Load() }

// PeerName returns the common name of the peer's certificate, or false on a
// plain connection. On the accepting side it is known once a frame was received.
func (c *Conn) PeerName() (string, bool) { return certificate.PeerName(c.stream) }

// PeerUnits returns the organizational units of the peer's certificate, as PeerName does its name.
func (c *Conn) PeerUnits() []string { return certificate.PeerUnits(c.stream) }

// RemoteAddress returns the peer's address, for logs.
func (c *Conn) RemoteAddress() string { return c.stream.RemoteAddr().String() }

// awaitClose reads until the peer closes the connection or Close is called. It
// is for connections on which the peer sends nothing.
func (c *Conn) awaitClose() {
	var discarded [1]byte
	_ = c.stream.SetReadDeadline(time.Time{}) // a failure shows in the read
	_, _ = c.stream.Read(discarded[:])        // any result means the end
}
