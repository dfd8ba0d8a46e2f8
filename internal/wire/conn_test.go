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

// patience bounds waits that end at once unless there is a fault.
const patience = 20 * time.Second

type note struct {
	Text   string
	Number int
}

// pair returns a Conn over TCP and the bare far end of its stream.
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
	return own(t, near, far, options), far
}

func own(t *testing.T, near, far net.Conn, options Options) *Conn {
	connection := NewConn(near, options)
	t.Cleanup(func() {
		connection.Close()
		_ = far.Close()
	})
	return connection
}

// frameOf returns a value as the bytes on the wire.
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

// TestFrameCutAtEachByte: a frame that was cut never looks like a whole one or
// like an orderly end.
func TestFrameCutAtEachByte(t *testing.T) {
	want := note{Text: strings.Repeat("a", 300), Number: 7}
	frame := frameOf(t, &want)
	for cut := range len(frame) + 1 {
		connection, far := pair(t, Options{})
		group.Go(func() {
			_, _ = far.Write(frame[:cut])
			_ = far.Close()
		})
		var got note
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
	err := connection.Send(context.Background(), &note{Text: strings.Repeat("a", limit)})
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrFrameTooLarge) || connection.BytesSent() != 0 {
		t.Fatalf("send: got %v with %d bytes sent", err, connection.BytesSent())
	}
	var header [lengthBytes]byte
	binary.BigEndian.PutUint32(header[:], limit+1)
	group.Go(func() { _, _ = far.Write(header[:]) })
	if err := connection.Receive(&note{}); !errors.Is(err, ErrFrameTooLarge) {
		t.Fatalf("receive: got %v", err)
	}
	if connection.frame.Cap() > limit {
		t.Errorf("%d bytes were set aside for a refused frame", connection.frame.Cap())
	}
}

// TestClaimedLengthTakesNoMemory: memory grows with the bytes that come.
func TestClaimedLengthTakesNoMemory(t *testing.T) {
	connection, far := pair(t, Options{})
	var header [lengthBytes]byte
	binary.BigEndian.PutUint32(header[:], DefaultMaxFrameBytes)
	group.Go(func() {
		_, _ = far.Write(header[:])
		_ = far.Close()
	})
	if err := connection.Receive(&note{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v", err)
	}
	if connection.frame.Cap() > readBufferBytes {
		t.Errorf("%d bytes were set aside for none that came", connection.frame.Cap())
	}
}

// TestSendCancelled: a Send that waits for its turn ends with its context and
// leaves the connection as it was; one that is cut off within its frame closes
// the connection, so that nothing can follow half a frame.
func TestSendCancelled(t *testing.T) {
	near, far := net.Pipe() // a write waits for its reader
	connection := own(t, near, far, Options{WriteTimeout: patience})
	first := make(chan error, 1)
	group.Go(func() { first <- connection.Send(context.Background(), &note{Number: 1}) })
	if _, err := io.ReadFull(far, make([]byte, lengthBytes)); err != nil { // the first Send is writing now
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	second := make(chan error, 1)
	group.Go(func() { second <- connection.Send(cancelled, &note{Number: 2}) })
	cancel()
	if err := <-second; !errors.Is(err, ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Fatalf("the waiting Send: got %v", err)
	}
	rest := make([]byte, len(frameOf(t, &note{Number: 1}))-lengthBytes)
	if _, err := io.ReadFull(far, rest); err != nil {
		t.Fatal(err)
	}
	if err := <-first; err != nil {
		t.Fatalf("the first Send: got %v", err)
	}

	expiring, cancelExpiring := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancelExpiring()
	group.Go(func() { _, _ = io.ReadFull(far, make([]byte, 1)) })
	if err := connection.Send(expiring, &note{Number: 3}); !errors.Is(err, ErrConnectionLost) {
		t.Fatalf("the Send that was cut off: got %v", err)
	}
	if err := connection.Send(context.Background(), &note{Number: 4}); !errors.Is(err, ErrClosed) {
		t.Fatalf("after half a frame: got %v", err)
	}
}
