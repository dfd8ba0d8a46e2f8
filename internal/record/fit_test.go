package record

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

func (o *office) open(id state.RouterID) bool {
	router, _ := o.state.Router(id)
	return router.Session.Open
}

// TestRoutersWithDifferentLifetimesNeverHaveSessionsTogether: one that keeps
// records longer would admit keys whose records the other has dropped.
func TestRoutersWithDifferentLifetimesNeverHaveSessionsTogether(t *testing.T) {
	short, long := Report{Lifetime: testLifetime}, Report{Lifetime: time.Hour}
	o := newOffice(t)
	o.reports["a"], o.reports["b"] = long, short
	o.run(time.Second)
	if !o.open("a") || o.open("b") {
		t.Fatalf("both came at once: a has a session: %t, b: %t", o.open("a"), o.open("b"))
	}
	o.placement.Lead(o.now)
	delete(o.reports, "a")
	o.run(testLease)
	if !o.open("a") || o.open("b") {
		t.Errorf("after an election, a not heard yet: a has a session: %t, b: %t", o.open("a"), o.open("b"))
	}
	o.reports["a"] = long
	o.run(time.Second)
	if !o.open("a") || o.open("b") {
		t.Errorf("after an election: a has a session: %t, b: %t", o.open("a"), o.open("b"))
	}
	o.reports["a"] = Report{Stopped: true, Lifetime: time.Hour}
	o.run(time.Second)
	if o.open("a") || !o.open("b") {
		t.Errorf("after the stop of a: a has a session: %t, b: %t", o.open("a"), o.open("b"))
	}
	o.reports["c"] = Report{Incompatible: true, Lifetime: testLifetime}
	o.run(time.Second)
	if o.open("c") {
		t.Error("a router whose settings do not fit got a session")
	}
}
