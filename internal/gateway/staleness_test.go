package gateway

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/remoteclock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// routesPatch is a patch with a service and the named routes.
func routesPatch(version string, names ...string) string {
	body := `{"set":{"services":[{"name":"s","version":1}],"routes":[`
	for index, name := range names {
		if index > 0 {
			body += ","
		}
		body += `{"name":"` + name + `","host":"a.example","prefix":"/` + name + `/","kind":"repeatable","service":"s","max_attempts":1,"version":` + version + `}`
	}
	return body + `]}}`
}

func applyPatch(t *testing.T, view *directory.Directory, body string) {
	t.Helper()
	patch, err := directory.ReadPatch([]byte(body))
	if err == nil {
		err = view.Apply(view.Revision()+1, directory.Command{Patch: &patch})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestChangedRoutesAreLogged checks that the log tells when a version of a route came into force, from whom, and
// how old the proof of the table was.
func TestChangedRoutesAreLogged(t *testing.T) {
	machine := &manualClock{}
	var lines bytes.Buffer
	s := newSubscription(machine, config.DefaultGateway(), telemetry.New(role, "g", "info", &lines), nil, &link.Meter{})
	view := directory.New()
	update := func(held directory.Revision) {
		changes := view.RoutingSince(held)
		if err := s.apply(message.DirectoryUpdate{Cluster: "c", Changes: &changes}, source{address: "controller"}); err != nil {
			t.Fatal(err)
		}
	}
	applyPatch(t, view, routesPatch("1", "kept", "moved", "dropped"))
	update(0)
	if !strings.Contains(lines.String(), `"table_age_ms":-1`) {
		t.Errorf("a table without proof is logged as %s", lines.String())
	}
	proved := machine.Now()
	s.confirm(proved, source{})
	machine.suspend(time.Second)
	lines.Reset()
	applyPatch(t, view, routesPatch("7", "moved", "added"))
	applyPatch(t, view, `{"remove":{"routes":[{"name":"dropped","version":8}]}}`)
	update(1)
	var line struct {
		Event    string
		Revision int
		Routes   []struct {
			Name    string
			Version int
		}
		TableAgeMs int `json:"table_age_ms"`
		Address    string
	}
	if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, lines.String())
	}
	versions := make(map[string]int)
	for _, route := range line.Routes {
		versions[route.Name] = route.Version
	}
	if line.Event != string(telemetry.EventItemsInForce) || line.Revision != 3 || line.TableAgeMs != 1000 || line.Address != "controller" ||
		len(versions) != 3 || versions["moved"] != 7 || versions["added"] != 7 || versions["dropped"] != 0 {
		t.Errorf("logged %s", lines.String())
	}
}

// confirmForTest lets a gateway follow its table for as long as a test takes.
func confirmForTest(g *Gateway) {
	g.subscription.settings.StalenessLimit = eventuallyTimeout
	g.subscription.confirm(g.clock.Now(), source{})
}

// routeOne reads a request to a path by the current table.
func routeOne(g *Gateway, path string) *fault.Error {
	context := &fasthttp.RequestCtx{}
	context.Request.Header.SetHost("a.example")
	context.Request.SetRequestURI(path)
	_, err := g.readRequest(context, g.subscription.current(), g.subscription.age())
	return asFault(err)
}

// newRoutingGateway returns a gateway with the route /known/ whose clock stands still.
func newRoutingGateway(t *testing.T) (*Gateway, *manualClock) {
	t.Helper()
	machine := &manualClock{}
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	g, err := newWithClock(machine, settings, discardLog(), Options{})
	if err != nil {
		t.Fatal(err)
	}
	view := directory.New()
	applyPatch(t, view, routesPatch("1", "known"))
	changes := view.RoutingSince(0)
	if err := g.subscription.apply(message.DirectoryUpdate{Cluster: "c", Changes: &changes}, source{}); err != nil {
		t.Fatal(err)
	}
	return g, machine
}

