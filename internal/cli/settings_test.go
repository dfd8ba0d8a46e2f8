package cli

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

var errWrong = errors.New("wrong")

// newDatedFile returns the path of an empty settings file that seems to have been written before or after now.
func newDatedFile(t *testing.T, offset time.Duration) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	modified := time.Now().Add(offset)
	if err := os.Chtimes(path, modified, modified); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestProblemsOfAnUnchangedFileAreFinal checks that a file is not waited for without end, whatever its time: the time
// of day may have been set since the file was written.
func TestProblemsOfAnUnchangedFileAreFinal(t *testing.T) {
	log := telemetry.New("router", "", "info", io.Discard)
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			path := newDatedFile(t, offset)
			if _, err := awaitSettings(context.Background(), path, log, func() (int, error) { return 0, errWrong }); !errors.Is(err, errWrong) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestFileOfAnyTimeIsWaitedFor guards against a process that ends because the time of day was set forward while its
// settings were written, so that their file looks old.
func TestFileOfAnyTimeIsWaitedFor(t *testing.T) {
	log := telemetry.New("router", "", "info", io.Discard)
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			path := newDatedFile(t, offset)
			loads := 0
			value, err := awaitSettings(context.Background(), path, log, func() (int, error) {
				if loads++; loads < 3 {
					return 0, errWrong
				}
				return 7, nil
			})
			if err != nil || value != 7 {
				t.Errorf("value %d, error %v after %d loads", value, err, loads)
			}
		})
	}
}

// TestWrongSettingsThatAreCompleteAreFinal guards against a process that waits for its settings although the value that
// is wrong was written whole.
func TestWrongSettingsThatAreCompleteAreFinal(t *testing.T) {
	log := telemetry.New("gateway", "", "info", io.Discard)
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	text := "role: gateway\nback_end:\n  answer_memory: 0\nname: g1\nseeds: ['127.0.0.1:7101']\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	loads := 0
	_, err := awaitSettings(context.Background(), path, log, func() (config.Gateway, error) {
		loads++
		return config.LoadGateway(path)
	})
	var problems config.Problems
	if !errors.As(err, &problems) || problems[0].Field != "back_end.answer_memory" || problems[0].Remedy == "" || loads != 1 {
		t.Errorf("error %v after %d loads", err, loads)
	}
}

// TestHangingReadOfTheSettingsIsLogged guards against a process that waits for its settings file, such as a pipe that
// nobody writes to, and does not say so.
func TestHangingReadOfTheSettingsIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		ctx, cancel := context.WithTimeout(t.Context(), 5*slowRead)
		defer cancel()
		ended := make(chan struct{})
		defer close(ended)
		_, err := loadUntilStopped(ctx, telemetry.New("gateway", "", "info", &lines), func() (int, error) {
			<-ended
			return 0, nil
		})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v", err)
		}
		if count := strings.Count(lines.String(), string(telemetry.EventSettingsWaiting)); count != 3 {
			t.Errorf("%d lines in %s, want one after each doubling of %s: %s", count, 5*slowRead, slowRead, lines.String())
		}
	})
}
