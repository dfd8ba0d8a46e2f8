package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/lab/slowpath"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// configurationBound is the time within which an acknowledged change must be in force at a gateway in touch
// with the controllers: configApplyMs of the platform.
const configurationBound = 2 * time.Second

// startDelayedSubscription runs a subscription with default timeouts to controllers behind delayed paths.
func startDelayedSubscription(t *testing.T, delay time.Duration) (s *subscription, stubs []*stubController, paths []*slowpath.Path) {
	t.Helper()
	var addresses []string
	for range 3 {
		stub := startStub(t)
		path, err := slowpath.Listen(stub.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = path.Close() })
		path.SetDelay(delay)
		stubs, paths, addresses = append(stubs, stub), append(paths, path), append(addresses, path.Address())
	}
	settings := config.DefaultGateway()
	settings.Name, settings.Address = "g", "127.0.0.1:1"
	s = newSubscription(testClock, settings, discardLog(), nil, &link.Meter{})
	s.controllers = addresses
	runInBackground(t, s.run)
	return s, stubs, paths
}

// roundTripDelays are one-way delays of a congested link or a starved processor.
var roundTripDelays = []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, time.Second}

// TestChangeReachesAGatewayWithSlowControlMessages guards against a gateway that leaves each controller before
// its answer can arrive, and never learns of a change again.
func TestChangeReachesAGatewayWithSlowControlMessages(t *testing.T) {
	for _, delay := range roundTripDelays {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			s, stubs, paths := startDelayedSubscription(t, 0)
			eventually(t, "the directory is confirmed", s.confirmed)
			for _, path := range paths {
				path.SetDelay(delay)
			}
			time.Sleep(2 * s.settings.PongTimeout)
			for _, stub := range stubs {
				stub.addService.Store(true)
			}
			changed := time.Now()
			known := func() bool {
				_, found := s.knownService("added")
				return found
			}
			eventually(t, "the change is in force", known)
			if took := time.Since(changed); took > configurationBound {
				t.Errorf("the change was in force after %s, want at most %s", took, configurationBound)
			}
		})
	}
}

// TestGatewayWithSlowControlMessagesStarts guards against a gateway that never gets its first directory because
// it leaves each controller before the directory can arrive.
func TestGatewayWithSlowControlMessagesStarts(t *testing.T) {
	for _, delay := range roundTripDelays {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			s, _, _ := startDelayedSubscription(t, delay)
			eventually(t, "the directory is there", func() bool { return s.current() != nil })
		})
	}
}

// TestControllerThatProvesNothingIsLeft guards against a gateway that stays with a controller that is cut off from the
// others, and still sends updates: another controller that confirms the directory is followed.
func TestControllerThatProvesNothingIsLeft(t *testing.T) {
	listener := listenOnLoopback(t)
	var cutOff atomic.Bool
	runInBackground(t, func(ctx context.Context) {
		_ = (&wire.Server{}).Serve(ctx, listener, func(ctx context.Context, connection *wire.Conn) { // ends with the test
			serveUntilCutOff(ctx, connection, &cutOff)
		})
	})
	other := startStub(t)
	other.silent.Store(true)
	s := startSubscription(t, listener.Addr().String(), other.address)
	eventually(t, "the directory is confirmed", s.confirmed)
	other.silent.Store(false)
	cutOff.Store(true)
	cutAt := testClock.Now()
	eventually(t, "the other controller confirms the directory", func() bool { return *s.confirmedAt.Load() > cutAt+s.settings.PongTimeout })
}

// serveUntilCutOff answers pings until the controller is cut off, and sends updates without proof from then on.
func serveUntilCutOff(ctx context.Context, connection *wire.Conn, cutOff *atomic.Bool) {
	var hello message.Hello
	var first, ping message.DirectoryRequest
	if connection.Receive(&hello) != nil || connection.Receive(&first) != nil {
		return
	}
	if first.Revision == 0 && connection.Send(ctx, &message.DirectoryUpdate{Leader: "leader"}) != nil {
		return
	}
	for number := 0; connection.Receive(&ping) == nil; number++ {
		update := message.DirectoryUpdate{Pong: ping.Ping}
		if cutOff.Load() {
			update = message.DirectoryUpdate{Leader: strconv.Itoa(number)}
		}
		if connection.Send(ctx, &update) != nil {
			return
		}
	}
}
