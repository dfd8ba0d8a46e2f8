package gateway

import (
	"context"
	"time"
)

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
