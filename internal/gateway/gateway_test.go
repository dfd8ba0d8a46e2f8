package gateway

import (
	"context"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestStatusesThatPromise checks that 408, 421, 429 and 503, which promise that a request has not run and
// never will, are used for no kind with another outcome.
func TestStatusesThatPromise(t *testing.T) {
	promises := []int{fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable}
	for _, kind := range fault.Kinds() {
		status, notRun := statusOf(fault.New(kind, ""))
		proved := fault.AnswerFor(kind).Outcome == fault.NotRun
		if notRun != proved {
			t.Errorf("%s: not run %v, proved %v", kind, notRun, proved)
		}
		if slices.Contains(promises, status) && !proved {
			t.Errorf("%s: status %d promises that the request did not run", kind, status)
		}
	}
	for kind, want := range map[fault.Kind]int{
		fault.DeadlineExceeded: fasthttp.StatusGatewayTimeout, fault.ConnectionLost: fasthttp.StatusBadGateway,
		fault.ConnectFailed: fasthttp.StatusServiceUnavailable, fault.NoOwner: fasthttp.StatusServiceUnavailable,
		fault.UnknownService: fasthttp.StatusNotFound, fault.InvalidRequest: fasthttp.StatusBadRequest,
	} {
		if status, _ := statusOf(fault.New(kind, "")); status != want {
			t.Errorf("%s: status %d, want %d", kind, status, want)
		}
	}
}

// TestRejectedRangeIsNotAskedFor guards against a single rejection that excludes all keys of a holder. A
// rejected range is excluded for a while or until the layout changes; other ranges of the holder only once it
// has rejected several.
func TestRejectedRangeIsNotAskedFor(t *testing.T) {
	r := newRejections(testClock)
	if !r.mayAsk("a", 0, 7) {
		t.Error("holder without rejections must stay selectable")
	}
	r.record("a", 0, 7)
	if r.mayAsk("a", 0, 7) || !r.mayAsk("a", 100, 7) || !r.mayAsk("b", 0, 7) {
		t.Error("only the rejected range of the holder that rejected it must be left out")
	}
	for first := range directory.Key(maxRejectedRanges) {
		r.record("a", first*10, 7)
	}
	if r.mayAsk("a", 100, 7) {
		t.Error("a holder that rejected several ranges must be left out")
	}
	if !r.mayAsk("a", 0, 8) || !r.mayAsk("a", 100, 8) {
		t.Error("under another layout it must be selectable")
	}
	r.record("a", 0, 8)
	time.Sleep(rejectionPause + 20*time.Millisecond)
	if !r.mayAsk("a", 0, 8) {
		t.Error("after a while it must be selectable")
	}
}

// TestDrainingInstanceServesForAWhile checks that the time limit counts from when this gateway learned of the
// drain.
func TestDrainingInstanceServesForAWhile(t *testing.T) {
	const allowed = 50 * time.Millisecond
	d := newDrains(testClock, allowed)
	leaving := directory.Instance{ID: "a", State: directory.InstanceDraining}
	d.since["a"] = testClock.Now()
	if !d.mayServe(leaving) || d.mayServe(directory.Instance{ID: "b", State: directory.InstanceDraining}) {
		t.Error("only an instance that this gateway knows to be draining may serve")
	}
	time.Sleep(allowed + 10*time.Millisecond)
	if d.mayServe(leaving) {
		t.Error("it may serve beyond the time limit")
	}
}

// TestDemandIsToldOnce checks that counts are reported by key, and each only once.
func TestDemandIsToldOnce(t *testing.T) {
	d := &demandCounter{services: make(map[string]*serviceCounts)}
	for _, key := range []directory.Key{0, 0, 16, 65535} {
		d.countArrival("s", key)
	}
	d.countAnswer("s", "a", 30*time.Millisecond, 0)
	d.countAnswer("s", "a", 50*time.Millisecond, 0)
	report := d.take()
	if len(report.Services) != 1 || len(report.Services[0].Keys) != 3 {
		t.Fatalf("report %+v", report)
	}
	first := slices.Index(report.Services[0].Keys, 0)
	if first < 0 || report.Services[0].Counts[first] != 2 {
		t.Errorf("keys %v, counts %v", report.Services[0].Keys, report.Services[0].Counts)
	}
	if reported := report.Services[0].Instances; len(reported) != 1 || reported[0].Answered != 2 || reported[0].BusyMs != 80 {
		t.Errorf("instances %+v", reported)
	}
	if again := d.take(); len(again.Services) != 0 {
		t.Errorf("reported again: %+v", again)
	}
}

// TestStopDoesNotWaitForSilentConnections checks idle connections to the callers' address and to that of the
// health checks. A gateway waited 5 s for each kind, and was killed at the end of the platform's grace period.
func TestStopDoesNotWaitForSilentConnections(t *testing.T) {
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	settings.StopNotice, settings.StopTimeout = 0, 1500*time.Millisecond
	gateway, err := New(settings, telemetry.New(role, "g", "error", io.Discard), Options{})
	if err != nil {
		t.Fatal(err)
	}
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return listener
	}
	callers, admin := listen(), listen()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() { ended <- gateway.serveOn(ctx, callers, admin) })
	defer group.Wait()
	for _, listener := range []net.Listener{callers, admin} {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
	}
	for gateway.connections.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	cancel()
	<-ended
	if took := time.Since(began); took > settings.StopTimeout {
		t.Errorf("the stop took %s, the bound is %s", took, settings.StopTimeout)
	}
}

