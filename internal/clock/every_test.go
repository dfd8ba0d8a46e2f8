package clock

import (
	"context"
	"testing"
	"time"
)

func TestEveryStepsUntilTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	const wanted = 3
	steps := 0
	Every(ctx, time.Millisecond, func() {
		steps++
		if steps == wanted {
			cancel()
		}
	})
	if steps < wanted {
		t.Errorf("ended after %d steps, want %d", steps, wanted)
	}
	steps = 0
	Every(ctx, time.Hour, func() { steps++ })
	if steps != 0 {
		t.Errorf("%d steps before the first interval", steps)
	}
}
