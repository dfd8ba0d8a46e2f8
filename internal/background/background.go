package background

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// minPause is the time from a panic to the next run of a loop; it doubles with each further panic, up to maxPause.
	minPause = 500 * time.Millisecond
	maxPause = 30 * time.Second
)

// Keep runs a loop until it returns. A panic in it is logged with the name of the loop, which runs again after a pause
// unless the context has ended. The loop must be able to begin anew.
func Keep(ctx context.Context, log *logrus.Entry, loop string, run func(context.Context)) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		if !Try(log, loop, func() { run(ctx) }) {
			return
		}
		if clock.Sleep(ctx, pause); ctx.Err() != nil {
			return
		}
	}
}

// Try runs one piece of work. It logs a panic with the name of the work and reports whether there was one.
func Try(log *logrus.Entry, work string, run func()) (panicked bool) {
	recovered := panics.Try(run)
	if recovered == nil {
		return false
	}
	telemetry.Panicked(log, recovered).WithField("part", work).Error("panic in the background")
	return true
}

// Result runs work that cannot begin anew and returns its error. A panic is logged with the name of the work and returned
// as an error.
func Result(log *logrus.Entry, work string, run func() error) error {
	var err error
	recovered := panics.Try(func() { err = run() })
	if recovered == nil {
		return err
	}
	telemetry.Panicked(log, recovered).WithField("part", work).Error("panic in the background")
	return recovered.AsError()
}
