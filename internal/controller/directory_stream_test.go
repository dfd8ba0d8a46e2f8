package controller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// TestControllersAreNamedBeforeTheDirectory: a gateway without a directory first receives the controllers, and
// the directory only after its first ping, so that a gateway that switches to another controller receives none
// of it here.
func TestControllersAreNamedBeforeTheDirectory(t *testing.T) {
	r := &replica{
		state: state.New(), feed: newDirectoryFeed(), directoryChanged: broadcast.New(), gateways: newGatewayList(),
		log: logrus.NewEntry(logrus.New()), self: consensus.Member{ID: 1},
	}
	r.published.Store(&published{status: consensus.Status{Membership: consensus.Membership{Members: []consensus.Member{{ID: 1, Address: "10.0.0.1:1"}}}}})
	command := directory.Command{Instances: []directory.Instance{{ID: "a", Service: "s", Address: "10.0.0.2:1", State: directory.InstanceReady}}}
	if result := r.state.Apply(1, state.Command{Directory: &command}); result.Err != nil {
		t.Fatal(result.Err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var serving conc.WaitGroup
	serving.Go(func() {
		_ = (&wire.Server{}).Serve(ctx, listener, func(ctx context.Context, connection *wire.Conn) {
			stream := &directoryStream{replica: r, connection: connection, pongs: make(chan pong), pinged: make(chan struct{})}
			if connection.Receive(&message.DirectoryRequest{}) != nil {
				return
			}
			r.background.Go(func() {
				if connection.Receive(&message.DirectoryRequest{}) == nil {
					close(stream.pinged)
				}
			})
			_ = stream.write(ctx) // ends with the connection
		})
	})
	defer serving.Wait()
	defer r.background.Wait()
	defer cancel()
	connection, err := wire.Dial(ctx, listener.Addr().String(), wire.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	must(t, connection.Send(ctx, &message.DirectoryRequest{}))
	var announcement message.DirectoryUpdate
	must(t, connection.Receive(&announcement))
	if len(announcement.Controllers) != 1 || announcement.Changes != nil {
		t.Fatalf("first update: %+v", announcement)
	}
	received := connection.BytesReceived()
	time.Sleep(50 * time.Millisecond)
	if connection.BytesReceived() != received {
		t.Error("data arrived before the ping")
	}
	must(t, connection.Send(ctx, &message.DirectoryRequest{Ping: 1}))
	var full message.DirectoryUpdate
	must(t, connection.Receive(&full))
	if full.Changes == nil || len(full.Changes.Instances) != 1 {
		t.Errorf("update after the ping: %+v", full)
	}
}
