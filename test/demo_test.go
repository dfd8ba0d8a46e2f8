package test

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/thorntiller/thorntiller/internal/lab/demo"
)

// TestDemonstrationRunsToItsEnd guards against a change of a flag or a setting that keeps the demonstration of the README
// from running. The bounds on time are judged by the demonstration itself, on a machine that is not busy.
func TestDemonstrationRunsToItsEnd(t *testing.T) {
	binaries := t.TempDir()
	buildBinaries(t, binaries)
	ctx, cancel := context.WithTimeout(t.Context(), 2*runTimeout)
	defer cancel()
	result, err := demo.Run(ctx, demo.Options{
		Product: filepath.Join(binaries, "thorntiller"), Lab: filepath.Join(binaries, "thorntiller-lab"),
		Folder: t.TempDir(), Say: t.Logf,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Violations) > 0 || result.Answered == 0 {
		t.Errorf("%d requests answered, guarantees that broke: %+v", result.Answered, result.Violations)
	}
	t.Logf("limits that were exceeded: %q", result.Exceeded)
}
