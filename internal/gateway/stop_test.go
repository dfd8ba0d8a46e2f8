package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestRequestsThatOutlastAStopAreRejected guards against requests that a stopping gateway accepts and then
// cuts off when it ends.
func TestRequestsThatOutlastAStopAreRejected(t *testing.T) {
	g := &Gateway{clock: testClock, balancer: balance.New(balance.DefaultSettings("z"))}
	now := testClock.Now()
	if err := g.rejectBeforeStop(&request{deadline: now + time.Hour}); err != nil {
		t.Errorf("before a stop: %v", err)
	}
	for _, noticed := range []time.Duration{now, now + time.Hour} { // the service was never asked
		end := now + 2*time.Hour
		g.stopPlan.Store(&stopPlan{noticed: noticed, end: end})
		if err := g.rejectBeforeStop(&request{deadline: end}); err != nil {
			t.Errorf("a request that ends in time: %v", err)
		}
		if err := g.rejectBeforeStop(&request{deadline: end + time.Millisecond}); err == nil || err.Kind != fault.RouterStopping {
			t.Errorf("a request that outlasts the stop: %v", err)
		}
	}
}

// TestUsualTimeDecidesUntilTheStopIsNoticed checks the requests whose deadlines are after the end of a stop.
func TestUsualTimeDecidesUntilTheStopIsNoticed(t *testing.T) {
	plan := stopPlan{noticed: 2500 * time.Millisecond, end: 5700 * time.Millisecond}
	for _, c := range []struct {
		now, usual time.Duration
		known      bool
		want       bool
	}{
		{0, 50 * time.Millisecond, true, true},
		{2499 * time.Millisecond, 50 * time.Millisecond, true, true},
		{2500 * time.Millisecond, 50 * time.Millisecond, true, false},
		{0, 1900 * time.Millisecond, true, true},
		{time.Millisecond, 1900 * time.Millisecond, true, false},
		{0, 0, false, false},
	} {
		if got := plan.bearable(c.now, c.usual, c.known); got != c.want {
			t.Errorf("at %s, usual time %s (known: %v): bearable %v, want %v", c.now, c.usual, c.known, got, c.want)
		}
	}
}

// TestRelayedRequestsThatOutlastAStopAreNotSent guards against a relayed request that waited for its turn when the stop
// began, and is cut off after it was sent.
func TestRelayedRequestsThatOutlastAStopAreNotSent(t *testing.T) {
	g := newCutOffGateway(t)
	near, _ := tcpPair(t)
	now := g.clock.Now()
	end := now + time.Minute
	g.stopPlan.Store(&stopPlan{noticed: now, end: end})
	instance := directory.Instance{ID: "i0", Service: "s"}
	current := &request{service: "s", deadline: end, clock: g.clock}
	if failure := g.checkRelayed(near, current, instance); failure != nil {
		t.Errorf("a request that ends in time: %v", failure)
	}
	current.deadline++
	if failure := g.checkRelayed(near, current, instance); failure == nil || failure.Kind != fault.RouterStopping {
		t.Errorf("a request that outlasts the stop: %v", failure)
	}
}

// TestUnreadRequestsAreSeen guards against a gateway that closes a connection with an unread request.
func TestUnreadRequestsAreSeen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	idle := newIdleConnections()
	idle.update(accepted, fasthttp.StateNew)
	if idle.unread() {
		t.Error("unread bytes reported before anything was sent")
	}
	if _, err := caller.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !idle.unread(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("received bytes are not reported as unread")
		}
	}
	idle.update(accepted, fasthttp.StateActive)
	if idle.unread() {
		t.Error("a connection with a request in progress counts as idle")
	}
}
