package record

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

func (h *placementHarness) open(id state.RouterID) bool {
	router, _ := h.state.Router(id)
	return router.Session.Open
}

// TestRoutersWithDifferentLifetimesNeverHaveSessionsTogether guards against a router that
// keeps records longer and accepts keys whose records another router has dropped.
func TestRoutersWithDifferentLifetimesNeverHaveSessionsTogether(t *testing.T) {
	short, long := Report{Lifetime: testLifetime}, Report{Lifetime: time.Hour}
	h := newPlacementHarness(t)
	h.reports["a"], h.reports["b"] = long, short
	h.run(time.Second)
	if !h.open("a") || h.open("b") {
		t.Fatalf("both pinged at the same time: a has a session: %t, b: %t", h.open("a"), h.open("b"))
	}
	h.placement.Lead(h.now)
	delete(h.reports, "a")
	h.run(testLease)
	if !h.open("a") || h.open("b") {
		t.Errorf("after an election, before a pings: a has a session: %t, b: %t", h.open("a"), h.open("b"))
	}
	h.reports["a"] = long
	h.run(time.Second)
	if !h.open("a") || h.open("b") {
		t.Errorf("after an election: a has a session: %t, b: %t", h.open("a"), h.open("b"))
	}
	h.reports["a"] = Report{Stopped: true, Lifetime: time.Hour}
	h.run(time.Second)
	if h.open("a") || !h.open("b") {
		t.Errorf("after the stop of a: a has a session: %t, b: %t", h.open("a"), h.open("b"))
	}
	h.reports["c"] = Report{Incompatible: true, Lifetime: testLifetime}
	h.run(time.Second)
	if h.open("c") {
		t.Error("a router with incompatible settings got a session")
	}
}
