package backend

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

const patience = 20 * time.Second

// fixture is a running back end with one shard over the whole key space.
type fixture struct {
	*testing.T
	backend *Backend
	client  *fasthttp.Client
	records string
	fence   uint64
}

func start(t *testing.T, config Config) *fixture {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	config.ID, config.Address, config.Keyed = "a", "127.0.0.1:0", true
	config.RecordFile = t.TempDir() + "/a.jsonl"
	backend, err := New(config, logger)
	if err != nil {
		t.Fatal(err)
	}
	if err := backend.Start(); err != nil {
		t.Fatal(err)
	}
	client := &fasthttp.Client{RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	f := &fixture{T: t, backend: backend, client: client, records: config.RecordFile}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		stopping, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		if err := backend.Shutdown(stopping); err != nil {
			t.Error(err)
		}
	})
	f.grant(time.Minute)
	return f
}

// hold keeps started requests executing until the returned function is called.
func (f *fixture) hold() (release func()) {
	f.backend.SetFault(Fault{HoldExecutions: true})
	return func() { f.backend.SetFault(Fault{}) }
}

func (f *fixture) grant(duration time.Duration) {
	f.Helper()
	f.fence++
	var answer backendapi.LeaseAnswer
	f.post(backendapi.PathLease, backendapi.LeaseRequest{
		Server: "a", Incarnation: f.backend.Incarnation(), Session: f.fence, Version: 1, Replace: true,
		Fence:     backendapi.Fence{Term: 1, Sequence: f.fence},
		ReadingNs: int64(clock.BootTime()), DurationNs: int64(duration),
		Assignments: []backendapi.Assignment{{Shard: 7, Epoch: 2, First: 0, Last: 1<<64 - 1}},
	}, &answer)
	if !answer.Accepted {
		f.Fatalf("grant refused: %+v", answer)
	}
}

func (f *fixture) post(path string, body, into any) {
	f.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		f.Fatal(err)
	}
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + f.backend.Address() + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(encoded)
	if err := f.client.DoTimeout(request, response, patience); err != nil {
		f.Fatal(err)
	}
	if into == nil {
		return
	}
	if err := json.Unmarshal(response.Body(), into); err != nil {
		f.Fatalf("%s: %s: %v", path, response.Body(), err)
	}
}

// send sends one POST for key k; headers come in pairs of name and value.
func (f *fixture) send(id string, headers ...string) (*fasthttp.Response, error) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + f.backend.Address() + "/pay/" + id)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(backendapi.HeaderRequestID, id)
	request.Header.Set(backendapi.HeaderShard, "7")
	request.Header.Set(backendapi.HeaderEpoch, "2")
	request.Header.Set(backendapi.HeaderKey, "k")
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	request.SetBodyString("payload of " + id)
	err := f.client.DoTimeout(request, response, patience)
	return response, err
}

func (f *fixture) wantRefusal(id string, want backendapi.Refusal, headers ...string) {
	f.Helper()
	executions := f.backend.Executions()
	response, err := f.send(id, headers...)
	if err != nil {
		f.Fatal(err)
	}
	got := backendapi.Refusal(response.Header.Peek(backendapi.HeaderRefusal))
	if got != want || response.StatusCode() != fasthttp.StatusServiceUnavailable {
		f.Errorf("%s: status %d, refusal %q, want %q", id, response.StatusCode(), got, want)
	}
	if now := f.backend.Executions(); now != executions {
		f.Errorf("%s: refused, but executions went from %d to %d", id, executions, now)
	}
}

func (f *fixture) wantOwnAnswer(id string) {
	f.Helper()
	response, err := f.send(id)
	if err != nil {
		f.Error(err)
		return
	}
	body, err := DecodeAnswerBody(response.Body())
	if err != nil || body.RequestID != id || body.Payload != "payload of "+id {
		f.Errorf("%s: answer %s: %v", id, response.Body(), err)
	}
}

