package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

const routerFile = "role: router\nname: r1\ncontrollers: [127.0.0.1:7101]\n"

// run executes the program and returns its exit code and streams.
func run(t *testing.T, input string, arguments ...string) (code ExitCode, out, errors string) {
	t.Helper()
	t.Setenv(environmentOperator, "asha")
	var outBuffer, errBuffer bytes.Buffer
	streams := Streams{In: strings.NewReader(input), Out: &outBuffer, Err: &errBuffer}
	code = Execute(context.Background(), arguments, streams, Runners{})
	return code, outBuffer.String(), errBuffer.String()
}

// stub answers the intent API with fixed bodies, by method and path.
type stub struct {
	answers map[string]string
	status  int
	bodies  map[string]string
}

func (s *stub) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.bodies = map[string]string{}
	server := &fasthttp.Server{Handler: func(context *fasthttp.RequestCtx) {
		call := string(context.Method()) + " " + string(context.RequestURI())
		s.bodies[call] = string(context.PostBody())
		context.SetStatusCode(fasthttp.StatusNotFound)
		if answer, found := s.answers[call]; found {
			context.SetStatusCode(s.status)
			context.SetBodyString(answer)
		}
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
		_ = listener.Close() // Shutdown leaves it open if Serve has not begun
		group.Wait()
	})
	return listener.Addr().String()
}

