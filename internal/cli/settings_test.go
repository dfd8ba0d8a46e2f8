package cli

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestProblemsOfAnOldFileAreFinal: nobody writes a file that has not changed for a while, so that waiting would not
// help.
func TestProblemsOfAnOldFileAreFinal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	old := time.Now().Add(-time.Hour)
	if err := os.Chtimes(path, old, old); err != nil {
		t.Fatal(err)
	}
	loads := 0
	wrong := errors.New("wrong")
	log := telemetry.New("router", "", "info", io.Discard)
	_, err := awaitSettings(context.Background(), path, log, func() (int, error) {
		loads++
		return 0, wrong
	})
	if !errors.Is(err, wrong) || loads != 1 {
		t.Errorf("error %v after %d loads", err, loads)
	}
}

// TestFileWithATimeAheadIsNotWaitedForWithoutEnd: the time of day may have stepped back since the file was written.
func TestFileWithATimeAheadIsNotWaitedForWithoutEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	ahead := time.Now().Add(time.Hour)
	if err := os.Chtimes(path, ahead, ahead); err != nil {
		t.Fatal(err)
	}
	wrong := errors.New("wrong")
	log := telemetry.New("router", "", "info", io.Discard)
	if _, err := awaitSettings(context.Background(), path, log, func() (int, error) { return 0, wrong }); !errors.Is(err, wrong) {
		t.Errorf("error %v", err)
	}
}