func (f *fixture) until(what string, condition func(backendapi.LoadReport) bool) {
	f.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		f.backend.mutex.Lock()
		load := f.backend.loadLocked()
		f.backend.mutex.Unlock()
		if condition(load) {
			return
		}
	}
	f.Fatalf("never: %s", what)
}

func TestOwnAnswersAndRecords(t *testing.T) {
	f := start(t, Config{})
	for index := range 20 {
		f.wantOwnAnswer("r" + strconv.Itoa(index))
	}
	if f.backend.Arrivals() != 20 || f.backend.Executions() != 20 {
		t.Errorf("%d arrivals, %d executions, want 20 each", f.backend.Arrivals(), f.backend.Executions())
	}
	lines, err := record.ReadFile[record.Execution](f.records)
	if err != nil || len(lines) != 40 {
		t.Fatalf("%d record lines, want 40: %v", len(lines), err)
	}
	if line := lines[1]; line.Kind != record.ExecutionFinish || line.Request != "r0" || line.Shard != 7 || line.Key != "k" {
		t.Errorf("second line is %+v", line)
	}
}

// forgetDoubt lets the process be older than any attempt of an earlier one.
func (b *Backend) forgetDoubt() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.attempts.doubtUntil = 0
}

func TestRefusals(t *testing.T) {
	f := start(t, Config{})
	f.wantRefusal("epoch", backendapi.RefusalWrongEpoch, backendapi.HeaderEpoch, "3")
	f.wantRefusal("deadline", backendapi.RefusalDeadline, backendapi.HeaderTimeout, "0")
	var cancelled backendapi.CancelAnswer
	f.post(backendapi.PathCancel, backendapi.CancelRequest{RequestID: "early"}, &cancelled)
	if cancelled.Outcome != backendapi.CancelRunning {
		t.Errorf("cancel of what an earlier process may have run: %q", cancelled.Outcome)
	}
	f.backend.forgetDoubt()
	f.post(backendapi.PathCancel, backendapi.CancelRequest{RequestID: "early"}, &cancelled)
	if cancelled.Outcome != backendapi.CancelNeverStarted {
		t.Errorf("cancel before arrival: %q", cancelled.Outcome)
	}
	f.wantRefusal("early", backendapi.RefusalCancelled)
	f.backend.SetFault(Fault{RefuseAll: true})
	f.wantRefusal("shed", backendapi.RefusalShedding)
	f.backend.SetFault(Fault{})
	f.grant(1)
	f.wantRefusal("expired", backendapi.RefusalLeaseExpired)
	f.post(backendapi.PathDrain, nil, nil)
	f.wantRefusal("drain", backendapi.RefusalDraining)
}

// TestQueue fills one slot and a queue of two.
func TestQueue(t *testing.T) {
	tests := []struct {
		name      string
		shedAbove int
		want      backendapi.Refusal
	}{
		{"full", 0, backendapi.RefusalQueueFull},
		{"shedding", 2, backendapi.RefusalShedding},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := start(t, Config{Slots: 1, QueueLimit: 2, ShedAbove: test.shedAbove})
			release := f.hold()
			group := conc.NewWaitGroup()
			defer group.Wait()
			defer release()
			group.Go(func() { f.wantOwnAnswer("runs") })
			f.until("one runs", func(load backendapi.LoadReport) bool { return load.Running == 1 })
			refused := conc.NewWaitGroup()
			refused.Go(func() { f.wantRefusal("waits", backendapi.RefusalCancelled) })
			group.Go(func() { f.wantOwnAnswer("second") })
			f.until("two wait", func(load backendapi.LoadReport) bool { return load.Queued == 2 })
			f.wantRefusal("third", test.want)
			for id, want := range map[string]backendapi.CancelOutcome{"waits": backendapi.CancelNeverStarted, "runs": backendapi.CancelRunning} {
				var cancelled backendapi.CancelAnswer
				f.post(backendapi.PathCancel, backendapi.CancelRequest{RequestID: id}, &cancelled)
				if cancelled.Outcome != want {
					t.Errorf("cancel of %s: %q, want %q", id, cancelled.Outcome, want)
				}
			}
			refused.Wait()
		})
	}
}

