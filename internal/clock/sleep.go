package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context is done.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
