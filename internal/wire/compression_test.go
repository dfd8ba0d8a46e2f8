package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// TestLongFramesAreCompressed checks that a long frame arrives unchanged and
// takes far fewer bytes on the wire.
func TestLongFramesAreCompressed(t *testing.T) {
	want := payload{Text: strings.Repeat("a holding of keys ", 10_000), Number: 7}
	connection, far := pair(t, Options{})
	receiver := NewConn(far, Options{})
	group.Go(func() { _ = connection.Send(context.Background(), &want) })
	var got payload
	if err := receiver.Receive(&got); err != nil || got != want {
		t.Fatalf("received %d bytes of text, %v", len(got.Text), err)
	}
	if sent := connection.BytesSent(); sent > uint64(len(want.Text)/20) {
		t.Errorf("%d bytes were sent for %d of text", sent, len(want.Text))
	}
}

// TestDecompressionIsBounded checks that a short compressed frame cannot expand
// beyond the frame limit, and that invalid compressed content is an error.
func TestDecompressionIsBounded(t *testing.T) {
	frame, err := Encode(&payload{Text: strings.Repeat("a", 1<<20)})
	if err != nil {
		t.Fatal(err)
	}
	connection, far := pair(t, Options{MaxFrameBytes: 100_000})
	group.Go(func() { _, _ = far.Write(frame.content) })
	if err := connection.Receive(&payload{}); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("got %v", err)
	}
	connection, far = pair(t, Options{})
	var broken [lengthBytes + 3]byte
	binary.BigEndian.PutUint32(broken[:], compressedFlag|3)
	group.Go(func() { _, _ = far.Write(broken[:]) })
	if err := connection.Receive(&payload{}); err == nil {
		t.Error("content that cannot be decompressed was accepted")
	}
}

// TestShortFramesAreShort checks that a short frame that expands to a long one is not taken for a short one.
func TestShortFramesAreShort(t *testing.T) {
	for _, length := range []int{maxShortFrameBytes / 2, 1 << 20} {
		frame, err := Encode(&payload{Text: strings.Repeat("a", length), Number: 7})
		if err != nil {
			t.Fatal(err)
		}
		connection, far := pair(t, Options{})
		group.Go(func() { _, _ = far.Write(frame.content) })
		var got payload
		err = connection.ReceiveShort(&got)
		if long := length > maxShortFrameBytes; long != errors.Is(err, ErrFrameTooLarge) || !long && got.Number != 7 {
			t.Errorf("content of %d bytes in a frame of %d: %v", length, frame.Bytes(), err)
		}
	}
}

// TestFrameOnNarrowLink checks that a frame that takes longer than IdleTimeout arrives as
// long as its bytes keep coming. Otherwise a gateway on a low-bandwidth link requests the
// whole directory again and again and never receives it.
func TestFrameOnNarrowLink(t *testing.T) {
	const idle, pieces = 100 * time.Millisecond, 6
	want := payload{Text: strings.Repeat("a", 2000), Number: 7}
	content, err := codec.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
	connection, far := pair(t, Options{IdleTimeout: idle})
	group.Go(func() {
		for piece := range pieces {
			_, _ = far.Write(frame[piece*len(frame)/pieces : (piece+1)*len(frame)/pieces])
			time.Sleep(idle / 3)
		}
	})
	var got payload
	if err := connection.Receive(&got); err != nil || got != want {
		t.Errorf("received %d bytes of text, %v", len(got.Text), err)
	}
}
