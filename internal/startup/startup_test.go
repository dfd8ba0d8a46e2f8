package startup

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// manualClock is a clock.Clock that the test sets.
type manualClock struct{ now time.Duration }

func (m *manualClock) Now() time.Duration { return m.now }

// TestNotices checks that a wait is logged at growing intervals and its end once.
func TestNotices(t *testing.T) {
	var due notices
	var logged []string
	readyAt := func(second int) bool { return second == 1 || second >= 200 }
	for second := range 300 {
		switch due.update(time.Duration(second)*time.Second, readyAt(second)) {
		case noticeReady:
			logged = append(logged, fmt.Sprintf("ready at %d", second))
		case noticeNotReady:
			logged = append(logged, fmt.Sprintf("waiting at %d", second))
		case noticeNone:
		}
	}
	want := []string{"ready at 1", "waiting at 4", "waiting at 8", "waiting at 16", "waiting at 32", "waiting at 64", "waiting at 124", "waiting at 184", "ready at 200"}
	if !reflect.DeepEqual(logged, want) {
		t.Errorf("logged %q, want %q", logged, want)
	}
}

// TestFailuresAreReportedOnce guards against a log line for each attempt to reach a process that is down.
func TestFailuresAreReportedOnce(t *testing.T) {
	dependencies := newDependencies()
	refused := errors.New("connection refused")
	reported := 0
	for attempt := range 100 {
		if dependencies.Failed(time.Duration(attempt)*time.Second, "a", refused) {
			reported++
		}
	}
	if reported != 1 {
		t.Errorf("%d of 100 failures reported, want 1", reported)
	}
	outage, ended := dependencies.Answered(100*time.Second, "a")
	if want := (Outage{Failures: 100, Duration: 100 * time.Second}); !ended || outage != want {
		t.Errorf("outage %+v, ended %t, want %+v", outage, ended, want)
	}
	if _, ended := dependencies.Answered(101*time.Second, "a"); ended {
		t.Error("the outage ended twice")
	}
	if !dependencies.Failed(102*time.Second, "a", refused) {
		t.Error("the first failure of the next outage was not reported")
	}
}

// TestOutageEndsWithOneLine checks that a regained dependency is logged once, with its outage, and one that was never lost
// is not.
func TestOutageEndsWithOneLine(t *testing.T) {
	var lines bytes.Buffer
	system := &manualClock{}
	progress := New(system, telemetry.New("test", "t", "info", &lines))
	progress.LogAnswered("127.0.0.1:1")
	progress.Failed("127.0.0.1:1", errors.New("connection refused"))
	progress.Failed("127.0.0.1:1", errors.New("connection refused"))
	system.now = 3 * time.Second
	progress.LogAnswered("127.0.0.1:1")
	progress.LogAnswered("127.0.0.1:1")
	logged := lines.String()
	if strings.Count(logged, string(telemetry.EventControllerReached)) != 1 || !strings.Contains(logged, `"failures":2`) || !strings.Contains(logged, `"outage_ms":3000`) {
		t.Errorf("logged %s", logged)
	}
}

// TestDependenciesAreBounded checks that addresses that fail, and the texts of their errors, take bounded memory.
func TestDependenciesAreBounded(t *testing.T) {
	dependencies := newDependencies()
	long := errors.New(strings.Repeat("x", 10*maxErrorBytes))
	for number := range 10 * maxDependencies {
		dependencies.Failed(time.Duration(number), fmt.Sprint(number), long)
	}
	attempts := dependencies.Attempts(0)
	if len(attempts) != maxDependencies || len(attempts[0].Error) != maxErrorBytes {
		t.Errorf("%d addresses with %d bytes each, want %d with %d", len(attempts), len(attempts[0].Error), maxDependencies, maxErrorBytes)
	}
	for _, attempt := range attempts {
		if len(attempt.Address) < 3 {
			t.Errorf("address %s was tried long ago and is still known", attempt.Address)
		}
	}
}

// TestReadinessNamesWhatDoesNotAnswer checks what an operator is told of a process that is not ready.
func TestReadinessNamesWhatDoesNotAnswer(t *testing.T) {
	system := &manualClock{now: time.Minute}
	progress := New(system, telemetry.New("test", "t", "info", &bytes.Buffer{}))
	progress.WaitFor("the directory")
	progress.Failed("127.0.0.1:1", errors.New("connection refused"))
	system.now += 300 * time.Millisecond
	ready, reason := progress.Ready()
	if want := "waiting for the directory\n127.0.0.1:1: failed attempts: 1, the last one 300 ms ago: connection refused"; ready || reason != want {
		t.Errorf("ready %t, reason %q, want %q", ready, reason, want)
	}
	progress.Follow(func() (bool, string) { return true, "" })
	if ready, reason := progress.Ready(); !ready || reason != "" {
		t.Errorf("ready %t, reason %q", ready, reason)
	}
}

// TestWatchLogsStepsAndWaits checks the log lines of a start that is held up, and of a later loss of readiness.
func TestWatchLogsStepsAndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		begun := time.Now()
		progress := New(clockFunc(func() time.Duration { return time.Since(begun) }), telemetry.New("test", "t", "info", &lines))
		progress.Reach(StepListening)
		progress.Reach(StepListening)
		progress.WaitFor("the directory")
		progress.Failed("127.0.0.1:1", errors.New("connection refused"))
		ctx, cancel := context.WithCancel(t.Context())
		var watcher conc.WaitGroup
		watcher.Go(func() { progress.Watch(ctx) })
		time.Sleep(3 * time.Second)
		progress.Follow(func() (bool, string) { return true, "" })
		time.Sleep(2 * time.Second)
		progress.WaitFor("a newer directory")
		time.Sleep(4 * time.Second)
		progress.Follow(func() (bool, string) { return true, "" })
		time.Sleep(2 * time.Second)
		cancel()
		watcher.Wait()
		var events []string
		for line := range strings.Lines(lines.String()) {
			for _, event := range []telemetry.Event{telemetry.EventStartStep, telemetry.EventNotReady, telemetry.EventReadyAgain} {
				if strings.Contains(line, `"`+string(event)+`"`) {
					events = append(events, string(event))
				}
			}
		}
		if want := []string{"start_step", "not_ready", "start_step", "not_ready", "ready_again"}; !reflect.DeepEqual(events, want) {
			t.Errorf("events %q, want %q: %s", events, want, lines.String())
		}
		for _, want := range []string{"waiting for the directory", "connection refused", `"step":"ready"`} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("no line has %q", want)
			}
		}
	})
}

// clockFunc is a clock.Clock.
type clockFunc func() time.Duration

func (c clockFunc) Now() time.Duration { return c() }
