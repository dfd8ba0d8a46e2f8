package caller

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

// arrival is one request that reached a router of the test.
type arrival struct {
	router, attempt, idempotencyKey, path string
	at                                    time.Time
}

// routers are two stand-in routers that answer by one script: the number of the
// arrival of a path, from 0, picks the step; the last step repeats.
type routers struct {
	script    []fasthttp.RequestHandler
	addresses []string

	mutex    sync.Mutex
	arrivals map[string][]arrival
}

func startRouters(t *testing.T, script ...fasthttp.RequestHandler) *routers {
	t.Helper()
	started := &routers{script: script, arrivals: make(map[string][]arrival)}
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		server := &fasthttp.Server{Handler: started.handle, Logger: logger, CloseOnShutdown: true}
		started.addresses = append(started.addresses, listener.Addr().String())
		serving := conc.NewWaitGroup()
		serving.Go(func() {
			if err := server.Serve(listener); err != nil {
				t.Error(err)
			}
		})
		t.Cleanup(func() {
			if err := server.Shutdown(); err != nil {
				t.Error(err)
			}
			_ = listener.Close() // Shutdown leaves it open if Serve has not begun
			serving.Wait()
		})
	}
	return started
}

func (r *routers) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	r.mutex.Lock()
	step := r.script[min(len(r.arrivals[path]), len(r.script)-1)]
	r.arrivals[path] = append(r.arrivals[path], arrival{
		router:         string(ctx.Host()),
		attempt:        string(ctx.Request.Header.Peek(callerapi.HeaderRequestID)),
		idempotencyKey: string(ctx.Request.Header.Peek(callerapi.HeaderIdempotencyKey)),
		path:           path,
		at:             time.Now(),
	})
	r.mutex.Unlock()
	ctx.Response.Header.Set(callerapi.HeaderRequestID, string(ctx.Request.Header.Peek(callerapi.HeaderRequestID)))
	step(ctx)
}

func lose(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// completeWith answers as a back end does, with a further line in the head, and closes the connection.
func completeWith(line string) fasthttp.RequestHandler {
	whole := complete(unchanged)
	return func(ctx *fasthttp.RequestCtx) {
		whole(ctx)
		answer := strings.Replace(ctx.Response.String(), "\r\n", "\r\n"+line+"\r\nConnection: close\r\n", 1)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(connection net.Conn) {
			_, _ = io.WriteString(connection, answer) // the caller may have closed
		})
	}
}

func refuse(kind fault.Kind, retryAfterMs string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(fault.AnswerFor(kind).Status)
		ctx.Response.Header.Set(callerapi.HeaderError, string(kind))
		ctx.Response.Header.Set(callerapi.HeaderOutcome, string(fault.AnswerFor(kind).Outcome))
		ctx.SetBodyString(`{"retry_after_ms":` + retryAfterMs + `}`)
	}
}

// complete answers as a back end does, after change has damaged the answer.
func complete(change func(*fasthttp.RequestCtx, *backend.AnswerBody)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		header := &ctx.Request.Header
		body := backend.AnswerBody{
			Method:         string(ctx.Method()),
			Path:           strings.TrimPrefix(string(ctx.Path()), "/s"),
			Key:            string(header.Peek(callerapi.HeaderKey)),
			IdempotencyKey: string(header.Peek(callerapi.HeaderIdempotencyKey)),
			Payload:        string(ctx.PostBody()),
		}
		change(ctx, &body)
		encoded, err := body.Encode()
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.Response.Header.Set(callerapi.HeaderOutcome, string(fault.Completed))
		ctx.SetBody(encoded)
	}
}

func unchanged(*fasthttp.RequestCtx, *backend.AnswerBody) {}

// run sends five requests and returns the done lines and the report.
func run(t *testing.T, stubs *routers, change func(*Config)) ([]record.Attempt, ServiceReport) {
	t.Helper()
	config := Config{
		Name: "caller", Routers: stubs.addresses, Requests: 5, Duration: time.Minute, Attempts: 4, Seed: 1,
		RecordFile: filepath.Join(t.TempDir(), "caller.jsonl"),
		Loads:      []Load{{Service: "s", Keyed: true, Rate: 1000, Timeout: 20 * time.Second}},
	}
	change(&config)
	caller, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	report, err := caller.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	lines, err := record.ReadFile[record.Attempt](config.RecordFile)
	if err != nil {
		t.Fatal(err)
	}
	var done []record.Attempt
	for _, line := range lines {
		if line.Kind == record.AttemptDone {
			done = append(done, line)
		}
	}
	if len(lines) != 2*len(done) {
		t.Errorf("%d lines with %d done", len(lines), len(done))
	}
	return done, report.Services[0]
}

func TestLostConnectionIsResentOnceThroughOtherRouter(t *testing.T) {
	for _, reads := range []float64{0, 1} {
		stubs := startRouters(t, lose, complete(unchanged))
		done, report := run(t, stubs, func(config *Config) { config.Loads[0].Reads = reads })
		if report.Answered != 5 || report.Attempts != 10 || len(done) != 10 {
			t.Errorf("reads %v: %d done lines, report %+v: want 10 attempts, 5 answered", reads, len(done), report)
		}
		for path, arrivals := range stubs.arrivals {
			if len(arrivals) != 2 {
				t.Fatalf("reads %v: %s arrived %d times, sent twice", reads, path, len(arrivals))
			}
			first, second := arrivals[0], arrivals[1]
			if first.router == second.router || first.attempt == second.attempt || first.idempotencyKey != second.idempotencyKey {
				t.Errorf("reads %v: arrivals %+v and %+v", reads, first, second)
			}
		}
	}
}

