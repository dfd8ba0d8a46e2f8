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
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/codec"
)

const (
	lengthBytes     = 4
	readBufferBytes = 32 << 10
	// maxPooledBufferBytes is the largest buffer capacity that is kept for reuse.
	maxPooledBufferBytes = 1 << 20
)

var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Conn sends and receives frames on one stream. Send and Close are safe for
// concurrent use; Receive must have one caller at a time.
type Conn struct {
	stream  net.Conn
	options Options
	reader  *bufio.Reader
	// frame holds the content of the last received frame; its memory is reused.
	frame bytes.Buffer
	// writeToken holds a token while a Send is writing; unlike a mutex, a wait
	// for it can end with a context.
	writeToken chan struct{}
	closed     atomic.Bool
	sent       atomic.Uint64
	received   atomic.Uint64
	// idle bounds the wait for the next bytes, in nanoseconds.
	idle atomic.Int64
}

// NewConn returns a Conn that owns the stream.
func NewConn(stream net.Conn, options Options) *Conn {
	options = options.withDefaults()
	setTCPOptions(stream, options.SilenceTimeout)
	connection := &Conn{stream: stream, options: options, writeToken: make(chan struct{}, 1)}
	connection.idle.Store(int64(options.IdleTimeout))
	connection.reader = bufio.NewReaderSize(progressReader{connection}, options.ReadBufferBytes)
	return connection
}

// SetIdleTimeout sets how long a read waits for the next bytes, starting with the next read.
func (c *Conn) SetIdleTimeout(idle time.Duration) { c.idle.Store(int64(idle)) }

// SetSilenceTimeout sets how long sent bytes may stay unacknowledged. It has no effect on streams other than TCP.
func (c *Conn) SetSilenceTimeout(after time.Duration) {
	if connection, isTCP := tcpOf(c.stream); isTCP {
		EndOnSilence(connection, after)
	}
}

// Send writes one value as a frame. It waits for concurrent Sends until the
// context ends. An error that matches ErrNotSent means that nothing was written,
// and the connection stays open unless the stream itself failed; any other error
// closes the connection, since part of the frame may have been sent.
func (c *Conn) Send(ctx context.Context, value any) error {
	buffer := frameBuffers.Get().(*bytes.Buffer)
	defer releaseBuffer(buffer)
	if err := encode(buffer, value); err != nil {
		return newCallError(ErrNotSent, err)
	}
	return c.send(ctx, buffer.Bytes())
}

// SendFrame writes an encoded frame; its contract is that of Send.
func (c *Conn) SendFrame(ctx context.Context, frame Frame) error {
	return c.send(ctx, frame.content)
}

func (c *Conn) send(ctx context.Context, frame []byte) error {
	if length := len(frame) - lengthBytes; length > c.options.MaxFrameBytes {
		return newCallError(ErrNotSent, fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, length, c.options.MaxFrameBytes))
	}
	select {
	case c.writeToken <- struct{}{}:
		defer func() { <-c.writeToken }()
	case <-ctx.Done():
		return newCallError(ErrNotSent, ctx.Err())
	}
	if err := ctx.Err(); err != nil {
		return newCallError(ErrNotSent, err)
	}
	if c.closed.Load() {
		return newCallError(ErrNotSent, ErrClosed)
	}
	return c.write(ctx, frame)
}

// write sends a frame with one call, so that the kernel gets it whole. The write
// is aborted after WriteTimeout or at the context's deadline; cancelling the
// context during the write does not abort it.
func (c *Conn) write(ctx context.Context, frame []byte) error {
	deadline := time.Now().Add(c.options.WriteTimeout)
	if contextDeadline, set := ctx.Deadline(); set && contextDeadline.Before(deadline) {
		deadline = contextDeadline
	}
	if err := c.stream.SetWriteDeadline(deadline); err != nil {
		c.Close()
		return newCallError(ErrNotSent, err)
	}
	count, err := c.stream.Write(frame)
	c.sent.Add(uint64(count))
	c.options.Passed(0, count)
	if err == nil {
		return nil
	}
	c.Close()
	if count == 0 {
		return newCallError(ErrNotSent, err)
	}
	return newCallError(ErrConnectionLost, err)
}

func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBufferBytes {
		frameBuffers.Put(buffer)
	}
}

// Receive reads one frame into value, a pointer. It returns io.EOF if the peer
// closed the connection between two frames, and an error that matches
// io.ErrUnexpectedEOF if it closed within one. Any error closes the connection.
func (c *Conn) Receive(value any) error { return c.receiveWithin(value, c.options.MaxFrameBytes) }

// maxShortFrameBytes bounds the content of a short frame.
const maxShortFrameBytes = 16 << 10

