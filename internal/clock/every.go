package clock

import (
	"context"
	"time"
)

// Every calls step at each interval of the process's clock until the context
// ends. A step that takes longer than the interval delays the next one; steps that
// fell due meanwhile are left out. The first step comes after one interval.
func Every(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step()
		}
	}
}
