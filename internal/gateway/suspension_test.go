package gateway

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// suspension is how long the machine of each test is suspended.
const suspension = 3 * time.Second

// TestSuspensionAgesTheDirectory guards against API keys that are accepted after their revocation,
// since the time without a controller counts too short.
func TestSuspensionAgesTheDirectory(t *testing.T) {
	machine := &manualClock{}
	g := &Gateway{clock: machine, subscription: newSubscription(machine, config.DefaultGateway(), quiet(), nil, &link.Meter{})}
	g.settings.Revocation = config.Revocation{FailClosed: true, Limit: suspension / 2}
	confirmed := machine.Now()
	g.subscription.confirm(&confirmed, source{})
	if g.mayBeRevoked() || !g.subscription.confirmed() {
		t.Fatal("the directory was confirmed a moment ago")
	}
	machine.suspend(suspension)
	if !g.mayBeRevoked() || g.subscription.confirmed() || g.subscription.age() < suspension {
		t.Errorf("after a suspension of %s the directory is %s old", suspension, g.subscription.age())
	}
}

// TestSuspensionEndsWhatAnInstanceMayServe guards against requests to an instance that leaves, or to
// a zone that is evacuated, for as long again as the machine was suspended.
func TestSuspensionEndsWhatAnInstanceMayServe(t *testing.T) {
	machine := &manualClock{}
	leaving := directory.Instance{ID: "i", Zone: "west", State: directory.InstanceDraining}
	drains := newDrains(machine, suspension/2)
	drains.note(&routing.Table{Changed: []*directory.Instance{&leaving}})
	zones := newEvacuations(machine, suspension)
	zones.note(&routing.Table{})
	zones.note(&routing.Table{Evacuated: []string{"west"}})
	if !drains.mayServe(leaving) || zones.excludesHolder(leaving) {
		t.Fatal("an instance serves on for a while")
	}
	machine.suspend(suspension)
	if drains.mayServe(leaving) || !zones.excludesHolder(leaving) {
		t.Error("the suspension does not count in the time that the instance may serve on")
	}
}

// newRequest is a request for that service, which may take a second.
func newRequest(machine *manualClock) *request {
	now := machine.Now()
	return &request{
		id: "r", clock: machine, service: "s", arrived: now, deadline: now + time.Second, interrupt: &forward.Interrupt{},
		route: &directory.Route{MaxAttempts: 1}, inbound: &fasthttp.Request{}, answer: &fasthttp.Response{},
	}
}

// TestDeadlinePassesInASuspension guards against callers who wait on for as long as their gateway's
// machine was suspended: the timers of an attempt stand still meanwhile.
func TestDeadlinePassesInASuspension(t *testing.T) {
	machine := &manualClock{}
	current := newRequest(machine)
	watch := newCallers()
	watch.watched[1] = watched{left: current.left, interrupt: current.interrupt}
	watch.look(func(watched) bool { return false })
	if current.interrupt.Fired() {
		t.Fatal("given up in time")
	}
	machine.suspend(suspension)
	watch.look(func(watched) bool { return false })
	if !current.interrupt.Fired() {
		t.Fatal("the request goes on after its deadline")
	}
	if got := current.interrupted().Kind; got != fault.DeadlineExceeded {
		t.Errorf("the failure is %q", got)
	}
}
