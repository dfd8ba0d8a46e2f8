package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

type logLine struct {
	Time    string `json:"ts"`
	Level   string `json:"level"`
	Message string `json:"msg"`
	Event   string `json:"event"`
	Role    string `json:"role"`
	Name    string `json:"name"`
	Error   string `json:"error"`
}

func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	logger := New("router", "r1", "warning", &out)
	With(logger, EventStarted).Info("not written")
	WithError(logger, EventFailed, eris.Wrap(errors.New("cause"), "context")).Error("the process ends")
	if lines := strings.Count(out.String(), "\n"); lines != 1 {
		t.Fatalf("%d lines: %s", lines, out.String())
	}
	var line logLine
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Time == "" {
		t.Error("the line has no time")
	}
	line.Time = ""
	want := logLine{Level: "error", Message: "the process ends", Event: "failed", Role: "router", Name: "r1", Error: "context: cause"}
	if line != want {
		t.Errorf("line = %+v, want %+v", line, want)
	}
}

func TestEventsAreDistinct(t *testing.T) {
	seen := map[Event]bool{}
	for _, row := range Events() {
		if seen[row.Event] || row.Meaning == "" || row.Level == "" {
			t.Errorf("row %+v is a duplicate or incomplete", row)
		}
		seen[row.Event] = true
	}
}

func TestHandler(t *testing.T) {
	metrics := NewMetrics("router")
	metrics.Counter("requests_total", "Requests.").Add(3)
	isReady := false
	handler := Handler(metrics, func() (bool, string) { return isReady, "no table" })
	get := func(path string) (int, string) {
		context := &fasthttp.RequestCtx{}
		context.Request.SetRequestURI(path)
		handler(context)
		return context.Response.StatusCode(), string(context.Response.Body())
	}
	if status, body := get(PathReady); status != fasthttp.StatusServiceUnavailable || body != "no table\n" {
		t.Errorf("not ready: %d %q", status, body)
	}
	isReady = true
	if status, _ := get(PathReady); status != fasthttp.StatusOK {
		t.Errorf("ready: %d", status)
	}
	if status, _ := get(PathLive); status != fasthttp.StatusOK {
		t.Errorf("live: %d", status)
	}
	if _, body := get(PathMetrics); !strings.Contains(body, "thorntiller_router_requests_total 3\n") {
		t.Errorf("metrics lack the counter: %s", body)
	}
	if status, _ := get("/other"); status != fasthttp.StatusNotFound {
		t.Errorf("other path: %d", status)
	}
}
