package gateway

import (
	"context"
	"encoding/binary"
	"net"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// TestFrameOfAStrangerIsSmall guards against a gateway that keeps long messages of whoever connects to the port for
// other gateways: as the first message, and as a request for the directory.
func TestFrameOfAStrangerIsSmall(t *testing.T) {
	for name, begin := range map[string]func(*wire.Conn) error{
		"first message": func(*wire.Conn) error { return nil },
		"directory request": func(c *wire.Conn) error {
			return c.Send(context.Background(), &message.Hello{Purpose: message.PurposeDirectory, From: "stranger"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newCutOffGateway(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var serving conc.WaitGroup
			defer serving.Wait()
			defer cancel()
			serving.Go(func() { _ = gateway.servePeersOn(ctx, listener) })
			stream, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			connection := wire.NewConn(stream, wire.Options{})
			defer connection.Close()
			if err := begin(connection); err != nil {
				t.Fatal(err)
			}
			if taken := sendLongFrame(stream); taken > 32<<20 {
				t.Errorf("%d bytes of one message were taken", taken)
			}
		})
	}
}

// sendLongFrame announces a message of 60 MiB and sends it until the connection is closed. It returns how many bytes
// were taken, with those that the kernel holds.
func sendLongFrame(stream net.Conn) int {
	const length = 60 << 20
	taken, err := stream.Write(binary.BigEndian.AppendUint32(nil, length))
	content := make([]byte, 1<<20)
	for err == nil && taken < length {
		var count int
		count, err = stream.Write(content)
		taken += count
	}
	return taken
}
