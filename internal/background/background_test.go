package background

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

func TestKeepRunsALoopAgainAfterAPanic(t *testing.T) {
	var lines bytes.Buffer
	log := telemetry.New("test", "t", "info", &lines)
	runs := 0
	Keep(t.Context(), log, "planted", func(context.Context) {
		runs++
		if runs == 1 {
			panic("planted panic")
		}
	})
	if runs != 2 {
		t.Errorf("%d runs, want 2: one that panicked, one that returned", runs)
	}
	for _, want := range []string{`"event":"panicked"`, `"part":"planted"`, "planted panic"} {
		if strings.Count(lines.String(), want) == 0 {
			t.Errorf("the log lacks %s: %s", want, lines.String())
		}
	}
}

func TestKeepEndsWithItsContext(t *testing.T) {
	var lines bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	Keep(ctx, telemetry.New("test", "t", "info", &lines), "planted", func(context.Context) {
		cancel()
		panic("planted panic")
	})
	if took := time.Since(began); took >= minPause {
		t.Errorf("it ended after %s", took)
	}
}

func TestResultOfAPanicIsAnError(t *testing.T) {
	var lines bytes.Buffer
	log := telemetry.New("test", "t", "info", &lines)
	if err := Result(log, "planted", func() error { panic("planted panic") }); err == nil || !strings.Contains(lines.String(), `"event":"panicked"`) {
		t.Errorf("error %v, log %s", err, lines.String())
	}
	planted := errors.New("planted error")
	if err := Result(log, "planted", func() error { return planted }); !errors.Is(err, planted) {
		t.Errorf("error %v", err)
	}
}
