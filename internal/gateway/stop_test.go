package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestRequestsThatOutlastAStopAreRejected guards against requests that a stopping gateway accepts and then
// cuts off when it ends.
func TestRequestsThatOutlastAStopAreRejected(t *testing.T) {
	g := &Gateway{clock: testClock}
	now := testClock.Now()
	if err := g.rejectBeforeStop(&request{deadline: now + time.Hour}); err != nil {
		t.Errorf("before a stop: %v", err)
	}
	end := now + time.Second
	g.stopDeadline.Store(&end)
	if err := g.rejectBeforeStop(&request{deadline: end}); err != nil {
		t.Errorf("a request that ends in time: %v", err)
	}
	if err := g.rejectBeforeStop(&request{deadline: end + time.Millisecond}); err == nil || err.Kind != fault.RouterStopping {
		t.Errorf("a request that outlasts the stop: %v", err)
	}
}

// TestRelayedRequestsThatOutlastAStopAreNotSent guards against a relayed request that waited for its turn when the stop
// began, and is cut off after it was sent.
func TestRelayedRequestsThatOutlastAStopAreNotSent(t *testing.T) {
	g := newCutOffGateway(t)
	near, _ := tcpPair(t)
	now := g.clock.Now()
	end := now + time.Minute
	g.stopDeadline.Store(&end)
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