// TestExecutionIsCheckedAfterQueue takes the ownership away, and lets a deadline
// pass, while requests wait behind a running one, which finishes.
func TestExecutionIsCheckedAfterQueue(t *testing.T) {
	f := start(t, Config{Slots: 1})
	release := f.hold()
	group := conc.NewWaitGroup()
	defer group.Wait()
	defer release()
	group.Go(func() { f.wantOwnAnswer("runs") })
	f.until("one runs", func(load backendapi.LoadReport) bool { return load.Running == 1 })
	f.wantRefusal("late", backendapi.RefusalDeadline, backendapi.HeaderTimeout, "20")
	group.Go(func() {
		response, err := f.send("waits")
		if got := string(response.Header.Peek(backendapi.HeaderRefusal)); err != nil || got != string(backendapi.RefusalDraining) {
			t.Errorf("waits: refusal %q, %v", got, err)
		}
	})
	f.until("one waits", func(load backendapi.LoadReport) bool { return load.Queued == 1 })
	f.post(backendapi.PathDrain, nil, nil)
}

func TestFaultyAnswers(t *testing.T) {
	f := start(t, Config{})
	f.post(PathFault, Fault{DropAnswers: 1}, nil)
	if response, err := f.send("dropped"); err == nil {
		t.Errorf("an answer cut in its body came as whole: %s", response.Body())
	}
	if f.backend.Arrivals() != 1 || f.backend.Executions() != 1 {
		t.Errorf("%d arrivals, %d executions: want one each", f.backend.Arrivals(), f.backend.Executions())
	}
	f.post(PathFault, Fault{CrossAnswers: 2}, nil)
	group := conc.NewWaitGroup()
	for own, other := range map[string]string{"x": "y", "y": "x"} {
		group.Go(func() {
			response, err := f.send(own)
			if got := string(response.Header.Peek(backendapi.HeaderRequestID)); err != nil || got != other {
				t.Errorf("%s got the answer of %q, want that of %q: %v", own, got, other, err)
			}
		})
	}
	group.Wait()
}

func TestConnectionLimit(t *testing.T) {
	f := start(t, Config{Connections: 1})
	release := f.hold()
	group := conc.NewWaitGroup()
	defer group.Wait()
	defer release()
	group.Go(func() { f.wantOwnAnswer("first") })
	f.until("one runs", func(load backendapi.LoadReport) bool { return load.Running == 1 })
	response, err := f.send("second")
	if got := string(response.Header.Peek(backendapi.HeaderRefusal)); err != nil || got != string(backendapi.RefusalQueueFull) {
		t.Errorf("second connection: refusal %q, %v", got, err)
	}
}

func TestAttemptTableKeepsItsPromises(t *testing.T) {
	const started = -AttemptMemory
	table := newAttemptTable(2, started)
	if got := table.cancel(started+AttemptMemory-1, "of an earlier process"); got != backendapi.CancelRunning {
		t.Errorf("cancel of what an earlier process may have run: %q", got)
	}
	for _, id := range []string{"a", "b", "c"} {
		arrived, _ := table.arrive(id)
		table.start(arrived)
		table.end(time.Second, id, arrived)
	}
	if got := table.cancel(2*time.Second, "a"); got != backendapi.CancelRunning {
		t.Errorf("cancel of a forgotten attempt that ran: %q", got)
	}
	after := time.Second + AttemptMemory
	for _, id := range []string{"d", "e"} {
		if got := table.cancel(after, id); got != backendapi.CancelNeverStarted {
			t.Errorf("cancel of %s: %q", id, got)
		}
	}
	if got := table.cancel(after, "f"); got != backendapi.CancelRunning {
		t.Errorf("cancel without room to remember it: %q", got)
	}
	if _, fresh := table.arrive("d"); fresh {
		t.Error("an attempt that was promised never to start was let in")
	}
}
