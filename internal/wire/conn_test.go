package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds waits that end at once unless there is a fault.
const testTimeout = 20 * time.Second

type payload struct {
	Text   string
	Number int
}

// pair returns a Conn over TCP and the raw peer end of its stream.
func pair(t *testing.T, options Options) (*Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	far, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newTestConn(t, near, far, options), far
}

func newTestConn(t *testing.T, near, far net.Conn, options Options) *Conn {
	connection := NewConn(near, options)
	t.Cleanup(func() {
		connection.Close()
		_ = far.Close()
	})
	return connection
}

// frameOf returns the bytes that a value takes on the wire.
func frameOf(t *testing.T, value any) []byte {
	t.Helper()
	connection, far := pair(t, Options{})
	sent := make(chan error, 1)
	group.Go(func() {
		sent <- connection.Send(context.Background(), value)
		connection.Close()
	})
	frame, err := io.ReadAll(far)
	if sendErr := <-sent; err != nil || sendErr != nil {
		t.Fatal(err, sendErr)
	}
	return frame
}

// TestFrameCutAtEachByte checks that a truncated frame is never taken for a
// whole one or for an orderly close.
func TestFrameCutAtEachByte(t *testing.T) {
	want := payload{Text: strings.Repeat("a", 300), Number: 7}
	frame := frameOf(t, &want)
	for cut := range len(frame) + 1 {
		connection, far := pair(t, Options{})
		group.Go(func() {
			_, _ = far.Write(frame[:cut])
			_ = far.Close()
		})
		var got payload
		err := connection.Receive(&got)
		switch {
		case cut == len(frame):
			if err != nil || got != want {
				t.Errorf("the whole frame: got %+v, %v", got, err)
			}
		case cut == 0:
			if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("no byte: got %v, want io.EOF", err)
			}
		case !errors.Is(err, io.ErrUnexpectedEOF):
			t.Errorf("cut after %d of %d bytes: got %v, want io.ErrUnexpectedEOF", cut, len(frame), err)
		}
		if err != nil && !errors.Is(connection.Send(context.Background(), &want), ErrClosed) {
			t.Errorf("cut after %d bytes: the connection is still open", cut)
		}
	}
}

func TestFrameTooLarge(t *testing.T) {
	const limit = 1000
	connection, far := pair(t, Options{MaxFrameBytes: limit})
	err := connection.Send(context.Background(), &payload{Text: strings.Repeat("a", limit)})
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrFrameTooLarge) || connection.BytesSent() != 0 {
		t.Fatalf("send: got %v with %d bytes sent", err, connection.BytesSent())
	}
	var header [lengthBytes]byte
	binary.BigEndian.PutUint32(header[:], limit+1)
	group.Go(func() { _, _ = far.Write(header[:]) })
	if err := connection.Receive(&payload{}); !errors.Is(err, ErrFrameTooLarge) {
		t.Fatalf("receive: got %v", err)
	}
	if connection.frame.Cap() > limit {
		t.Errorf("%d bytes were allocated for a rejected frame", connection.frame.Cap())
	}
}

// TestClaimedLengthTakesNoMemory checks that memory grows with the bytes that
// arrive, not with the announced length.
func TestClaimedLengthTakesNoMemory(t *testing.T) {
	connection, far := pair(t, Options{})
	var header [lengthBytes]byte
	binary.BigEndian.PutUint32(header[:], DefaultMaxFrameBytes)
	group.Go(func() {
		_, _ = far.Write(header[:])
		_ = far.Close()
	})
	if err := connection.Receive(&payload{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v", err)
	}
	if connection.frame.Cap() > readBufferBytes {
		t.Errorf("%d bytes were allocated although none arrived", connection.frame.Cap())
	}
}

// TestSendCancelled checks that a Send that waits for another one ends with its
// context and leaves the connection usable, and that a Send that is aborted
// within its frame closes the connection, so that nothing follows a partial frame.
func TestSendCancelled(t *testing.T) {
	near, far := net.Pipe() // unbuffered: a write blocks until it is read
	connection := newTestConn(t, near, far, Options{WriteTimeout: testTimeout})
	first := make(chan error, 1)
	group.Go(func() { first <- connection.Send(context.Background(), &payload{Number: 1}) })
	if _, err := io.ReadFull(far, make([]byte, lengthBytes)); err != nil { // the first Send is writing now
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	second := make(chan error, 1)
	group.Go(func() { second <- connection.Send(cancelled, &payload{Number: 2}) })
	cancel()
	if err := <-second; !errors.Is(err, ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Fatalf("the waiting Send: got %v", err)
	}
	rest := make([]byte, len(frameOf(t, &payload{Number: 1}))-lengthBytes)
	if _, err := io.ReadFull(far, rest); err != nil {
		t.Fatal(err)
	}
	if err := <-first; err != nil {
		t.Fatalf("the first Send: got %v", err)
	}

	expiring, cancelExpiring := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancelExpiring()
	group.Go(func() { _, _ = io.ReadFull(far, make([]byte, 1)) })
	if err := connection.Send(expiring, &payload{Number: 3}); !errors.Is(err, ErrConnectionLost) {
		t.Fatalf("the Send aborted within its frame: got %v", err)
	}
	if err := connection.Send(context.Background(), &payload{Number: 4}); !errors.Is(err, ErrClosed) {
		t.Fatalf("after a partial frame: got %v", err)
	}
}
