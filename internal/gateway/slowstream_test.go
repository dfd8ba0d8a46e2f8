package gateway

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/link"
)

// configurationBound is the time within which an acknowledged change must be in force at a gateway in touch
// with the controllers: configApplyMs of the platform.
const configurationBound = 2 * time.Second

// delayedPath forwards connections to an address and delays the bytes of both directions by the same time, in
// order and without loss.
type delayedPath struct {
	address string
	delay   atomic.Int64
}

func newDelayedPath(t *testing.T, target string) *delayedPath {
	t.Helper()
	listener := listen(t)
	path := &delayedPath{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go path.forward(near, far)
			go path.forward(far, near)
		}
	}()
	return path
}

// set sets the delay of bytes that are sent from now on.
func (p *delayedPath) set(delay time.Duration) { p.delay.Store(int64(delay)) }

// delayedBytes are delivered at a time; without bytes, the connection ends then.
type delayedBytes struct {
	bytes []byte
	at    time.Time
}

const delayedPathQueue = 4096

// forward forwards bytes until a connection ends.
func (p *delayedPath) forward(from, to net.Conn) {
	queue := make(chan delayedBytes, delayedPathQueue)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, readBuffer)
			count, err := from.Read(buffer)
			queue <- delayedBytes{bytes: buffer[:count], at: time.Now().Add(time.Duration(p.delay.Load()))}
			if err != nil {
				return
			}
		}
	}()
	for next := range queue {
		time.Sleep(time.Until(next.at))
		_, _ = to.Write(next.bytes) // the receiver may have closed the connection
	}
	_ = to.Close()
}

const readBuffer = 16 << 10

// startDelayedSubscription runs a subscription with default timeouts to controllers behind delayed paths.
func startDelayedSubscription(t *testing.T, delay time.Duration) (s *subscription, stubs []*stubController, paths []*delayedPath) {
	t.Helper()
	var addresses []string
	for range 3 {
		stub := startStub(t)
		path := newDelayedPath(t, stub.address)
		path.set(delay)
		stubs, paths, addresses = append(stubs, stub), append(paths, path), append(addresses, path.address)
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
				path.set(delay)
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
