package clock

import (
	"context"
	"time"
)

// Every calls run once per interval, measured by the runtime's monotonic clock, until
// the context is done. A call that takes longer than the interval delays the next one, and
// calls that became due in the meantime are skipped. The first call comes after one interval.
func Every(ctx context.Context, interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}