func encode(t *testing.T, value any) string {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func examplePlan() state.Plan {
	return state.Plan{
		ID:     "i1",
		Intent: state.Intent{ID: "i1", Kind: state.IntentMoveKey},
		Status: state.PlanStored,
		Base:   7,
		Operations: []state.Operation{
			{IsolateKey: &state.IsolateKey{Shard: 3, Epoch: 2, Hash: 255, To: "s2"}},
			{MoveShard: &state.MoveShard{Shard: 4, Epoch: 1, From: "s1", To: "s2"}},
		},
		Prediction: state.Prediction{Moves: 2, ImbalanceBefore: 1.5, ImbalanceAfter: 1.25, Churn: 0.125, Unavailable: 40_000_000},
		Reasons:    []string{"the key is hot"},
		Digest:     "abc",
	}
}

const planText = `PLAN  INTENT    STATUS  BASE  ACCEPTED  DIGEST
i1    move_key  stored  7     -         abc

MOVES  IMBALANCE BEFORE  IMBALANCE AFTER  CHURN   UNAVAILABLE PER SHARD
2      1.500             1.250            12.50%  40ms (assumed)

OPERATION    OBJECT   DETAIL
isolate key  shard 3  hash 00000000000000ff to s2
move shard   shard 4  s1 to s2

reason: the key is hot

confirm with: thorntiller confirm i1 --digest abc
`

func TestPlanAndConfirm(t *testing.T) {
	plan := examplePlan()
	confirmed := plan
	confirmed.Status = state.PlanConfirmed
	confirmed.Accepted = 9
	api := &stub{status: fasthttp.StatusOK, answers: map[string]string{
		"POST /v1/plans":            encode(t, plan),
		"GET /v1/plans/i1":          encode(t, plan),
		"POST /v1/plans/i1/confirm": encode(t, confirmed),
	}}
	endpoint := api.start(t)
	code, out, errors := run(t, "", "plan", "move-key", "ledger", "acct/1", "--to", "s2", "--intent-id", "i1", "--endpoints", endpoint)
	if code != ExitOK || out != planText || !strings.Contains(errors, "--intent-id i1") {
		t.Errorf("code %d, out:\n%s\nerrors: %s", code, out, errors)
	}
	want := state.Intent{ID: "i1", Operator: "asha", Kind: state.IntentMoveKey, MoveKey: &state.MoveKey{Service: "ledger", Key: "acct/1", To: "s2"}}
	if got := api.bodies["POST /v1/plans"]; got != encode(t, want) {
		t.Errorf("sent %s", got)
	}
	code, out, _ = run(t, "", "confirm", "i1", "--yes", "-o", "json", "--endpoints", endpoint)
	var answered state.Plan
	if err := json.Unmarshal([]byte(out), &answered); err != nil || code != ExitOK || answered.Accepted != 9 {
		t.Errorf("code %d, %v, out:\n%s", code, err, out)
	}
	if got := api.bodies["POST /v1/plans/i1/confirm"]; got != `{"operator":"asha","digest":"abc"}` {
		t.Errorf("confirmed with %s", got)
	}
}

func TestFreshIntentIDs(t *testing.T) {
	api := &stub{status: fasthttp.StatusOK, answers: map[string]string{"POST /v1/plans": "{}"}}
	endpoint := api.start(t)
	sent := map[state.IntentID]bool{}
	for range 2 {
		if code, _, errors := run(t, "", "plan", "rebalance", "ledger", "--endpoints", endpoint); code != ExitOK {
			t.Fatal(errors)
		}
		var intent state.Intent
		if err := json.Unmarshal([]byte(api.bodies["POST /v1/plans"]), &intent); err != nil || len(intent.ID) != 36 {
			t.Fatalf("intent %+v, %v", intent, err)
		}
		sent[intent.ID] = true
	}
	if len(sent) != 2 {
		t.Errorf("the same identifier was drawn twice: %v", sent)
	}
}

func TestIntentFiles(t *testing.T) {
	api := &stub{status: fasthttp.StatusOK, answers: map[string]string{"POST /v1/plans": "{}"}}
	endpoint := api.start(t)
	file := "name: ledger\nkeyed: true\nshards: 8\nsettings: {retry_ratio: 0.1}\nservers:\n  - {id: s1, address: '127.0.0.1:9', slots: 2}\n"
	if code, _, errors := run(t, file, "plan", "create-service", "-f", "-", "--endpoints", endpoint); code != ExitOK {
		t.Fatal(errors)
	}
	var intent state.Intent
	if err := json.Unmarshal([]byte(api.bodies["POST /v1/plans"]), &intent); err != nil {
		t.Fatal(err)
	}
	created := intent.CreateService
	if created == nil || created.Shards != 8 || created.Settings.RetryRatio != 0.1 || len(created.Servers) != 1 || created.Servers[0].Slots != 2 {
		t.Errorf("sent %+v", created)
	}
	ranges := "map:\n  ranges: [{range: {first: 0, last: 18446744073709551615}, server: s1}]\n  keys: [{key: k, server: s2}]\n"
	if code, _, errors := run(t, ranges, "plan", "set-mode", "ledger", "observed", "-f", "-", "--endpoints", endpoint); code != ExitOK {
		t.Fatal(errors)
	}
	if sent := api.bodies["POST /v1/plans"]; !strings.Contains(sent, `"last":18446744073709551615`) || !strings.Contains(sent, `{"key":"k","server":"s2"}`) {
		t.Errorf("sent %s", sent)
	}
	code, _, errors := run(t, "name: ledger\nshard: 8\n", "plan", "create-service", "-f", "-")
	if code != ExitUsage || !strings.Contains(errors, `-:2: "shard"`) {
		t.Errorf("code %d, errors %s", code, errors)
	}
}

const statusText = `ENDPOINT  REPLICA  ROLE    TERM  LEADER  COMMIT  APPLIED  REVISION  CURRENT  ERROR
ADDRESS   a        leader  2     a       9       9        8         yes      -

IN FORCE EVERYWHERE  REVISION  SHARDS OWNED  LAGGING
no                   8         7 of 8        s2, r1

SERVICE  MODE     KEYED  SHARDS  OWNED  REVOKING  UNOWNED
ledger   managed  yes    8       7      1         0

SERVER  SERVICE  ADDRESS      ZONE  INTENT  SESSION OPEN  SHARDS  IN FORCE  CLAIMS DIFFER
s1      ledger   127.0.0.1:9  -     active  yes           7       yes       -
s2      ledger   127.0.0.1:6  -     active  no            0       no        -
s3      ledger   127.0.0.1:5  -     active  no            0       no        2

` + routersText

const routersText = `ROUTER  ADDRESS      ZONE  CONNECTED  REVISION  LAG    IN FORCE  SERVICES
r1      127.0.0.1:8  z1    yes        7         120ms  no        ledger
`

func exampleStatus() intentapi.Status {
	return intentapi.Status{
		Replica: "a", Role: "leader", Term: 2, LeaderName: "a", Commit: 9, Applied: 9, Revision: 8, Current: true,
		Services: []intentapi.ServiceStatus{{Name: "ledger", Mode: state.ModeManaged, Keyed: true, Shards: 8, Owned: 7, Revoking: 1}},
		Servers: []intentapi.ServerStatus{
			{ID: "s1", Service: "ledger", Address: "127.0.0.1:9", Intent: state.ServerActive, Open: true, Shards: 7, InForce: true},
			{ID: "s2", Service: "ledger", Address: "127.0.0.1:6", Intent: state.ServerActive},
			{ID: "s3", Service: "ledger", Address: "127.0.0.1:5", Intent: state.ServerActive, Observed: true, Differences: 2},
		},
		Routers: []intentapi.RouterStatus{{ID: "r1", Address: "127.0.0.1:8", Zone: "z1", Open: true, Revision: 7, LagMs: 120, Services: []state.ServiceName{"ledger"}}},
	}
}

func TestGetOwner(t *testing.T) {
	half := uint64(1) << 63
	shards := []state.Shard{
		{ID: 1, Service: "ledger", Range: state.KeyRange{Last: half - 1}, Phase: state.ShardOwned, Owner: "s1", Epoch: 3, Revision: 5},
		{ID: 2, Service: "ledger", Range: state.KeyRange{First: half, Last: ^uint64(0)}, Phase: state.ShardOwned, Owner: "s2", Epoch: 4, Revision: 5},
	}
	api := &stub{status: fasthttp.StatusOK, answers: map[string]string{"GET /v1/shards?service=ledger": encode(t, shards)}}
	endpoint := api.start(t)
	// The hash of the key is a9f1816fa2cd7e9c.
	code, out, errors := run(t, "", "get", "owner", "ledger", "paylink-0", "--endpoints", endpoint)
	const want = `SHARD  FIRST             LAST              PHASE  OWNER  EPOCH  TARGET  REVISION
2      8000000000000000  ffffffffffffffff  owned  s2     4      -       5
`
	if code != ExitOK || out != want {
		t.Errorf("code %d, errors %s, out:\n%s\nwant:\n%s", code, errors, out, want)
	}
	api.answers["GET /v1/shards?service=batch"] = "[]"
	if code, _, errors := run(t, "", "get", "owner", "batch", "k", "--endpoints", endpoint); code != ExitUsage || !strings.Contains(errors, `"batch"`) {
		t.Errorf("a service without keys: code %d, errors %s", code, errors)
	}
}

func TestStatus(t *testing.T) {
	status := exampleStatus()
	api := &stub{status: fasthttp.StatusOK, answers: map[string]string{
		"GET /v1/status": encode(t, status), "GET /v1/routers": encode(t, status.Routers),
	}}
	endpoint := api.start(t)
	code, out, errors := run(t, "", "status", "--endpoints", endpoint)
	// The address has the kernel's port, which sets the width of the column.
	want := strings.Replace(statusText, "ADDRESS ", endpoint, 1)
	if code != ExitOK || squeeze(out) != squeeze(want) {
		t.Errorf("code %d, errors %s, out:\n%s\nwant:\n%s", code, errors, out, want)
	}
	if code, out, errors := run(t, "", "get", "routers", "--endpoints", endpoint); code != ExitOK || out != routersText {
		t.Errorf("code %d, errors %s, out:\n%s\nwant:\n%s", code, errors, out, routersText)
	}
	status.Current = false
	api.answers["GET /v1/status"] = encode(t, status)
	if code, _, _ := run(t, "", "status", "--endpoints", endpoint); code != ExitUnavailable {
		t.Errorf("unconfirmed status: code %d", code)
	}
}

// squeeze replaces runs of spaces by one.
func squeeze(text string) string {
	lines := strings.Split(text, "\n")
	for index, line := range lines {
		lines[index] = strings.Join(strings.Fields(line), " ")
	}
	return strings.Join(lines, "\n")
}

func TestExitCodes(t *testing.T) {
	codes := map[fault.Kind]ExitCode{
		fault.StalePlan: ExitStalePlan, fault.Conflict: ExitConflict, fault.InvalidArgument: ExitUsage, fault.NotFound: ExitUsage,
		fault.Unauthorized: ExitFailure, fault.NotLeader: ExitUnavailable, fault.Unavailable: ExitUnknown,
	}
	for kind, want := range codes {
		answer := fault.AnswerFor(kind)
		body := encode(t, intentapi.ErrorBody{Kind: kind, Outcome: answer.Outcome, Detail: "stub"})
		api := &stub{status: answer.Status, answers: map[string]string{"POST /v1/plans/p/confirm": body, "GET /v1/services": body}}
		endpoint := api.start(t)
		code, _, errors := run(t, "", "confirm", "p", "--digest", "d", "--timeout", "300ms", "--endpoints", endpoint)
		if code != want || !strings.Contains(errors, string(kind)) {
			t.Errorf("%s: code %d, want %d; %s", kind, code, want, errors)
		}
		if code, _, _ := run(t, "", "get", "services", "--timeout", "300ms", "--endpoints", endpoint); code == ExitUnknown {
			t.Errorf("%s: a read has no unknown outcome", kind)
		}
	}
}

func TestUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{
		{"nothing"}, {"plan"}, {"plan", "nothing"}, {"get", "shards"}, {"confirm", "p"}, {"confirm", "p", "--yes", "--digest", "d"},
		{"status", "--endpoints", "localhost"}, {"status", "-o", "xml"}, {"status", "--timeout", "0s"}, {"controller"},
		{"plan", "set-mode", "ledger", "loose"}, {"plan", "create-service"}, {"config", "check", "--role", "king", "/dev/null"},
	} {
		code, _, errors := run(t, "", arguments...)
		if code != ExitUsage || !strings.HasPrefix(errors, "error: ") {
			t.Errorf("%v: code %d, %s", arguments, code, errors)
		}
	}
}

