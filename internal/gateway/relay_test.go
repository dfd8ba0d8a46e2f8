package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/relay"
	"github.com/thorntiller/thorntiller/internal/room"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// stubRelay is a gateway that answers relayed requests as a test says.
type stubRelay struct {
	address string
	// requests counts the requests that arrived whole.
	requests atomic.Int64
}

// noWelcome is the answer of a relay that does not accept connections of this gateway.
const noWelcome = "none"

// startStubRelay starts a relay that sends an answer to each request, "" for none, and then closes the
// connection.
func startStubRelay(t *testing.T, answer string) *stubRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stubRelay{address: listener.Addr().String()}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { s.serve(accepted, answer) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return s
}

func (s *stubRelay) serve(accepted net.Conn, answer string) {
	defer func() { _ = accepted.Close() }()
	connection := wire.NewConn(accepted, wire.Options{})
	var hello message.Hello
	if connection.Receive(&hello) != nil || hello.Purpose != message.PurposeRelay || hello.Cluster != "cluster" {
		return
	}
	if answer == noWelcome || connection.Send(context.Background(), &message.RelayWelcome{}) != nil {
		return
	}
	var request fasthttp.Request
	if request.Read(bufio.NewReader(connection.Detach())) != nil {
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(accepted, answer)
}

// relayed returns an answer of a relay with a result.
func relayed(result relay.Result, body string) string {
	var header fasthttp.ResponseHeader
	relay.SetResult(&header, result, "")
	header.SetContentLength(len(body))
	header.Set("Thorntiller-Request-Id", "x")
	header.SetNoDefaultContentType(true)
	return header.String() + body
}

// newCutOffGateway returns a gateway that cannot reach the instances of two services, and knows some relays. The
// path /once/ may run at most once, /again/ may be repeated.
func newCutOffGateway(t *testing.T, relays ...*stubRelay) *Gateway {
	t.Helper()
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds, settings.RetryBurst = "g", []string{"127.0.0.1:1"}, 100
	gateway, err := New(settings, telemetry.New(role, "g", "error", io.Discard), Options{})
	if err != nil {
		t.Fatal(err)
	}
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","version":1}],"routes":[
		{"name":"once","host":"h.example","prefix":"/once/","service":"s","kind":"at_most_once","max_attempts":3,"version":1},
		{"name":"again","host":"h.example","prefix":"/again/","service":"s","kind":"repeatable","max_attempts":3,"version":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	var instances []directory.Instance
	for number := range 3 {
		instances = append(instances, directory.Instance{
			ID: directory.InstanceID("i" + strconv.Itoa(number)), Service: "s", Address: "127.0.0.1:" + strconv.Itoa(1+number), Zone: "z", Slots: 4, State: directory.InstanceReady,
		})
	}
	var named []directory.Relay
	for _, each := range relays {
		named = append(named, directory.Relay{Address: each.address, Zone: "z"})
	}
	view := directory.New()
	for index, command := range []directory.Command{{Patch: &patch}, {Instances: instances}, {Relays: named}} {
		if command.Patch == nil && len(command.Instances)+len(command.Relays) == 0 {
			continue
		}
		if err := view.Apply(directory.Revision(index+1), command); err != nil {
			t.Fatal(err)
		}
	}
	changes := view.RoutingSince(0)
	if err := gateway.subscription.apply(message.DirectoryUpdate{Cluster: "cluster", Changes: &changes}, source{}); err != nil {
		t.Fatal(err)
	}
	confirmForTest(gateway)
	for _, instance := range instances {
		gateway.reach.Failed(gateway.clock.Now(), instance.ID)
	}
	return gateway
}

// ask sends a request to a gateway.
func ask(gateway *Gateway, path string) *fasthttp.Response {
	var request fasthttp.Request
	request.SetRequestURI(path)
	request.Header.SetHost("h.example")
	request.Header.Set("Thorntiller-Request-Id", "x")
	request.Header.Set("Thorntiller-Timeout-Ms", "3000")
	var exchange fasthttp.RequestCtx
	exchange.Init(&request, nil, nil)
	gateway.serve(&exchange)
	return &exchange.Response
}

// TestRelayedRequestRunsAtMostOnce checks what callers get, and how often a request is handed over, for each way
// in which a relay can end it: it is asked again elsewhere only after a proof that nothing was sent, and rejected
// as not run only then.
func TestRelayedRequestRunsAtMostOnce(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: x\r\nContent-Length: 2\r\n\r\nno"
	for _, c := range []struct {
		name, answer, path string
		status             int
		// handedOver is the number of relays, of two, that get the request.
		handedOver int64
	}{
		{"answer", relayed(relay.Answered, "all"), "/once/", fasthttp.StatusOK, 1},
		{"broken connection", "", "/once/", fasthttp.StatusBadGateway, 1},
		{"broken connection, repeatable", "", "/again/", fasthttp.StatusBadGateway, 2},
		{"connection not accepted", noWelcome, "/once/", fasthttp.StatusServiceUnavailable, 0},
		{"half an answer", relayed(relay.Answered, "all")[:60], "/once/", fasthttp.StatusBadGateway, 1},
		{"no result", foreign, "/once/", fasthttp.StatusBadGateway, 1},
		{"server lost", relayed(relay.Lost, ""), "/once/", fasthttp.StatusBadGateway, 1},
		{"timed out", relayed(relay.TimedOut, ""), "/once/", fasthttp.StatusGatewayTimeout, 1},
		{"not sent", relayed(relay.NotSent, ""), "/once/", fasthttp.StatusServiceUnavailable, 2},
		{"cut off as well", relayed(relay.CutOff, ""), "/once/", fasthttp.StatusServiceUnavailable, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := startStubRelay(t, c.answer), startStubRelay(t, c.answer)
			gateway := newCutOffGateway(t, first, second)
			began := time.Now()
			got := ask(gateway, c.path)
			if got.StatusCode() != c.status {
				t.Errorf("status %d, want %d: %s", got.StatusCode(), c.status, got.Body())
			}
			if count := first.requests.Load() + second.requests.Load(); count != c.handedOver {
				t.Errorf("handed over %d times, want %d", count, c.handedOver)
			}
			if strings.Contains(got.Header.String(), "Relay") {
				t.Errorf("the caller sees %q", got.Header.String())
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %s", took)
			}
		})
	}
}

// TestAnswerOfARelayCutAtAnyByteIsNoAnswer guards against an answer that breaks off behind a relay, in its head or in its
// body, and that the caller gets as a whole one.
func TestAnswerOfARelayCutAtAnyByteIsNoAnswer(t *testing.T) {
	whole := relayed(relay.Answered, "all of it")
	for cut := range len(whole) {
		response := ask(newCutOffGateway(t, startStubRelay(t, whole[:cut])), "/once/")
		if response.StatusCode() != fasthttp.StatusBadGateway {
			t.Errorf("%d of %d bytes: status %d, body %q", cut, len(whole), response.StatusCode(), response.Body())
		}
	}
}

// TestNoWayIsRejectedAtOnce checks that a gateway which reaches neither instances nor relays rejects requests
// without a wait, as not run and with a time to return.
func TestNoWayIsRejectedAtOnce(t *testing.T) {
	gateway := newCutOffGateway(t)
	began := time.Now()
	got := ask(gateway, "/once/")
	if got.StatusCode() != fasthttp.StatusServiceUnavailable || len(got.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
		t.Errorf("answer %q", got.String())
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("rejected after %s", took)
	}
}

// TestRelayedRequestIsNotRelayedAgain checks that a relay which cannot reach the instance itself says so, even if
// it knows further relays.
func TestRelayedRequestIsNotRelayedAgain(t *testing.T) {
	further := startStubRelay(t, relayed(relay.Answered, "all"))
	gateway := newCutOffGateway(t, further)
	var request fasthttp.Request
	request.SetRequestURI("/once/")
	request.Header.SetHost("h.example")
	request.Header.Set("Thorntiller-Request-Id", "x")
	relay.SetTarget(&request.Header, relay.Target{Service: "s", Instance: "i0"})
	var exchange fasthttp.RequestCtx
	exchange.Init(&request, nil, nil)
	gateway.serveRelayed(&exchange)
	if result, failure := relay.TakeResult(&exchange.Response.Header); result != relay.CutOff || failure == nil {
		t.Errorf("result %q, %v", result, failure)
	}
	if count := further.requests.Load(); count != 0 {
		t.Errorf("relayed %d times", count)
	}
}

// TestOnlyGatewaysOfTheClusterMayRelay checks that a connection for relayed requests from elsewhere is closed.
func TestOnlyGatewaysOfTheClusterMayRelay(t *testing.T) {
	gateway := newCutOffGateway(t)
	for _, cluster := range []message.ClusterID{"", "other"} {
		near, far := net.Pipe()
		err := gateway.serveRelay(t.Context(), message.Hello{Purpose: message.PurposeRelay, Cluster: cluster}, wire.NewConn(near, wire.Options{}))
		if err == nil {
			t.Errorf("cluster %q is served", cluster)
		}
		_, _ = near.Close(), far.Close()
	}
	starting := newSubscription(testClock, config.DefaultGateway(), gateway.log, nil, &link.Meter{})
	gateway.subscription = starting
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	if gateway.serveRelay(t.Context(), message.Hello{Purpose: message.PurposeRelay}, wire.NewConn(near, wire.Options{})) == nil {
		t.Error("a gateway that has no directory yet serves anybody")
	}
}

// TestCutOffGatewayBlamesNoInstance guards against a keeper that ejects instances for all gateways because one of
// them cannot reach any.
func TestCutOffGatewayBlamesNoInstance(t *testing.T) {
	failed := func() *request {
		return &request{interrupt: &forward.Interrupt{}, clock: testClock, route: &directory.Route{}}
	}
	connectFailed, lost := fault.New(fault.ConnectFailed, ""), fault.New(fault.ConnectionLost, "")
	cutOff, connected := newCutOffGateway(t), newCutOffGateway(t)
	connected.reach.Reached(0, "i0")
	brokenRelay := failed()
	brokenRelay.relayFailed = true
	for _, c := range []struct {
		name    string
		gateway *Gateway
		current *request
		chosen  way
		failure *fault.Error
		want    room.Outcome
	}{
		{"cut off", cutOff, failed(), way{}, connectFailed, room.Unused},
		{"connected", connected, failed(), way{}, connectFailed, room.Failed},
		{"relay that cannot reach it", connected, failed(), way{relay: "r"}, connectFailed, room.Unused},
		{"relay that broke", connected, brokenRelay, way{relay: "r"}, lost, room.Unused},
		{"instance that broke behind a relay", connected, failed(), way{relay: "r"}, lost, room.Failed},
		{"answer through a relay", cutOff, failed(), way{relay: "r"}, nil, room.Answered},
	} {
		if got := c.gateway.placeOutcome(c.current, c.chosen, c.failure); got != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, got, c.want)
		}
	}
}

