package cli

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// settingsSettleTime is how long a settings file must be unchanged for its problems to be final: what writes
	// it may be at work, or may have removed it to lay another one.
	settingsSettleTime = 3 * time.Second
	// settingsRetryInterval is the wait before the file is read again.
	settingsRetryInterval = 20 * time.Millisecond
	// slowRead is how long a read of the settings file may take until that is logged, and again after each doubling of
	// that time.
	slowRead = 2 * time.Second
)

// fileVersion tells versions of a file apart. It is zero for a file that cannot be read.
type fileVersion struct {
	modified time.Time
	size     int64
}

func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}

// awaitSettings loads settings from a file. It tries again while the file is missing or not valid, until a problem is
// final, the file has not changed for settingsSettleTime, or the context ends. The age of the file does not count, since
// the time of day may have been set since it was written.
func awaitSettings[T any](ctx context.Context, path string, log *logrus.Entry, load func() (T, error)) (T, error) {
	var last fileVersion
	var unchangedSince time.Time
	for attempt := 0; ; attempt++ {
		version := versionOf(path)
		settings, err := loadUntilStopped(ctx, log, load)
		if err == nil {
			return settings, nil
		}
		if ctx.Err() != nil {
			return settings, eris.Wrap(ctx.Err(), "wait for the settings file")
		}
		if isFinal(err) {
			return settings, err
		}
		now := time.Now()
		if attempt == 0 || version != last {
			last, unchangedSince = version, now
		}
		if now.Sub(unchangedSince) >= settingsSettleTime {
			return settings, err
		}
		if attempt == 0 {
			telemetry.WithError(log, telemetry.EventSettingsWaiting, err).Warn("the settings file is not valid; waiting, since it may be being written")
		}
		clock.Sleep(ctx, settingsRetryInterval)
	}
}

// isFinal reports whether no further writing of the settings file can solve its problems.
func isFinal(err error) bool {
	var problems config.Problems
	return errors.As(err, &problems) && problems.Final()
}

// loadUntilStopped loads settings unless the context ends before, as it may while a pipe or a remote file system holds up
// the read, which is logged.
func loadUntilStopped[T any](ctx context.Context, log *logrus.Entry, load func() (T, error)) (T, error) {
	type result struct {
		settings T
		err      error
	}
	loaded := make(chan result, 1)
	go func() {
		settings, err := load()
		loaded <- result{settings, err}
	}()
	begun, notice := time.Now(), slowRead
	timer := time.NewTimer(notice)
	defer timer.Stop()
	for {
		select {
		case result := <-loaded:
			return result.settings, result.err
		case <-timer.C:
			telemetry.With(log, telemetry.EventSettingsWaiting).WithField(telemetry.FieldDuration, time.Since(begun).Milliseconds()).
				Warn("the read of the settings file does not end; waiting")
			timer.Reset(notice)
			notice *= 2
		case <-ctx.Done():
			var none T
			return none, eris.Wrap(ctx.Err(), "read the settings file")
		}
	}
}