func TestRetryAfterIsRespected(t *testing.T) {
	stubs := startRouters(t, refuse(fault.NoOwner, "100"), complete(unchanged))
	_, report := run(t, stubs, func(*Config) {})
	if report.Answered != 5 {
		t.Errorf("report %+v: want 5 answered", report)
	}
	for path, arrivals := range stubs.arrivals {
		if wait := arrivals[1].at.Sub(arrivals[0].at); wait < 100*time.Millisecond {
			t.Errorf("%s was sent again after %v, told to wait 100ms", path, wait)
		}
	}
}

func TestFinalRefusalIsNotResent(t *testing.T) {
	stubs := startRouters(t, refuse(fault.RecordLost, "0"))
	done, report := run(t, stubs, func(*Config) {})
	if len(done) != 5 || report.Unknown != 5 {
		t.Errorf("%d attempts, report %+v: want 5 attempts, 5 unknown", len(done), report)
	}
}

func TestUnknownStaysUnknownAfterNotRun(t *testing.T) {
	stubs := startRouters(t, lose, refuse(fault.InvalidRequest, "0"))
	_, report := run(t, stubs, func(*Config) {})
	if report.Unknown != 5 || report.NotRun != 0 {
		t.Errorf("report %+v: want 5 unknown", report)
	}
}

func TestSimultaneousAttemptsShareTheKey(t *testing.T) {
	stubs := startRouters(t, complete(unchanged))
	done, report := run(t, stubs, func(config *Config) { config.Simultaneous = 1 })
	if len(done) != 10 || report.Answered != 5 {
		t.Errorf("%d attempts, report %+v: want 10 attempts, 5 answered", len(done), report)
	}
	for path, arrivals := range stubs.arrivals {
		if len(arrivals) != 2 || arrivals[0].router == arrivals[1].router || arrivals[0].idempotencyKey != arrivals[1].idempotencyKey {
			t.Errorf("%s: arrivals %+v", path, arrivals)
		}
	}
}

func TestAnswersAreChecked(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fasthttp.RequestCtx, *backend.AnswerBody)
		want   record.BodyCheck
	}{
		{"own", unchanged, record.BodyOwn},
		{"other key", func(_ *fasthttp.RequestCtx, body *backend.AnswerBody) { body.Key += "x" }, record.BodyForeign},
		{"other request", func(_ *fasthttp.RequestCtx, body *backend.AnswerBody) { body.Path += "x" }, record.BodyForeign},
		{"other idempotency key", func(_ *fasthttp.RequestCtx, body *backend.AnswerBody) { body.IdempotencyKey += "x" }, record.BodyForeign},
		{"other payload", func(_ *fasthttp.RequestCtx, body *backend.AnswerBody) { body.Payload += "x" }, record.BodyForeign},
		{"other attempt named", func(ctx *fasthttp.RequestCtx, _ *backend.AnswerBody) {
			ctx.Response.Header.Set(callerapi.HeaderRequestID, "x")
		}, record.BodyForeign},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			wantBodies(t, complete(test.change), test.want)
		})
	}
	t.Run("truncated", func(t *testing.T) {
		whole := complete(unchanged)
		wantBodies(t, func(ctx *fasthttp.RequestCtx) {
			whole(ctx)
			ctx.SetBody(ctx.Response.Body()[:len(ctx.Response.Body())-5])
		}, record.BodyDamaged)
	})
}

func wantBodies(t *testing.T, step fasthttp.RequestHandler, want record.BodyCheck) {
	t.Helper()
	done, _ := run(t, startRouters(t, step), func(*Config) {})
	for _, line := range done {
		if line.Body != want {
			t.Errorf("body %q, want %q: %s", line.Body, want, line.Detail)
		}
	}
}

// TestMalformedHeadIsNoAnswer guards against callers that count an answer of a router as a success though its head violates
// the grammar.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for line, valid := range map[string]bool{"X Odd: v": false, "X-Odd : v": false, "X-Odd: v": true} {
		_, report := run(t, startRouters(t, completeWith(line)), func(config *Config) { config.Attempts = 1 })
		if valid && report.Answered != 5 || !valid && (report.Answered != 0 || report.Unknown != 5) {
			t.Errorf("%q: report %+v, want valid %t", line, report, valid)
		}
	}
}

func TestSameSeedSameRequests(t *testing.T) {
	load := Load{Service: "s", Keyed: true, Rate: 10, Keys: 50, Skew: 1.2, Reads: 0.5}
	first, second := newStream(load, 7, 0), newStream(load, 7, 0)
	keys := make(map[string]int)
	for range 500 {
		a, errA := first.next()
		b, errB := second.next()
		if errA != nil || errB != nil || a.key != b.key || a.method != b.method || first.pause() != second.pause() {
			t.Fatalf("%+v and %+v differ: %v, %v", a, b, errA, errB)
		}
		keys[a.key]++
	}
	if keys["0"] <= keys["5"] || keys["0"] == 500 {
		t.Errorf("keys are not skewed: %v", keys)
	}
}
