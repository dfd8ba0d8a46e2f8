package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

func encoded(t *testing.T, value any) string {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// wantError makes one call and checks the answer against the expected status, outcome and retry delay of the
// error kind.
func (g *group) wantError(number int, method, path, body string, kind fault.Kind) intentapi.ErrorBody {
	g.t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + g.processes[number].settings.APIAddress + path)
	request.Header.SetMethod(method)
	request.SetBodyString(body)
	if err := fasthttp.DoTimeout(request, response, waitTimeout); err != nil {
		g.t.Fatalf("%s %s: %v", method, path, err)
	}
	var answer intentapi.ErrorBody
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		g.t.Fatalf("%s %s: %v: %s", method, path, err, response.Body())
	}
	row := fault.AnswerFor(kind)
	retry := len(response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
	if answer.Kind != kind || answer.Outcome != row.Outcome || response.StatusCode() != row.Status || retry != (row.RetryAfter > 0) {
		g.t.Errorf("%s %s: want %s, got status %d, retry-after %v, %s", method, path, kind, response.StatusCode(), retry, response.Body())
	}
	if strings.HasPrefix(answer.Detail, string(kind)) {
		g.t.Errorf("%s %s: the detail repeats the kind: %s", method, path, answer.Detail)
	}
	return answer
}

func TestIntentAPIErrors(t *testing.T) {
	g := newGroupInMemory(t)
	leader := g.leader()
	const post, get = fasthttp.MethodPost, fasthttp.MethodGet
	planned := creation("service")
	plan, err := g.client.Plan(g.context(), planned)
	if err != nil {
		t.Fatal(err)
	}
	confirmPath := "/v1/plans/" + string(plan.ID) + "/confirm"

	g.wantError(leader, post, intentapi.PathPlans, "{", fault.InvalidArgument)
	g.wantError(leader, post, intentapi.PathPlans, `{"intent_id":"x","knid":"move_key"}`, fault.InvalidArgument)
	g.wantError(leader, post, intentapi.PathPlans, strings.Repeat(" ", 65<<10), fault.InvalidArgument)
	g.wantError(leader, get, "/v1/plans/none", "", fault.NotFound)
	g.wantError(leader, get, "/v1/nowhere", "", fault.NotFound)
	g.wantError(leader, get, intentapi.PathShards+"?service=none", "", fault.NotFound)
	other := creation("other")
	other.ID = planned.ID
	g.wantError(leader, post, intentapi.PathPlans, encoded(t, other), fault.Conflict)
	g.wantError(leader, post, confirmPath, encoded(t, intentapi.ConfirmRequest{Digest: "other"}), fault.Conflict)

	follower := g.follower()
	answer := g.wantError(follower, post, intentapi.PathPlans, encoded(t, planned), fault.NotLeader)
	if want := g.processes[leader].settings.APIAddress; answer.Leader != want {
		t.Errorf("the follower names leader %q, want %q", answer.Leader, want)
	}
	g.wantError(follower, get, intentapi.PathServices, "", fault.NotLeader)

	rival := creation("service")
	rival.ID = "rival"
	second, err := g.client.Plan(g.context(), rival)
	if err != nil {
		t.Fatal(err)
	}
	confirmation := intentapi.ConfirmRequest{Operator: "test", Digest: second.Digest}
	if _, err := g.client.Confirm(g.context(), second.ID, confirmation); err != nil {
		t.Fatal(err)
	}
	g.wantError(leader, post, confirmPath, encoded(t, intentapi.ConfirmRequest{Digest: plan.Digest}), fault.StalePlan)
	repeated, err := g.client.Confirm(g.context(), second.ID, confirmation)
	if err != nil || repeated.Status != state.PlanConfirmed {
		t.Errorf("resent confirmation: %+v, %v", repeated, err)
	}

	g.stop((leader + 1) % groupSize)
	g.stop((leader + 2) % groupSize)
	g.wantError(leader, get, intentapi.PathServices, "", fault.Unavailable)
}

// TestRestingConnectionsAreClosed guards against connections of instances that have switched to another
// controller or ended and leave no room for others. They stayed open for a minute, and with 3,000 instances an
// operator got no connection after the loss of a zone.
func TestRestingConnectionsAreClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := config.DefaultController().API
	settings.IdleTimeout = 150 * time.Millisecond
	ready := func() (bool, string) { return true, "" }
	service := newAPI(settings, nil, nil, telemetry.NewMetrics("controller"), ready, nil)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = service.serve(listener) })
	defer func() { _ = service.stop(context.Background()) }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write([]byte("GET " + intentapi.PathLive + " HTTP/1.1\r\nHost: c\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if err := connection.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(connection)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("read %q, %v before the connection was closed", answer, err)
	}
}

// TestConnectionsLeaveRoom: the API leaves descriptors for files and streams if its limit is that of the
// process.
func TestConnectionsLeaveRoom(t *testing.T) {
	for limit, want := range map[int]int{256: 256, 4096: 4096 - minReservedConnections} {
		if got := apiConnections(limit); got != want {
			t.Errorf("limit %d: %d connections, want %d", limit, got, want)
		}
	}
}

// TestCallThatMeetsADefectIsAnswered guards against a call whose panic crashed one controller after another as
// its caller retried it.
func TestCallThatMeetsADefectIsAnswered(t *testing.T) {
	var lines bytes.Buffer
	log := telemetry.New("controller", "c", "info", &lines)
	ready := func() (bool, string) { return true, "" }
	// The status call dereferences the replica, which is nil here, and panics.
	service := newAPI(config.DefaultController().API, log, nil, telemetry.NewMetrics("controller"), ready, nil)
	service.attach(nil)
	for range 2 {
		response, err := service.app.Test(httptest.NewRequest(http.MethodGet, intentapi.PathStatus, nil))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusInternalServerError {
			t.Errorf("status %d, want 500", response.StatusCode)
		}
	}
	if !strings.Contains(lines.String(), string(telemetry.EventPanicked)) {
		t.Errorf("the panic was not logged: %s", lines.String())
	}
}