// TestRelayedRequestArrivesAsItWasSent checks that an instance behind a relay gets the tenant that the first gateway
// named and none of the relay's headers, and that a stop waits until the answer is written.
func TestRelayedRequestArrivesAsItWasSent(t *testing.T) {
	arrived, release := make(chan http.Header, 1), make(chan struct{})
	instance := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		arrived <- request.Header.Clone()
		<-release
		writer.Header().Set("Thorntiller-Request-Id", "x")
		_, _ = io.WriteString(writer, strings.Repeat("a", 100_000))
	}))
	defer instance.Close()
	gateway := newCutOffGateway(t)
	gateway.reach.Reached(0, "i0")
	changed := directory.New()
	if err := changed.Apply(9, directory.Command{Instances: []directory.Instance{{
		ID: "i0", Service: "s", Address: instance.Listener.Addr().String(), Zone: "z", Slots: 4, State: directory.InstanceReady,
	}}}); err != nil {
		t.Fatal(err)
	}
	changes := changed.RoutingSince(0)
	changes.From = 2
	if err := gateway.subscription.apply(message.DirectoryUpdate{Changes: &changes}, source{}); err != nil {
		t.Fatal(err)
	}
	near, far := tcpPair(t)
	var serving conc.WaitGroup
	defer serving.Wait()
	serving.Go(func() {
		_ = gateway.serveRelay(context.Background(), message.Hello{Cluster: "cluster"}, wire.NewConn(far, wire.Options{}))
	})
	connection := wire.NewConn(near, wire.Options{})
	defer connection.Close()
	var welcome message.RelayWelcome
	if err := connection.Receive(&welcome); err != nil {
		t.Fatal(err)
	}
	var request fasthttp.Request
	request.SetRequestURI("/once/")
	request.Header.SetHost("h.example")
	request.Header.Set("Thorntiller-Request-Id", "x")
	request.Header.Set("Thorntiller-Tenant", "team")
	relay.SetTarget(&request.Header, relay.Target{Service: "s", Instance: "i0"})
	stream := connection.Detach()
	if _, err := request.WriteTo(stream); err != nil {
		t.Fatal(err)
	}
	header := <-arrived
	for name := range header {
		if strings.Contains(name, "Relay") {
			t.Errorf("the instance gets %s", name)
		}
	}
	if header.Get("Thorntiller-Tenant") != "team" {
		t.Errorf("the instance gets tenant %q", header.Get("Thorntiller-Tenant"))
	}
	if gateway.relayedRunning.Load() != 1 {
		t.Errorf("%d relayed requests are counted", gateway.relayedRunning.Load())
	}
	close(release)
	var answer fasthttp.Response
	if err := answer.Read(bufio.NewReader(stream)); err != nil {
		t.Fatal(err)
	}
	if result, failure := relay.TakeResult(&answer.Header); failure != nil || len(answer.Body()) != 100_000 {
		t.Errorf("result %q, %v, %d bytes", result, failure, len(answer.Body()))
	}
	if err := gateway.awaitRelayed(gateway.clock.Now() + time.Minute); err != nil {
		t.Error(err)
	}
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, far
}
