package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/message"
)

// group tracks the goroutines that the tests of this package start.
var group conc.WaitGroup

// startServer serves until the test ends, and returns the address and a function
// that stops the server earlier.
func startServer(t *testing.T, server *Server, handler func(context.Context, *Conn)) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String(), serveOn(t, listener, server, handler)
}

func serveOn(t *testing.T, listener net.Listener, server *Server, handler func(context.Context, *Conn)) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	group.Go(func() { ended <- server.Serve(ctx, listener, handler) })
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	t.Cleanup(stop)
	return stop
}

func dial(t *testing.T, address string) *Conn {
	t.Helper()
	connection, err := Dial(context.Background(), address, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(connection.Close)
	return connection
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// echo returns each message to its sender; it panics on number 13.
func echo(ctx context.Context, connection *Conn) {
	for {
		var received payload
		if connection.Receive(&received) != nil {
			return
		}
		if received.Number == 13 {
			panic("thirteen")
		}
		if connection.Send(ctx, &received) != nil {
			return
		}
	}
}

func exchange(connection *Conn, number int) error {
	var answer payload
	if err := connection.Send(context.Background(), &payload{Number: number}); err != nil {
		return err
	}
	return connection.Receive(&answer)
}

func TestServerLimits(t *testing.T) {
	var recovered atomic.Int32
	server := &Server{MaxConnections: 2, Panicked: func(*panics.Recovered) { recovered.Add(1) }}
	address, stop := startServer(t, server, echo)
	first, second := dial(t, address), dial(t, address)
	if err := errors.Join(exchange(first, 1), exchange(second, 2)); err != nil {
		t.Fatal(err)
	}
	if err := exchange(dial(t, address), 3); err == nil || server.Refused() != 1 {
		t.Fatalf("the third connection: got %v, %d refused", err, server.Refused())
	}
	if err := exchange(first, 13); err == nil {
		t.Fatal("a handler that panicked answered")
	}
	eventually(t, "connection released after a panic", func() bool { return server.Connections() == 1 })
	if err := errors.Join(exchange(dial(t, address), 4), exchange(second, 5)); err != nil || recovered.Load() != 1 {
		t.Fatalf("after a panic: got %v, %d panics reported", err, recovered.Load())
	}
	stop()
	if err := exchange(second, 6); err == nil || server.Connections() != 0 {
		t.Errorf("after the stop: got %v, %d connections", err, server.Connections())
	}
}

// TestCallsGetTheirOwnAnswers checks that each call gets its own answer or an
// error when answers come out of order or too late.
func TestCallsGetTheirOwnAnswers(t *testing.T) {
	release := make(chan struct{})
	server := &Server{}
	address, stop := startServer(t, server, func(ctx context.Context, connection *Conn) {
		if connection.Receive(&message.Hello{}) != nil {
			return
		}
		_ = ServeCalls(ctx, connection, 64, func(ctx context.Context, request *payload) *payload {
			if request.Text == "held" {
				select {
				case <-release:
				case <-ctx.Done():
				}
			}
			return request
		})
	})
	client := NewClient(address, message.Hello{From: "test"}, Options{})
	t.Cleanup(client.Close)
	expiring, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := client.Call(expiring, &payload{Text: "held"}, &payload{}); !errors.Is(err, ErrNoAnswer) {
		t.Fatalf("the call that got no answer in time: got %v", err)
	}
	close(release)
	var calls conc.WaitGroup
	for number := range 200 {
		calls.Go(func() {
			var answer payload
			if err := client.Call(context.Background(), &payload{Number: number}, &answer); err != nil || answer.Number != number {
				t.Errorf("call %d: got %+v, %v", number, answer, err)
			}
		})
	}
	calls.Wait()
	stop()
	if err := client.Call(context.Background(), &payload{}, &payload{}); !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrConnectionLost) {
		t.Errorf("after the server stopped: got %v", err)
	}
	eventually(t, "calls that fail with ErrNotSent", func() bool {
		return errors.Is(client.Call(context.Background(), &payload{}, &payload{}), ErrNotSent)
	})
}

// TestPeerSenderDropsAndReconnects checks that messages without a connection
// count as dropped, that each connection begins with the hello, and that nothing
// arrives twice or out of order.
func TestPeerSenderDropsAndReconnects(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	sender := NewPeerSender(address, message.Hello{Purpose: message.PurposeConsensus, From: "a"}, Options{})
	t.Cleanup(sender.Stop)
	sender.Send([]consensus.Message{{Index: 1}, {Index: 2}})
	eventually(t, "two messages dropped", func() bool { return sender.Dropped() == 2 })

	received := make(chan uint64, 10000)
	handler := func(ctx context.Context, connection *Conn) {
		var hello message.Hello
		if err := connection.Receive(&hello); ctx.Err() != nil && err != nil {
			return // the server is stopping and closed the connection before the first frame arrived
		} else if err != nil || hello.From != "a" {
			t.Errorf("the first frame is %+v, %v", hello, err)
			return
		}
		for {
			var batch message.ConsensusBatch
			if connection.Receive(&batch) != nil {
				return
			}
			for _, one := range batch.Messages {
				received <- one.Index
			}
		}
	}
	newest := uint64(2)
	for round := range 3 {
		if listener, err = net.Listen("tcp", address); err != nil {
			t.Fatal(err)
		}
		stop := serveOn(t, listener, &Server{}, handler)
		last := uint64(0)
		eventually(t, "messages of a new connection", func() bool {
			newest++
			sender.Send([]consensus.Message{{Index: newest}})
			select {
			case index := <-received:
				if index <= last {
					t.Errorf("round %d: index %d came after %d", round, index, last)
				}
				last = index
			default:
			}
			return last > 0
		})
		stop()
		for len(received) > 0 {
			if index := <-received; index <= last {
				t.Errorf("round %d: index %d came after %d", round, index, last)
			} else {
				last = index
			}
		}
	}
}
