package clock

import (
	"context"
	"testing"
	"time"
)

func TestEveryStepsUntilTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	const wanted = 3
	calls := 0
	Every(ctx, time.Millisecond, func() {
		calls++
		if calls == wanted {
			cancel()
		}
	})
	if calls < wanted {
		t.Errorf("ended after %d calls, want %d", calls, wanted)
	}
	calls = 0
	Every(ctx, time.Hour, func() { calls++ })
	if calls != 0 {
		t.Errorf("%d calls before the first interval elapsed", calls)
	}
}
