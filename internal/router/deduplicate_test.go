package router

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// scriptedClient answers claims with the given answers in order, and repeats the last one.
type scriptedClient struct {
	answers     []message.RecordAnswer
	uncertain   bool
	completions chan record.Completion
}

func (c *scriptedClient) Session() state.SessionNumber { return 1 }

func (c *scriptedClient) Claim(context.Context, record.Claim) (message.RecordAnswer, bool) {
	answer := c.answers[0]
	if len(c.answers) > 1 {
		c.answers = c.answers[1:]
	}
	return answer, c.uncertain
}

func (c *scriptedClient) Complete(_ context.Context, completion record.Completion) bool {
	c.completions <- completion
	return true
}

func verdicts(list ...record.Verdict) []message.RecordAnswer {
	answers := make([]message.RecordAnswer, 0, len(list))
	for _, verdict := range list {
		answers = append(answers, message.RecordAnswer{Verdict: verdict})
	}
	return answers
}

func newTestDeduplicator(client recordClient) *recordDeduplicator {
	return &recordDeduplicator{
		self: "router-1", clock: clock.NewSystem(), client: client, maxAnswerBytes: 64, peerTimeout: time.Second,
		metrics: newMetrics(telemetry.NewMetrics(role)), lifetime: context.Background(), completionSlots: make(chan struct{}, maxCompletions),
	}
}

func newTestExchange(timeout time.Duration) *Exchange {
	inbound := &fasthttp.Request{}
	inbound.Header.SetMethod(fasthttp.MethodPost)
	inbound.SetBodyString("pay 5")
	return &Exchange{
		ID: "own-1", IdempotencyKey: uuid.Must(uuid.NewV7()).String(), Target: "/transfer", Inbound: inbound,
		Answer: &fasthttp.Response{}, Request: dispatch.Request{Service: "transfer-core", Deadline: timeout},
	}
}

func TestVerdictsDecideWhetherTheRequestRuns(t *testing.T) {
	none := record.Status(0)
	cases := map[string]struct {
		claims    []record.Verdict
		uncertain bool
		failure   error
		runs      bool
		kind      fault.Kind
		completed record.Status
	}{
		"granted and answered":         {claims: []record.Verdict{record.Granted}, runs: true, completed: record.Completed},
		"granted after waiting":        {claims: []record.Verdict{record.NotPrimary, record.NotStored, record.InProgress, record.Granted}, runs: true, completed: record.Completed},
		"refused by the back end":      {claims: []record.Verdict{record.Granted}, runs: true, failure: fault.New(fault.Shedding, ""), kind: fault.Shedding, completed: record.Released},
		"outcome open":                 {claims: []record.Verdict{record.Granted}, runs: true, failure: fault.New(fault.ConnectionLost, ""), kind: fault.ConnectionLost, completed: record.Unknown},
		"not stored in time":           {claims: []record.Verdict{record.NotStored}, uncertain: true, kind: fault.RecordUnavailable, completed: record.Released},
		"never reached the primary":    {claims: []record.Verdict{record.NotPrimary}, kind: fault.RecordUnavailable, completed: none},
		"another attempt runs":         {claims: []record.Verdict{record.InProgress}, kind: fault.DuplicateInProgress, completed: none},
		"another attempt may have run": {claims: []record.Verdict{record.OutcomeUnknown}, kind: fault.OutcomeUnknown, completed: none},
		"other content":                {claims: []record.Verdict{record.ContentDiffers}, kind: fault.KeyReused, completed: none},
		"too old":                      {claims: []record.Verdict{record.TooOld}, kind: fault.KeyExpired, completed: none},
		"records lost":                 {claims: []record.Verdict{record.RecordsLost}, kind: fault.RecordLost, completed: none},
		"from the future":              {claims: []record.Verdict{record.FromFuture}, kind: fault.InvalidRequest, completed: none},
		"full":                         {claims: []record.Verdict{record.Full}, kind: fault.QueueFull, completed: none},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := &scriptedClient{answers: verdicts(c.claims...), uncertain: c.uncertain, completions: make(chan record.Completion, 1)}
			deduplicator := newTestDeduplicator(client)
			ran := false
			err := deduplicator.Do(context.Background(), newTestExchange(300*time.Millisecond), func(context.Context, *Exchange) error {
				ran = true
				return c.failure
			})
			deduplicator.wait()
			if ran != c.runs {
				t.Errorf("ran: %v", ran)
			}
			if (err == nil) != (c.kind == "") || (err != nil && fault.KindOf(err) != c.kind) {
				t.Errorf("answered with %v, want kind %q", err, c.kind)
			}
			select {
			case completion := <-client.completions:
				if completion.Status != c.completed {
					t.Errorf("completed with %d, want %d", completion.Status, c.completed)
				}
			default:
				if c.completed != none {
					t.Errorf("no completion, want %d", c.completed)
				}
			}
		})
	}
}

