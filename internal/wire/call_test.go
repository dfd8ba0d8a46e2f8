package wire

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/thorntiller/thorntiller/internal/message"
)

// TestPanicOfACallIsToldAtOnce guards against a call that is never answered after a panic, which is told of only once the
// connection ends.
func TestPanicOfACallIsToldAtOnce(t *testing.T) {
	var told atomic.Int32
	patient := Options{IdleTimeout: 10 * testTimeout}
	server := &Server{Options: patient, Panicked: func(*panics.Recovered) { told.Add(1) }}
	address, _ := startServer(t, server, func(ctx context.Context, connection *Conn) {
		if connection.Receive(&message.Hello{}) != nil {
			return
		}
		_ = ServeCalls(ctx, connection, 1, func(_ context.Context, request *payload) *payload {
			if request.Number == 13 {
				panic("planted panic")
			}
			return request
		})
	})
	client := NewClient(address, message.Hello{From: "test"}, patient)
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	began := time.Now()
	if err := client.Call(ctx, &payload{Number: 13}, &payload{}); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("the call that panicked ended with %v", err)
	}
	if ctx.Err() != nil {
		t.Errorf("the caller waited %s", time.Since(began))
	}
	eventually(t, "the panic is told", func() bool { return told.Load() == 1 })
	if err := client.Call(ctx, &payload{Number: 1}, &payload{}); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
