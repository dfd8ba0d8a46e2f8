package test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/scenario"
)

// runTimeout bounds one scenario, the start of its processes included.
const runTimeout = 60 * time.Second

// buildBinaries builds the product and the lab into a folder.
func buildBinaries(t *testing.T, folder string) {
	t.Helper()
	build := exec.Command("go", "build", "-o", folder+string(os.PathSeparator), "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the binaries: %v\n%s", err, output)
	}
}

// TestScenarios runs short scenarios with real processes. Only the guarantees
// are judged: the bounds on time hold on a machine that is not busy with other
// tests, and thorntiller-lab scenario judges them there.
func TestScenarios(t *testing.T) {
	binaries := t.TempDir()
	buildBinaries(t, binaries)
	for _, name := range []string{"kill-backend", "kill-leader"} {
		t.Run(name, func(t *testing.T) {
			result := runScenario(t, binaries, name)
			if !result.Summary.OK {
				t.Errorf("a guarantee broke: %+v", result.Violations)
			}
		})
	}
}

// TestDeadlyRequest: a request that crashes the servers that run it reaches few of them, over all
// routers. Each router sent it on for as long as it came.
func TestDeadlyRequest(t *testing.T) {
	binaries := t.TempDir()
	buildBinaries(t, binaries)
	result := runScenario(t, binaries, "deadly-request")
	if !result.Summary.OK {
		t.Errorf("a guarantee broke: %+v", result.Violations)
	}
	for _, bound := range result.Bounds {
		if !bound.Held {
			t.Errorf("%s is %g, want %g at most", bound.Name, bound.Value, bound.Limit)
		}
	}
}

func runScenario(t *testing.T, binaries, name string) scenario.Result {
	t.Helper()
	chosen, found := scenario.Find(name)
	if !found {
		t.Fatalf("no scenario is named %q", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	result, err := chosen.Run(ctx, scenario.Options{
		Product: filepath.Join(binaries, "thorntiller"), Lab: filepath.Join(binaries, "thorntiller-lab"),
		Folder: t.TempDir(), Seed: 1, Say: t.Logf,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", result.Table())
	return result
}
