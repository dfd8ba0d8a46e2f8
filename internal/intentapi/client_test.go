package intentapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// replica is a test server for the API of one controller.
type replica struct {
	address string
	calls   atomic.Int32
}

func startReplica(t *testing.T, handler fasthttp.RequestHandler) *replica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stub := &replica{address: listener.Addr().String()}
	server := &fasthttp.Server{Handler: func(context *fasthttp.RequestCtx) {
		stub.calls.Add(1)
		handler(context)
	}}
	var group conc.WaitGroup
	group.Go(func() {
		if err := server.Serve(listener); err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Errorf("shut down: %v", err)
		}
		_ = listener.Close() // Shutdown does not close the listener if Serve has not started
		group.Wait()
	})
	return stub
}

func refuse(kind fault.Kind, leader string) fasthttp.RequestHandler {
	return func(context *fasthttp.RequestCtx) {
		answer := fault.AnswerFor(kind)
		context.SetStatusCode(answer.Status)
		body, _ := json.Marshal(ErrorBody{Kind: kind, Outcome: answer.Outcome, Detail: "stub", Leader: leader})
		context.SetBody(body)
	}
}

func answerPlan(context *fasthttp.RequestCtx) {
	var intent state.Intent
	if json.Unmarshal(context.PostBody(), &intent) != nil || string(context.Path()) != PathPlans {
		context.SetStatusCode(fasthttp.StatusTeapot)
		return
	}
	body, _ := json.Marshal(state.Plan{ID: "p1", Intent: intent})
	context.SetBody(body)
}

// dropConnection closes the connection without an answer.
func dropConnection(context *fasthttp.RequestCtx) {
	context.HijackSetNoResponse(true)
	context.Hijack(func(connection net.Conn) { _ = connection.Close() })
}

func newTestClient(t *testing.T, endpoints ...string) *Client {
	t.Helper()
	created, err := NewClient(ClientConfig{Endpoints: endpoints, BackoffBase: time.Millisecond, BackoffMax: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(created.Close)
	return created
}

func contextWithTimeout(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestClientFollowsLeaderHint(t *testing.T) {
	leader := startReplica(t, answerPlan)
	other := startReplica(t, refuse(fault.Internal, ""))
	follower := startReplica(t, refuse(fault.NotLeader, leader.address))
	plan, err := newTestClient(t, follower.address, other.address).Plan(contextWithTimeout(t, time.Minute), state.Intent{ID: "i1"})
	if err != nil || plan.Intent.ID != "i1" {
		t.Fatalf("plan = %+v, %v", plan, err)
	}
	if follower.calls.Load() != 1 || leader.calls.Load() != 1 || other.calls.Load() != 0 {
		t.Errorf("calls: follower %d, leader %d, other %d", follower.calls.Load(), leader.calls.Load(), other.calls.Load())
	}
}

func TestClientRepeatsUntilAnswered(t *testing.T) {
	var failures atomic.Int32
	flaky := startReplica(t, func(context *fasthttp.RequestCtx) {
		if failures.Add(1) <= 3 {
			dropConnection(context)
			return
		}
		answerPlan(context)
	})
	if _, err := newTestClient(t, flaky.address).Plan(contextWithTimeout(t, time.Minute), state.Intent{ID: "i1"}); err != nil {
		t.Fatal(err)
	}
	if flaky.calls.Load() != 4 {
		t.Errorf("%d calls, want 4", flaky.calls.Load())
	}
}

// TestClientRepeatsWhileTheControllerIsBusy guards against a call that fails at once on a full queue, although
// it was not executed and there is time left to retry.
func TestClientRepeatsWhileTheControllerIsBusy(t *testing.T) {
	var refusals atomic.Int32
	busy := refuse(fault.QueueFull, "")
	replica := startReplica(t, func(context *fasthttp.RequestCtx) {
		if refusals.Add(1) <= 3 {
			busy(context)
			return
		}
		answerPlan(context)
	})
	if _, err := newTestClient(t, replica.address).Plan(contextWithTimeout(t, time.Minute), state.Intent{ID: "i1"}); err != nil {
		t.Fatal(err)
	}
	if replica.calls.Load() != 4 {
		t.Errorf("%d calls, want 4", replica.calls.Load())
	}
}

func TestClientKeepsUnknownOutcome(t *testing.T) {
	// The connection of the first call is lost after the call was sent, and the later call is refused.
	// The refusal does not show whether the first call was executed.
	var calls atomic.Int32
	refuseLeader := refuse(fault.NotLeader, "")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	replica := startReplica(t, func(context *fasthttp.RequestCtx) {
		if calls.Add(1) == 1 {
			dropConnection(context)
			return
		}
		cancel()
		refuseLeader(context)
	})
	_, err := newTestClient(t, replica.address).Confirm(ctx, "p1", ConfirmRequest{})
	if !fault.Is(err, fault.ConnectionLost) || calls.Load() != 2 {
		t.Errorf("error %v after %d calls", err, calls.Load())
	}
}

// timedReplicas are controllers on a virtual clock, each of which refuses a call after took. An attempt that begins with
// less than slow until its deadline gets no answer.
type timedReplicas struct{ took, slow time.Duration }

// DoDeadline implements transport.
func (r timedReplicas) DoDeadline(_ *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	if time.Until(deadline) < r.slow {
		time.Sleep(time.Until(deadline))
		return fasthttp.ErrTimeout
	}
	time.Sleep(r.took)
	answer := fault.AnswerFor(fault.NotLeader)
	response.SetStatusCode(answer.Status)
	body, err := json.Marshal(ErrorBody{Kind: fault.NotLeader, Outcome: answer.Outcome, Detail: "stub"})
	response.SetBody(body)
	return err
}

// CloseIdleConnections implements transport.
func (timedReplicas) CloseIdleConnections() {}

// TestClientBeginsNoAttemptWithoutTime guards against a write whose failure is known, and whose last attempt is cut
// off by the time limit, so that its outcome counts as unknown. It is the same in a round of several endpoints.
func TestClientBeginsNoAttemptWithoutTime(t *testing.T) {
	const slow = 100 * time.Millisecond
	for _, endpoints := range [][]string{{"127.0.0.1:1"}, {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}} {
		for took := time.Millisecond; took < slow; took += time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				client := newTestClient(t, endpoints...)
				client.transport = timedReplicas{took: took, slow: slow}
				ctx := contextWithTimeout(t, 4*slow)
				if _, err := client.Confirm(ctx, "p1", ConfirmRequest{}); !fault.Is(err, fault.NotLeader) {
					t.Errorf("%d endpoints that refuse after %s: error %v", len(endpoints), took, err)
				}
			})
		}
	}
}