// TestUnknownRouteIsDeniedOnlyByAProvedTable guards against a 404 for a route that was added while the gateway
// heard of no change. Only a table that was proved current within the staleness limit says that there is no route.
func TestUnknownRouteIsDeniedOnlyByAProvedTable(t *testing.T) {
	g, machine := newRoutingGateway(t)
	for _, step := range []struct {
		name   string
		proof  time.Duration
		want   fault.Kind
		status int
	}{
		{"never proved", -1, fault.StaleRouter, fasthttp.StatusServiceUnavailable},
		{"just proved", 0, fault.UnknownService, fasthttp.StatusNotFound},
		{"at the limit", g.settings.StalenessLimit, fault.UnknownService, fasthttp.StatusNotFound},
		{"beyond the limit", g.settings.StalenessLimit + time.Millisecond, fault.StaleRouter, fasthttp.StatusServiceUnavailable},
	} {
		if step.proof >= 0 {
			g.subscription.confirm(machine.Now(), source{})
			machine.suspend(step.proof)
		}
		failure := routeOne(g, "/added/1")
		if status, notRun := statusOf(failure); failure.Kind != step.want || status != step.status || !notRun {
			t.Errorf("%s: %s with status %d, want %s with %d", step.name, failure.Kind, status, step.want, step.status)
		}
	}
}

// TestLateProofsRefuseRequests guards against requests that go to the service of an earlier version of a route while
// the controllers work and their messages come too late.
func TestLateProofsRefuseRequests(t *testing.T) {
	g, machine := newRoutingGateway(t)
	limit := g.settings.StalenessLimit
	for _, step := range []struct {
		name         string
		age, arrived time.Duration
		refused      bool
	}{
		{"proofs at the limit", limit, 0, false},
		{"proofs beyond the limit", limit + time.Millisecond, 0, true},
		{"the last one a moment ago", 2 * limit, limit, true},
		{"no proof any more", 2*limit + time.Millisecond, limit + time.Millisecond, true},
	} {
		machine.suspend(10 * limit)
		now := machine.Now()
		received := now - step.arrived
		proved := now - step.age
		g.subscription.provedAt.Store(&proved)
		g.subscription.proofReceivedAt.Store(&received)
		failure := routeOne(g, "/known/1")
		if refused := failure != nil && failure.Kind == fault.StaleRouter; refused != step.refused {
			t.Errorf("%s: refused %t, want %t", step.name, refused, step.refused)
		}
	}
}

// TestLineOfAStaleRouteTellsLateProofsFromNone checks the log line of a request that was routed by an old table: whether
// proofs still arrive is what tells a slow path from a silent one.
func TestLineOfAStaleRouteTellsLateProofsFromNone(t *testing.T) {
	g, machine := newRoutingGateway(t)
	limit := g.settings.StalenessLimit
	for name, step := range map[string]struct {
		received time.Duration
		want     string
	}{
		"late proofs": {time.Second, `"proof_received_ms":1000`},
		"no proof":    {3 * limit, `"proof_received_ms":6000`},
	} {
		var lines bytes.Buffer
		g.log = telemetry.New(role, "g", "info", &lines)
		g.staleLoggedAt.Store(0)
		machine.suspend(10 * limit)
		received := machine.Now() - step.received
		g.subscription.proofReceivedAt.Store(&received)
		g.observe(&request{arrived: machine.Now(), clock: machine, answer: &fasthttp.Response{}, tableAge: 4 * limit, staleTable: true}, nil)
		if !strings.Contains(lines.String(), step.want) || !strings.Contains(lines.String(), `"table_age_ms":8000`) {
			t.Errorf("%s: logged %q, want %s", name, lines.String(), step.want)
		}
	}
}