func TestUnknownCommandSuggestion(t *testing.T) {
	want := "error: unknown command \"rebalanse\", did you mean rebalance?; see thorntiller plan --help\n"
	if _, _, errors := run(t, "", "plan", "rebalanse"); errors != want {
		t.Errorf("errors %s", errors)
	}
}

func TestConfigCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(path, []byte(routerFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errors := run(t, "", "config", "check", path); code != ExitOK || out != path+": valid settings of a router\n" {
		t.Errorf("code %d, out %s, errors %s", code, out, errors)
	}
	if err := os.WriteFile(path, []byte(routerFile+"ping_interval: 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := "error: " + path + `:4: ping_interval = "5": a duration needs a unit; write 5ms, or another of the units us, ms, s, m, h` + "\n"
	if code, _, errors := run(t, "", "config", "check", path); code != ExitUsage || errors != want {
		t.Errorf("code %d, errors %s", code, errors)
	}
}

// TestRoleOutlivesHangUp: SIGHUP says that the settings file has changed. It ended the
// process, as no role took it.
func TestRoleOutlivesHangUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(path, []byte(routerFile), 0o600); err != nil {
		t.Fatal(err)
	}
	var log syncBuffer
	hangUp := func(wanted string) error {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			return err
		}
		for end := time.Now().Add(patience); !strings.Contains(log.String(), wanted); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return errors.New("no line with " + wanted + " in " + log.String())
			}
		}
		return nil
	}
	runners := Runners{Router: func(context.Context, config.Router, *logrus.Entry) error {
		if err := hangUp(`"event":"settings_reloaded","level":"info"`); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte("role: router\nnone: 1\n"), 0o600); err != nil {
			return err
		}
		return hangUp(`"event":"settings_reloaded","level":"warning"`)
	}}
	streams := Streams{Out: &log, Err: &bytes.Buffer{}}
	if code := Execute(context.Background(), []string{"router", "-c", path}, streams, runners); code != ExitOK {
		t.Errorf("code %d, log %s", code, log.String())
	}
}