func TestClientStopsAtFinalErrors(t *testing.T) {
	for _, kind := range []fault.Kind{fault.StalePlan, fault.Conflict, fault.InvalidArgument, fault.NotFound, fault.Unauthorized} {
		first := startReplica(t, refuse(kind, ""))
		second := startReplica(t, answerPlan)
		_, err := newTestClient(t, first.address, second.address).Plan(contextWithTimeout(t, time.Minute), state.Intent{})
		if !fault.Is(err, kind) || first.calls.Load() != 1 || second.calls.Load() != 0 {
			t.Errorf("%s: error %v, calls %d and %d", kind, err, first.calls.Load(), second.calls.Load())
		}
	}
}

func TestClientTransferIsSentOnce(t *testing.T) {
	lost := startReplica(t, dropConnection)
	other := startReplica(t, answerPlan)
	err := newTestClient(t, lost.address, other.address).Transfer(contextWithTimeout(t, time.Minute))
	if !fault.Is(err, fault.ConnectionLost) || lost.calls.Load() != 1 || other.calls.Load() != 0 {
		t.Errorf("error %v, calls %d and %d", err, lost.calls.Load(), other.calls.Load())
	}
}

func TestClientWithoutControllers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	_ = listener.Close()
	if _, err := newTestClient(t, closed).Services(contextWithTimeout(t, time.Second)); !fault.Is(err, fault.ConnectFailed) {
		t.Errorf("error %v", err)
	}
	if _, err := NewClient(ClientConfig{}); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("no endpoints: %v", err)
	}
}

func TestClientBoundsAnswers(t *testing.T) {
	large := startReplica(t, func(context *fasthttp.RequestCtx) { context.SetBody(make([]byte, 4096)) })
	bounded, err := NewClient(ClientConfig{Endpoints: []string{large.address}, MaxAnswerBytes: 1024})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bounded.Close)
	if _, err := bounded.Servers(contextWithTimeout(t, time.Minute)); !fault.Is(err, fault.Internal) {
		t.Errorf("error %v", err)
	}
}

// checkAcknowledged checks whether a call is acknowledged by an answer with a head, to which the length is added. Its outcome
// must be open if not.
func checkAcknowledged(t *testing.T, head string, want bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		var request fasthttp.Request
		if request.Read(bufio.NewReader(connection)) == nil {
			_, _ = io.WriteString(connection, head+"Content-Length: 2\r\n\r\n{}") // the client may have closed
		}
	})
	client, err := NewClient(ClientConfig{Endpoints: []string{listener.Addr().String()}, CallTimeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.send(t.Context(), listener.Addr().String(), call{method: fasthttp.MethodPost, path: "/", body: []byte("{}")})
	if (err == nil) != want || !want && !isUnknown(err) {
		t.Errorf("%q: %v, want acknowledged %t, else an open outcome", head, err, want)
	}
	client.Close()
	_ = listener.Close()
	group.Wait()
}

// TestStatusThatIsNoneAcknowledgesNothing guards against a call that counts as done by an answer with status 000.
func TestStatusThatIsNoneAcknowledgesNothing(t *testing.T) {
	for code, valid := range map[string]bool{"000": false, "200": true} {
		checkAcknowledged(t, "HTTP/1.1 "+code+" Odd\r\n", valid)
	}
}

// TestMalformedHeadAcknowledgesNothing guards against a call that counts as done by an answer whose head violates the grammar.
func TestMalformedHeadAcknowledgesNothing(t *testing.T) {
	for line, valid := range map[string]bool{"X Odd: v": false, "X-Odd : v": false, "X\x01Odd: v": false, "X-Odd: v\r\n w": false, "X-Odd: v": true} {
		checkAcknowledged(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n", valid)
	}
}