// TestKnownRouteIsFollowedOnlyByAProvedTable guards against requests that run by an older route at a gateway that has just
// started, or that has heard no proof for longer than a change may take.
func TestKnownRouteIsFollowedOnlyByAProvedTable(t *testing.T) {
	limit := config.DefaultGateway().StalenessLimit
	const never = -1
	beyond := limit + time.Millisecond
	for name, step := range map[string]struct {
		// proof, received and word are how long ago the table was proved, a proof came, and another gateway told that it
		// gets none either.
		proof, received, word time.Duration
		followed              bool
	}{
		"never proved":                        {never, never, never, false},
		"never proved, others neither":        {never, never, 0, false},
		"just proved":                         {0, 0, never, true},
		"at the limit":                        {limit, limit, never, true},
		"beyond the limit":                    {beyond, beyond, never, false},
		"long ago":                            {10 * limit, 10 * limit, never, false},
		"long ago, others get no proof":       {10 * limit, 10 * limit, 0, true},
		"long ago, others got none then":      {10 * limit, 10 * limit, beyond, false},
		"late proofs":                         {beyond, 0, never, false},
		"late proofs, though others get none": {beyond, 0, 0, false},
		"proved again":                        {0, 0, 10 * limit, true},
	} {
		t.Run(name, func(t *testing.T) {
			g, machine := newRoutingGateway(t)
			machine.suspend(100 * limit)
			set := func(reading *atomic.Pointer[time.Duration], ago time.Duration) {
				if at := machine.Now() - ago; ago != never {
					reading.Store(&at)
				}
			}
			set(&g.subscription.provedAt, step.proof)
			set(&g.subscription.proofReceivedAt, step.received)
			set(&g.subscription.unconfirmedAt, step.word)
			failure := routeOne(g, "/known/1")
			if followed := failure == nil; followed != step.followed || !followed && failure.Kind != fault.StaleRouter {
				t.Errorf("followed %t with failure %v, want %t", followed, failure, step.followed)
			}
			if got := g.subscription.knowledge(g.subscription.age()).standing(limit); (got == standingCurrent || got == standingOutage) != step.followed {
				t.Errorf("the standing is %s", got)
			}
			if ready, why := g.ready(); ready != step.followed {
				t.Errorf("ready %t (%s), want %t", ready, why, step.followed)
			}
		})
	}
}

// TestProofIsDatedByTheClockOfItsSource guards against a proof whose age counts from its ping though only the ping took
// long, and against one that counts from its arrival though the changes before it took as long.
func TestProofIsDatedByTheClockOfItsSource(t *testing.T) {
	g, machine := newRoutingGateway(t)
	const short, long, pause = time.Millisecond, 3 * time.Second, time.Minute
	const drift = 100 * time.Millisecond
	answer := func(there, back time.Duration) time.Duration {
		machine.suspend(pause)
		sentAt := machine.Now()
		machine.suspend(there)
		reading := remoteclock.ReadingAt(7, time.Hour+machine.Now())
		machine.suspend(back)
		g.subscription.recordProof(sentAt, message.DirectoryUpdate{Pong: 1, ProvedAt: &reading}, source{})
		return g.subscription.age()
	}
	for _, step := range []struct {
		name                        string
		there, back, atLeast, below time.Duration
	}{
		{"first answer, slow ping", long, short, long, long + drift},
		{"both fast", short, short, short, drift},
		{"slow ping", long, short, short, drift},
		{"slow answer", short, long, long, long + drift},
		{"both slow", long, long, long, long + drift},
	} {
		if age := answer(step.there, step.back); age < step.atLeast || age > step.below {
			t.Errorf("%s: the proof is %s old, want from %s to %s", step.name, age, step.atLeast, step.below)
		}
	}
}

