package wire

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
)

// TestSilentConnectionIsReplaced: a connection that was cut in silence is not
// used for further calls.
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
		_ = ServeCalls(ctx, connection, 1, func(_ context.Context, request *note) *note { return request })
	})
	client := NewClient(address, message.Hello{From: "test"}, Options{})
	t.Cleanup(client.Close)
	short, cancel := context.WithTimeout(context.Background(), silentCall/2)
	defer cancel()
	if err := client.Call(short, &note{}, &note{}); !errors.Is(err, ErrNoAnswer) {
		t.Fatalf("short call: %v", err)
	}
	long, cancel := context.WithTimeout(context.Background(), 2*silentCall)
	defer cancel()
	if err := client.Call(long, &note{}, &note{}); !errors.Is(err, ErrNoAnswer) {
		t.Fatalf("the connection was given up too early: %v", err)
	}
	patient, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := client.Call(patient, &note{}, &note{}); err != nil {
		t.Errorf("call after the silence: %v", err)
	}
}
