package wire

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
)

// TestSilentConnectionIsReplaced checks that a connection on which nothing
// arrives any more is not used for further calls, and that a call shorter than
// the timeout does not close it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var connections atomic.Int32
	address, _ := startServer(t, &Server{}, func(ctx context.Context, connection *Conn) {
		if connection.Receive(&message.Hello{}) != nil {
			return
		}
		if connections.Add(1) == 1 {
			<-ctx.Done()
			return
		}
		_ = ServeCalls(ctx, connection, 1, func(_ context.Context, request *payload) *payload { return request })
	})
	client := NewClient(address, message.Hello{From: "test"}, Options{})
	t.Cleanup(client.Close)
	short, cancel := context.WithTimeout(context.Background(), unresponsiveTimeout/2)
	defer cancel()
	if err := client.Call(short, &payload{}, &payload{}); !errors.Is(err, ErrNoAnswer) {
		t.Fatalf("short call: %v", err)
	}
	long, cancel := context.WithTimeout(context.Background(), 2*unresponsiveTimeout)
	defer cancel()
	if err := client.Call(long, &payload{}, &payload{}); !errors.Is(err, ErrNoAnswer) {
		t.Fatalf("the connection was closed too early: %v", err)
	}
	generous, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := client.Call(generous, &payload{}, &payload{}); err != nil {
		t.Errorf("call on a new connection: %v", err)
	}
}
