package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// settingsWithClosedSeed returns settings whose only seed is a loopback address at which nobody listens.
func settingsWithClosedSeed(t *testing.T) config.Gateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	settings := config.DefaultGateway()
	settings.Seeds, settings.ControllerPort = []string{listener.Addr().String()}, listener.Addr().(*net.TCPAddr).Port
	return settings
}

// TestUnreachableSeedIsLoggedOnce guards against a log line for each attempt, 20 a second, at a controller that does not run.
func TestUnreachableSeedIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	settings := settingsWithClosedSeed(t)
	s := newSubscription(testClock, settings, telemetry.New(role, "g", "info", &lines), nil, &link.Meter{})
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { s.run(ctx) })
	for end := time.Now().Add(eventuallyTimeout); s.progress.Dependencies.Failures() < 20; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the seed was not tried 20 times")
		}
	}
	cancel()
	group.Wait()
	if count := strings.Count(lines.String(), string(telemetry.EventControllerLost)); count != 1 {
		t.Errorf("%d lines for one seed that does not answer, want 1: %s", count, lines.String())
	}
}

// TestReadinessNamesTheSeeds guards against a gateway that says that it is not ready and not which controllers do not answer.
func TestReadinessNamesTheSeeds(t *testing.T) {
	settings := settingsWithClosedSeed(t)
	gateway, err := New(settings, telemetry.New(role, "g", "error", io.Discard), Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { gateway.subscription.run(ctx) })
	defer group.Wait()
	defer cancel()
	var answer fasthttp.RequestCtx
	answer.Request.SetRequestURI(telemetry.PathReady)
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		answer.Response.Reset()
		gateway.adminHandler()(&answer)
		if body := string(answer.Response.Body()); strings.Contains(body, settings.Seeds[0]) && strings.Contains(body, "refused") {
			return
		}
	}
	t.Errorf("the answer does not name %s and what failed: %d %q", settings.Seeds[0], answer.Response.StatusCode(), answer.Response.Body())
}