func TestKeyMustBeVersionSeven(t *testing.T) {
	deduplicator := newTestDeduplicator(&scriptedClient{})
	for _, key := range []string{"order-17", uuid.NewString(), "017f22e2-79b0-7cc3-18c4-dc0c0c07398f"} {
		exchange := newTestExchange(time.Second)
		exchange.IdempotencyKey = key
		err := deduplicator.Do(context.Background(), exchange, func(context.Context, *Exchange) error {
			t.Errorf("key %q: the request ran", key)
			return nil
		})
		if !fault.Is(err, fault.InvalidRequest) {
			t.Errorf("key %q: %v", key, err)
		}
	}
}

func TestKeptAnswerIsGivenAgain(t *testing.T) {
	original := &fasthttp.Response{}
	original.SetStatusCode(fasthttp.StatusCreated)
	original.Header.SetContentType("application/json")
	original.Header.Add("X-Part", "1")
	original.Header.Add("X-Part", "2")
	original.Header.Set("Connection", "close")
	original.SetBodyString(`{"paid":5}`)
	kept := keepAnswer(original, 64)
	client := &scriptedClient{answers: []message.RecordAnswer{{Verdict: record.AnswerKept, Answer: kept}}}
	exchange := newTestExchange(time.Second)
	if err := newTestDeduplicator(client).Do(context.Background(), exchange, nil); err != nil {
		t.Fatal(err)
	}
	answer := exchange.Answer
	parts := answer.Header.PeekAll("X-Part")
	if answer.StatusCode() != fasthttp.StatusCreated || string(answer.Body()) != `{"paid":5}` || len(parts) != 2 ||
		string(answer.Header.ContentType()) != "application/json" || answer.ConnectionClose() {
		t.Errorf("restored %s", answer.String())
	}
	client.answers[0].Answer = keepAnswer(original, 4)
	err := newTestDeduplicator(client).Do(context.Background(), newTestExchange(time.Second), nil)
	if !fault.Is(err, fault.OutcomeUnknown) {
		t.Errorf("answer too large to keep: %v", err)
	}
}

func TestFingerprintFollowsTheContent(t *testing.T) {
	same := fingerprintOf(newTestExchange(time.Second))
	if fingerprintOf(newTestExchange(time.Minute)) != same {
		t.Error("differs for the same content")
	}
	changes := map[string]func(*Exchange){
		"body":   func(e *Exchange) { e.Inbound.SetBodyString("pay 6") },
		"method": func(e *Exchange) { e.Inbound.Header.SetMethod(fasthttp.MethodPut) },
		"path":   func(e *Exchange) { e.Target = "/transfer?to=2" },
		"key":    func(e *Exchange) { e.key = "other" },
	}
	for name, change := range changes {
		exchange := newTestExchange(time.Second)
		change(exchange)
		if fingerprintOf(exchange) == same {
			t.Errorf("same although the %s differs", name)
		}
	}
}

// TestLostRecordsAreAnsweredWithoutAdviceToSendAgain: an earlier attempt may have run, and a
// resend with the same key will never run, so the answer must not have a Retry-After header.
func TestLostRecordsAreAnsweredWithoutAdviceToSendAgain(t *testing.T) {
	var answer fasthttp.Response
	writeRefusal(&answer, "", fault.New(fault.RecordLost, ""))
	outcome, wait := string(answer.Header.Peek(callerapi.HeaderOutcome)), string(answer.Header.Peek(callerapi.HeaderRetryAfter))
	if answer.StatusCode() != fasthttp.StatusConflict || outcome != string(fault.Unknown) || wait != "" {
		t.Errorf("status %d, outcome %q, Retry-After %q", answer.StatusCode(), outcome, wait)
	}
}