// ReceiveShort is Receive for a value that is always short, such as the first of a peer that is not known yet. A frame
// above 16 KiB is an error, however large others may be.
func (c *Conn) ReceiveShort(value any) error {
	return c.receiveWithin(value, min(maxShortFrameBytes, c.options.MaxFrameBytes))
}

func (c *Conn) receiveWithin(value any, limit int) error {
	err := c.receive(value, limit)
	if err != nil {
		c.Close()
	}
	return err
}

func (c *Conn) receive(value any, limit int) error {
	length, compressed, err := c.receiveLength(limit)
	if err != nil {
		return err
	}
	if err := c.receiveContent(length); err != nil {
		return err
	}
	err = c.decode(compressed, value, limit)
	if c.frame.Cap() > maxPooledBufferBytes {
		c.frame = bytes.Buffer{}
	}
	return err
}

// decode decodes the content of the received frame into value.
func (c *Conn) decode(compressed bool, value any, limit int) error {
	if !compressed {
		return codec.Unmarshal(c.frame.Bytes(), value)
	}
	plain, err := decompress(c.frame.Bytes(), limit)
	if err != nil {
		return err
	}
	defer releaseBuffer(plain)
	return codec.Unmarshal(plain.Bytes(), value)
}

func (c *Conn) receiveLength(limit int) (length int64, compressed bool, err error) {
	var header [lengthBytes]byte
	count, err := io.ReadFull(c.reader, header[:])
	c.received.Add(uint64(count))
	if errors.Is(err, io.EOF) {
		return 0, false, io.EOF
	}
	if err != nil {
		return 0, false, eris.Wrap(err, "receive frame")
	}
	prefix := binary.BigEndian.Uint32(header[:])
	length = int64(prefix &^ compressedFlag)
	if length > int64(limit) {
		return 0, false, fmt.Errorf("%w: received length %d, limit %d", ErrFrameTooLarge, length, limit)
	}
	return length, prefix&compressedFlag != 0, nil
}

// receiveContent reads the content of a frame. Memory grows with the bytes that
// arrive, not with the length that the peer announces.
func (c *Conn) receiveContent(length int64) error {
	c.frame.Reset()
	count, err := io.CopyN(&c.frame, c.reader, length)
	c.received.Add(uint64(count))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return eris.Wrap(err, "receive frame")
}

// progressReader reads from the connection's stream and fails once no byte has arrived for
// the idle timeout, however long the whole frame takes: a long frame needs its time on a
// low-bandwidth link.
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

// Detach returns the stream, with the bytes that were received after the last frame, for another protocol. The
// connection must not be used for frames any more; closing it closes the stream.
func (c *Conn) Detach() net.Conn {
	_ = c.stream.SetReadDeadline(time.Time{}) // a broken stream reports it at the next read
	return &detachedStream{Conn: c.stream, reader: c.reader}
}

// detachedStream reads what was received after the last frame, then from the stream.
type detachedStream struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (s *detachedStream) Read(target []byte) (int, error) {
	if s.reader.Buffered() > 0 {
		return s.reader.Read(target)
	}
	return s.Conn.Read(target)
}

// SyscallConn implements syscall.Conn.
func (s *detachedStream) SyscallConn() (syscall.RawConn, error) {
	system, ok := s.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the stream has no descriptor")
	}
	return system.SyscallConn()
}

// Close closes the connection; blocked calls return. It may be called repeatedly.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.stream.Close() // nothing can be done about a failure
	}
}

// BytesSent returns the number of bytes written, including the length fields.
func (c *Conn) BytesSent() uint64 { return c.sent.Load() }

// BytesReceived returns the number of bytes read, including the length fields.
func (c *Conn) BytesReceived() uint64 { return c.received.Load() }

// PeerName returns the common name of the peer's certificate, or false on a connection
// without TLS. On the accepting side it is known once a frame has been received.
func (c *Conn) PeerName() (string, bool) { return certificate.PeerName(c.stream) }

// PeerUnits returns the organizational units of the peer's certificate, available when PeerName is.
func (c *Conn) PeerUnits() []string { return certificate.PeerUnits(c.stream) }

// RemoteAddress returns the peer's address, for logs.
func (c *Conn) RemoteAddress() string { return c.stream.RemoteAddr().String() }

// awaitClose blocks until the peer closes the connection or Close is called. It is only
// for connections on which the peer sends nothing.
func (c *Conn) awaitClose() {
	var discarded [1]byte
	_ = c.stream.SetReadDeadline(time.Time{}) // the read reports a failure
	_, _ = c.stream.Read(discarded[:])        // any result means that the connection ended
}