const patience = 20 * time.Second

// syncBuffer is a buffer that several goroutines use.
type syncBuffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.String()
}

func TestRouterStopsAtSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(path, []byte(routerFile), 0o600); err != nil {
		t.Fatal(err)
	}
	var settings config.Router
	runners := Runners{Router: func(ctx context.Context, given config.Router, _ *logrus.Entry) error {
		settings = given
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}}
	var log bytes.Buffer
	streams := Streams{Out: &log, Err: &bytes.Buffer{}}
	code := Execute(context.Background(), []string{"router", "-c", path, "--name", "r2"}, streams, runners)
	stopping := strings.Index(log.String(), `"event":"stopping"`)
	stopped := strings.Index(log.String(), `"event":"stopped"`)
	if code != ExitOK || settings.Name != "r2" || stopping < 0 || stopped < stopping {
		t.Errorf("code %d, name %q, log %s", code, settings.Name, log.String())
	}
	runners.Router = func(context.Context, config.Router, *logrus.Entry) error { return errors.New("disk") }
	if code := Execute(context.Background(), []string{"router", "-c", path}, streams, runners); code != ExitFailure {
		t.Errorf("failed router: code %d", code)
	}
}

func TestPagesEqualTheCode(t *testing.T) {
	pages := map[string][]string{
		"CONFIGURATION.md": {"config", "reference"}, "LOGS.md": {"reference", "logs"}, "EXIT_CODES.md": {"reference", "exit-codes"},
	}
	for name, arguments := range pages {
		committed, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
		if err != nil {
			t.Fatal(err)
		}
		if _, out, _ := run(t, "", arguments...); out != string(committed) {
			t.Errorf("docs/%s differs from the code; run make docs", name)
		}
	}
}

func TestMergeShardsTakesNumbers(t *testing.T) {
	api := &stub{status: fasthttp.StatusOK, answers: map[string]string{"POST /v1/plans": "{}"}}
	endpoint := api.start(t)
	if code, _, errors := run(t, "", "plan", "merge-shards", "ledger", "11", "33", "--intent-id", "i1", "--endpoints", endpoint); code != ExitOK {
		t.Fatal(errors)
	}
	want := state.Intent{ID: "i1", Operator: "asha", Kind: state.IntentMergeShards, MergeShards: &state.MergeNeighbours{Service: "ledger", First: 11, Second: 33}}
	if got := api.bodies["POST /v1/plans"]; got != encode(t, want) {
		t.Errorf("sent %s", got)
	}
	if code, _, _ := run(t, "", "plan", "merge-shards", "ledger", "11", "x", "--endpoints", endpoint); code != ExitUsage {
		t.Errorf("code %d", code)
	}
}