// TestOldTableDeniesNothing guards against a 400, 401 or 404 for what a change allows that this gateway does not know: in an
// outage that others confirm, it follows an old table, and denies nothing by it.
func TestOldTableDeniesNothing(t *testing.T) {
	g, machine := newRoutingGateway(t)
	view := directory.New()
	applyPatch(t, view, routesPatch("1", "known"))
	applyPatch(t, view, `{"set":{"services":[{"name":"k","keyed":true,"version":2}],"routes":[{"name":"keyed","host":"a.example","prefix":"/keyed/","kind":"repeatable","service":"k","max_attempts":1,"allow_anonymous":true,"version":2}]}}`)
	applyPatch(t, view, `{"set":{"tenants":[{"name":"t","version":3}]}}`)
	changes := view.RoutingSince(0)
	if err := g.subscription.apply(message.DirectoryUpdate{Changes: &changes}, source{}); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		path string
		kind fault.Kind
	}{
		{"/added/1", fault.UnknownService},
		{"/keyed/1", fault.InvalidRequest},
		{"/known/1", fault.Unauthenticated},
	} {
		g.subscription.confirm(machine.Now(), source{})
		if failure := routeOne(g, step.path); failure == nil || failure.Kind != step.kind {
			t.Errorf("%s by a proved table: %v, want %s", step.path, failure, step.kind)
		}
		machine.suspend(2 * g.settings.StalenessLimit)
		now := machine.Now()
		g.subscription.unconfirmedAt.Store(&now)
		failure := routeOne(g, step.path)
		if status, notRun := statusOf(failure); failure.Kind != fault.StaleRouter || status != fasthttp.StatusServiceUnavailable || !notRun {
			t.Errorf("%s by an old table: %v with status %d, want %s", step.path, failure, status, fault.StaleRouter)
		}
	}
}

// TestWaitingRequestIsNotSentByAnOldTable guards against a request that was routed by a proved table, waits, and is sent to
// an instance that left meanwhile without word of it at this gateway.
func TestWaitingRequestIsNotSentByAnOldTable(t *testing.T) {
	limit := config.DefaultGateway().StalenessLimit
	for name, step := range map[string]struct {
		age  time.Duration
		want fault.Kind
	}{
		"within the limit": {limit, ""},
		"beyond the limit": {limit + time.Millisecond, fault.StaleRouter},
	} {
		t.Run(name, func(t *testing.T) {
			g, machine := newRoutingGateway(t)
			instance := directory.Instance{ID: "i", Service: "s", Zone: "z", Slots: 1, State: directory.InstanceReady}
			chosen := instance
			var arrivals *atomic.Int64
			chosen.Address, arrivals = startInstance(t, g.dialect.RequestID)
			g.subscription.table.Store(oneInstance(t, instance))
			g.subscription.confirm(machine.Now(), source{})
			current := newRequest(machine)
			current.deadline += step.age
			current.inbound.Header.SetHost("s.example")
			current.inbound.Header.Set(g.dialect.RequestID, current.id)
			machine.suspend(step.age)
			relayed := g.checkRelayed(nil, current, instance)
			failure := g.attempt(current, chosen)
			if kindOf(failure) != step.want || kindOf(relayed) != step.want {
				t.Errorf("sent directly %v, for another gateway %v, want %q", failure, relayed, step.want)
			}
			if sent := arrivals.Load() == 1; sent != (step.want == "") {
				t.Errorf("%d requests reached the instance", arrivals.Load())
			}
			if step.want != "" && g.mayResend(current, failure) {
				t.Error("the request would be sent again by the same table")
			}
		})
	}
}

// TestChangesOfTheStandingAreLogged checks that the log tells once when requests are no longer routed by a proved table, and
// why.
func TestChangesOfTheStandingAreLogged(t *testing.T) {
	g, machine := newRoutingGateway(t)
	var lines bytes.Buffer
	g.subscription.log = telemetry.New(role, "g", "info", &lines)
	last := standingUnproved
	for _, step := range []struct {
		change func()
		want   standing
	}{
		{func() {}, standingUnproved},
		{func() { g.subscription.confirm(machine.Now(), source{}) }, standingCurrent},
		{func() { machine.suspend(2 * g.settings.StalenessLimit) }, standingCutOff},
		{func() { raise(&g.subscription.unconfirmedAt, machine.Now()) }, standingOutage},
		{func() { raise(&g.subscription.proofReceivedAt, machine.Now()) }, standingBehind},
		{func() { g.subscription.confirm(machine.Now(), source{}) }, standingCurrent},
	} {
		lines.Reset()
		step.change()
		before := last
		for range 3 {
			last = g.subscription.logStanding(last)
		}
		want := 1
		if step.want == before {
			want = 0
		}
		if last != step.want || strings.Count(lines.String(), `"standing":"`+string(step.want)+`"`) != want {
			t.Errorf("%s, want %s logged %d times: %s", last, step.want, want, lines.String())
		}
	}
}