// TestAnotherClusterReplacesTheTable checks that nothing is kept from the directory of another cluster,
// although the revisions are the same.
func TestAnotherClusterReplacesTheTable(t *testing.T) {
	s := newSubscription(testClock, config.DefaultGateway(), telemetry.New(role, "g", "error", io.Discard), nil, &link.Meter{})
	for _, host := range []string{"a.example", "b.example"} {
		patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","version":1}],"routes":[{"name":"r","host":"` + host +
			`","prefix":"/","service":"s","kind":"repeatable","max_attempts":1,"version":1}]}}`))
		if err != nil {
			t.Fatal(err)
		}
		view := directory.New()
		if err := view.Apply(7, directory.Command{Patch: &patch}); err != nil {
			t.Fatal(err)
		}
		changes := view.RoutingSince(0)
		if err := s.apply(message.DirectoryUpdate{Cluster: message.ClusterID(host), Changes: &changes}, source{}); err != nil {
			t.Fatal(err)
		}
		if _, found := s.current().Route(host, "/"); !found {
			t.Errorf("no route for %s", host)
		}
	}
	if _, found := s.current().Route("a.example", "/"); found {
		t.Error("a route of the earlier cluster was kept")
	}
}

// TestCallersComeBackWhenThereIsADirectory checks that callers are told to retry soon while controllers
// answer, and later after a power failure, when an early retry would only be refused again.
func TestCallersComeBackWhenThereIsADirectory(t *testing.T) {
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	gateway, err := New(settings, telemetry.New(role, "g", "error", io.Discard), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if wait := gateway.retryAfterOf(fault.StaleRouter); wait != retryAfterOutage {
		t.Errorf("without a controller callers retry after %s", wait)
	}
	controller := startStub(t)
	gateway.subscription.controllers = []string{controller.address}
	runInBackground(t, gateway.subscription.run)
	eventually(t, "the controller is reached", func() bool { return gateway.retryAfterOf(fault.StaleRouter) == retryAfterNoDirectory })
	if wait := gateway.retryAfterOf(fault.NoOwner); wait != retryAfter {
		t.Errorf("for keys that move callers retry after %s", wait)
	}
}

// TestNotRunIsSaidOfAllAttempts guards against 503, which promises that a request did not run, for a request
// that may have run at one instance and was rejected by the next.
func TestNotRunIsSaidOfAllAttempts(t *testing.T) {
	lost, full, late := fault.New(fault.ConnectionLost, ""), fault.New(fault.Shedding, ""), fault.New(fault.DeadlineExceeded, "")
	for _, c := range []struct{ unknown, last, want *fault.Error }{
		{nil, full, full}, {lost, full, lost}, {lost, late, late}, {nil, late, late},
	} {
		if got := overallFailure(c.unknown, c.last); got != c.want {
			t.Errorf("after %v and %v: %v", c.unknown, c.last, got)
		}
	}
}

// TestKeyedRequestsAreSentAgainWhereThereIsRoom checks that a request is resent, within the budget, to a
// holder that rejected it although it gets hardly any requests, and not to a holder that gets more than it can
// serve.
func TestKeyedRequestsAreSentAgainWhereThereIsRoom(t *testing.T) {
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	gateway, err := New(settings, discardLog(), Options{})
	if err != nil {
		t.Fatal(err)
	}
	gateway.subscription.table.Store(placeTable(t, "127.0.0.1:9"))
	holder := directory.Instance{ID: "i", Slots: 1}
	shed := fault.New(fault.Shedding, "")
	rejected := func() *request {
		current := placeRequest(time.Second)
		current.keyed, current.route.MaxAttempts, current.answer = true, 2, &fasthttp.Response{}
		gateway.balancer.TryBegin(gateway.clock.Now(), holder, 1000)
		current.attempts = append(current.attempts, holder.ID)
		current.rejectedWithCapacity = gateway.hasCapacity(current)
		return current
	}
	returnsAfter := func(current *request) string {
		gateway.refuse(current, shed)
		return string(current.answer.Header.Peek(fasthttp.HeaderRetryAfter))
	}
	if !gateway.mayResend(rejected(), shed) {
		t.Error("not resent although the holder has capacity")
	}
	current := rejected()
	current.attempts = append(current.attempts, holder.ID)
	if gateway.mayResend(current, shed) {
		t.Error("resent more often than its route allows")
	}
	if wait := returnsAfter(current); wait != "0.05" {
		t.Errorf("the caller is told to retry after %s s although the holder has capacity", wait)
	}
	for range 40 {
		rejected()
	}
	full := rejected()
	if gateway.mayResend(full, shed) {
		t.Error("resent to a holder that gets more than it can serve")
	}
	if wait := returnsAfter(full); wait != "0.25" {
		t.Errorf("the caller of a holder at capacity is told to retry after %s s", wait)
	}
}

// TestRequestThatMeetsADefectIsAnswered guards against a request that crashes one gateway after the other as
// its caller retries it.
func TestRequestThatMeetsADefectIsAnswered(t *testing.T) {
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	gateway, err := New(settings, telemetry.New(role, "g", "error", io.Discard), Options{})
	if err != nil {
		t.Fatal(err)
	}
	gateway.meter = nil // the handler of each request panics on a nil pointer
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := gateway.newCallerServer(callerBufferBytes)
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	defer group.Wait()
	defer func() { _ = server.Shutdown() }()
	for range 2 {
		status, _, err := fasthttp.Get(nil, "http://"+listener.Addr().String()+"/")
		if err != nil || status != fasthttp.StatusBadGateway {
			t.Errorf("status %d, %v; want 502", status, err)
		}
	}
	if running := gateway.metrics.running(); running != 0 {
		t.Errorf("%d requests count as in flight", running)
	}
}
