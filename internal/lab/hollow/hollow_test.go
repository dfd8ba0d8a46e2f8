package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const testTimeout = 10 * time.Second

func startBackEnds(t *testing.T, options BackEndOptions) *BackEnds {
	t.Helper()
	options.Prefix, options.Zones = "s", []string{"z"}
	backEnds, err := NewBackEnds(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backEnds.Stop)
	backEnds.Open()
	return backEnds
}

func sendLease(t *testing.T, address string, request backendapi.LeaseRequest) backendapi.LeaseAnswer {
	t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	var answer backendapi.LeaseAnswer
	if err := json.Unmarshal(post(t, address, backendapi.PathLease, body), &answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

func post(t *testing.T, address, path string, body []byte) []byte {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, testTimeout); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(response.Body())
}

// renewal is a lease message that the process which gave the answer must take.
func renewal(probe backendapi.LeaseAnswer, sequence uint64) backendapi.LeaseRequest {
	return backendapi.LeaseRequest{
		Server: probe.Server, Incarnation: probe.Incarnation, Session: 1, Fence: backendapi.Fence{Term: 1, Sequence: sequence},
		ReadingNs: probe.ClockNs, DurationNs: int64(time.Minute), Version: 7, Replace: true,
		Assignments: []backendapi.Assignment{{Shard: 3, Epoch: 2, First: 0, Last: 1 << 63}},
	}
}

// TestBackEndsAreApart: each address is one server with its own lease.
func TestBackEndsAreApart(t *testing.T) {
	var granted []Grant
	backEnds := startBackEnds(t, BackEndOptions{Count: 3, OnGrant: func(grant Grant) { granted = append(granted, grant) }})
	specs := backEnds.Specs()
	probe := sendLease(t, specs[1].Address, backendapi.LeaseRequest{Server: string(specs[1].ID)})
	other := renewal(probe, 1)
	other.Server = string(specs[0].ID)
	if answer := sendLease(t, specs[0].Address, other); answer.Accepted {
		t.Error("a server took the message of another server's process")
	}
	if answer := sendLease(t, specs[1].Address, renewal(probe, 1)); !answer.Accepted || answer.Version != 7 {
		t.Errorf("renewal: %+v", answer)
	}
	if answer := sendLease(t, specs[1].Address, renewal(probe, 1)); answer.Accepted {
		t.Error("a fence was taken twice")
	}
	counts := backEnds.Counts()
	if counts.Leased != 1 || counts.Leases.Messages != 4 || counts.Leases.Received == 0 || counts.Leases.Sent == 0 {
		t.Errorf("counts: %+v", counts)
	}
	if len(granted) != 1 || granted[0].Server != string(specs[1].ID) || len(granted[0].Assignments) != 1 {
		t.Errorf("grants: %+v", granted)
	}
}

// TestSilenceHoldsMessages: a silent server answers what it held once it thaws.
func TestSilenceHoldsMessages(t *testing.T) {
	backEnds := startBackEnds(t, BackEndOptions{Count: 1})
	spec := backEnds.Specs()[0]
	backEnds.Silence(0)
	request := fasthttp.AcquireRequest()
	request.SetRequestURI("http://" + spec.Address + backendapi.PathHealth)
	if err := fasthttp.DoTimeout(request, fasthttp.AcquireResponse(), 50*time.Millisecond); err == nil {
		t.Error("a silent server answered")
	}
	backEnds.Thaw(0)
	post(t, spec.Address, backendapi.PathHealth, nil)
}

// controller serves one table connection with given frames and then pongs.
func controller(t *testing.T, frames ...message.ControllerFrame) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		server := wire.Server{}
		_ = server.Serve(ctx, listener, func(ctx context.Context, connection *wire.Conn) { serveFrames(ctx, connection, frames) })
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return listener.Addr().String()
}

func serveFrames(ctx context.Context, connection *wire.Conn, frames []message.ControllerFrame) {
	var hello message.Hello
	var first message.RouterFrame
	if connection.Receive(&hello) != nil || connection.Receive(&first) != nil || hello.Purpose != message.PurposeTable {
		return
	}
	for _, frame := range frames {
		if connection.Send(ctx, &frame) != nil {
			return
		}
	}
	for {
		var ping message.RouterFrame
		if connection.Receive(&ping) != nil || ping.Ping == nil {
			return
		}
		pong := message.Pong{Nonce: ping.Ping.Nonce, SentNs: ping.Ping.SentNs, Revision: 1}
		if connection.Send(ctx, &message.ControllerFrame{Pong: &pong}) != nil {
			return
		}
	}
}

func tableFrames() []message.ControllerFrame {
	view := state.New()
	view.Apply(1, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r1"}}})
	snapshot := message.TableSnapshot{Cluster: "c", Revision: 1, Objects: view.Objects(), Digest: view.Digest(), First: true, Last: true}
	result := view.Apply(2, state.Command{PutRouter: &state.PutRouter{Router: state.Router{ID: "r2"}}})
	delta := message.TableDelta{From: 1, To: 2, Objects: result.Changed, Digest: view.Digest()}
	return []message.ControllerFrame{{Snapshot: &snapshot}, {Delta: &delta}}
}

func startRouters(t *testing.T, address string, tables int) *Routers {
	t.Helper()
	routers := StartRouters(RouterOptions{
		Count: 2, Prefix: "r", Tables: tables, Controllers: []string{address}, PingInterval: 10 * time.Millisecond,
	})
	t.Cleanup(routers.Stop)
	return routers
}

// TestRoutersFollowTheTable: with and without a whole table a router reaches
// the same revision and digest, and is proved current.
func TestRoutersFollowTheTable(t *testing.T) {
	routers := startRouters(t, controller(t, tableFrames()...), 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	before := clock.BootTime()
	if _, err := routers.WaitRevision(ctx, 2); err != nil {
		t.Fatal(err)
	}
	if at, err := routers.WaitProved(ctx, before); err != nil || at < before {
		t.Fatalf("proved at %s, %v", at, err)
	}
	if err := routers.Check(); err != nil {
		t.Error(err)
	}
	counts := routers.Counts()
	if counts.Snapshots != 2 || counts.Deltas != 2 || counts.Received == 0 || counts.Messages == 0 {
		t.Errorf("counts: %+v", counts)
	}
}

// TestRoutersFindFaults: a missed change and a wrong digest are counted by the
// routers that can see them, and Check fails.
func TestRoutersFindFaults(t *testing.T) {
	gap := tableFrames()
	gap[1].Delta.From = 0
	wrong := tableFrames()
	wrong[1].Delta.Digest++
	for name, c := range map[string]struct {
		frames []message.ControllerFrame
		tables int
	}{"gap, no table": {gap, 0}, "gap": {gap, 2}, "digest": {wrong, 2}, "digest, one table": {wrong, 1}} {
		routers := startRouters(t, controller(t, c.frames...), c.tables)
		for deadline := time.Now().Add(testTimeout); routers.Check() == nil || routers.Counts().Faults == 0; {
			if time.Now().After(deadline) {
				t.Errorf("%s: no fault was found", name)
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}
