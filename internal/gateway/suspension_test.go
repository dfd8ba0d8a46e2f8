package gateway

import (
	"net"
	"sync/atomic"
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

// suspension is how long the machine is suspended in each test.
const suspension = 3 * time.Second

// TestSuspensionAgesTheDirectory guards against API keys that are accepted after their revocation because the
// time without a controller is counted too short.
func TestSuspensionAgesTheDirectory(t *testing.T) {
	machine := &manualClock{}
	g := &Gateway{clock: machine, subscription: newSubscription(machine, config.DefaultGateway(), discardLog(), nil, &link.Meter{})}
	g.settings.Revocation = config.Revocation{FailClosed: true, Limit: suspension / 2}
	confirmed := machine.Now()
	g.subscription.confirm(confirmed, source{})
	if g.mayBeRevoked() || !g.subscription.confirmed() {
		t.Fatal("the directory was confirmed a moment ago")
	}
	machine.suspend(suspension)
	if !g.mayBeRevoked() || g.subscription.confirmed() || g.subscription.age() < suspension {
		t.Errorf("after a suspension of %s the directory is %s old", suspension, g.subscription.age())
	}
}

// TestSuspensionEndsWhatAnInstanceMayServe guards against requests to an instance that is leaving, or to an
// evacuated zone, for as much longer as the machine was suspended.
func TestSuspensionEndsWhatAnInstanceMayServe(t *testing.T) {
	machine := &manualClock{}
	leaving := directory.Instance{ID: "i", Zone: "west", State: directory.InstanceDraining}
	drains := newDrains(machine, suspension/2)
	drains.update(&routing.Table{Changed: []*directory.Instance{&leaving}})
	zones := newEvacuations(machine, suspension)
	zones.update(&routing.Table{})
	zones.update(&routing.Table{Evacuated: []string{"west"}})
	if !drains.mayServe(leaving) || zones.excludesHolder(leaving) {
		t.Fatal("the instance must still get requests before the suspension")
	}
	machine.suspend(suspension)
	if drains.mayServe(leaving) || !zones.excludesHolder(leaving) {
		t.Error("the suspension must count towards the time limit")
	}
}

// onDial calls a function when a connection to an instance was made, before anything is sent on it.
type onDial struct{ call func() }

func (d onDial) Opened()         { d.call() }
func (d onDial) Passed(int, int) {}

func (d onDial) Surplus(forward.Surplus) {}
func (d onDial) SetAside(bool)           {}

// startInstance starts an instance that returns the identifier of each request, and counts the requests.
func startInstance(t *testing.T, idHeader string) (address string, arrivals *atomic.Int64) {
	t.Helper()
	arrivals = &atomic.Int64{}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		arrivals.Add(1)
		ctx.Response.Header.Set(idHeader, string(ctx.Request.Header.Peek(idHeader)))
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String(), arrivals
}

// oneInstance returns a table with one service of one instance.
func oneInstance(t *testing.T, instance directory.Instance) *routing.Table {
	t.Helper()
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","version":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	view := directory.New()
	for index, command := range []directory.Command{{Patch: &patch}, {Instances: []directory.Instance{instance}}} {
		if err := view.Apply(directory.Revision(index+1), command); err != nil {
			t.Fatal(err)
		}
	}
	return routing.Build(view, nil)
}

// newRequest returns a request for that service with a deadline of one second.
func newRequest(machine *manualClock) *request {
	now := machine.Now()
	return &request{
		id: "r", clock: machine, service: "s", arrived: now, deadline: now + time.Second, interrupt: &forward.Interrupt{},
		route: &directory.Route{MaxAttempts: 1}, inbound: &fasthttp.Request{}, answer: &fasthttp.Response{},
	}
}

// TestSuspensionBetweenChoiceAndSend guards against a request that is sent after its deadline, or to an
// instance that has left meanwhile, because the machine was suspended after the choice.
func TestSuspensionBetweenChoiceAndSend(t *testing.T) {
	instance := directory.Instance{ID: "i", Service: "s", Zone: "z", Slots: 1, State: directory.InstanceReady}
	for _, c := range []struct {
		name      string
		meanwhile func(*Gateway, *manualClock)
		want      fault.Kind
	}{
		{"nothing", func(*Gateway, *manualClock) {}, ""},
		{"the deadline passes", func(_ *Gateway, machine *manualClock) { machine.suspend(suspension) }, fault.DeadlineBeforeStart},
		{"the instance leaves", func(g *Gateway, _ *manualClock) {
			leaving := instance
			leaving.State = directory.InstanceDraining
			g.subscription.table.Store(oneInstance(t, leaving))
		}, fault.NoOwner},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := &manualClock{}
			settings := config.DefaultGateway()
			settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
			g, err := newWithClock(machine, settings, discardLog(), Options{})
			if err != nil {
				t.Fatal(err)
			}
			chosen := instance
			var arrivals *atomic.Int64
			chosen.Address, arrivals = startInstance(t, g.dialect.RequestID)
			g.upstreams.settings.Traffic = onDial{func() { c.meanwhile(g, machine) }}
			g.subscription.table.Store(oneInstance(t, instance))
			confirmForTest(g)
			current := newRequest(machine)
			current.inbound.Header.SetHost("s.example")
			current.inbound.Header.Set(g.dialect.RequestID, current.id)
			failure := g.attempt(current, chosen)
			if got := kindOf(failure); got != c.want {
				t.Errorf("got %v, want %q", failure, c.want)
			}
			if sent := arrivals.Load() == 1; sent != (c.want == "") {
				t.Errorf("%d requests reached the instance", arrivals.Load())
			}
		})
	}
}

func kindOf(failure *fault.Error) fault.Kind {
	if failure == nil {
		return ""
	}
	return failure.Kind
}

// TestDeadlinePassesInASuspension guards against callers that wait for as much longer as their gateway's
// machine was suspended: the timers of an attempt stand still meanwhile.
func TestDeadlinePassesInASuspension(t *testing.T) {
	machine := &manualClock{}
	current := newRequest(machine)
	watch := newCallers()
	watch.watched[1] = watched{remaining: current.remaining, interrupt: current.interrupt}
	watch.poll(func(watched) bool { return false })
	if current.interrupt.Fired() {
		t.Fatal("aborted before the deadline")
	}
	machine.suspend(suspension)
	watch.poll(func(watched) bool { return false })
	if !current.interrupt.Fired() {
		t.Fatal("the request was not aborted after its deadline")
	}
	if got := current.interrupted().Kind; got != fault.DeadlineExceeded {
		t.Errorf("the failure is %q", got)
	}
}
