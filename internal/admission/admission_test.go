package admission

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// stoppedClock never advances, so that estimates are exact.
type stoppedClock struct{}

func (stoppedClock) Now() time.Duration { return 0 }

func wantKind(t *testing.T, err error, kind fault.Kind) {
	t.Helper()
	if !fault.Is(err, kind) {
		t.Errorf("got error %v, want kind %s", err, kind)
	}
}

func TestQueueBoundsAndOrder(t *testing.T) {
	queue := NewQueue(stoppedClock{}, Limits{Running: 1, Waiting: 2})
	ctx := context.Background()
	if err := queue.Acquire(ctx, time.Minute); err != nil {
		t.Fatal(err)
	}
	wantKind(t, queue.Acquire(ctx, 0), fault.DeadlineBeforeStart)
	var group conc.WaitGroup
	order := make(chan int, 2)
	for i := range 2 {
		group.Go(func() {
			if err := queue.Acquire(ctx, time.Minute); err != nil {
				t.Error(err)
			}
			order <- i
		})
		for queue.Waiting() != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	wantKind(t, queue.Acquire(ctx, time.Minute), fault.QueueFull)
	for want := range 2 {
		queue.ReleaseUnused()
		if got := <-order; got != want {
			t.Errorf("request %d started first, want %d", got, want)
		}
	}
	group.Wait()
	queue.ReleaseUnused()
	if queue.Running() != 0 || queue.Waiting() != 0 {
		t.Errorf("%d running and %d waiting requests remain", queue.Running(), queue.Waiting())
	}
}

func TestQueueStartsNothingThatCannotFinish(t *testing.T) {
	queue := NewQueue(stoppedClock{}, Limits{Running: 1, Waiting: 5})
	ctx := context.Background()
	for range 2 {
		if err := queue.Acquire(ctx, time.Minute); err != nil {
			t.Fatal(err)
		}
		queue.Release(time.Second)
	}
	if err := queue.Acquire(ctx, time.Millisecond); err != nil {
		t.Errorf("a request for an idle server was rejected: %v", err)
	}
	wantKind(t, queue.Acquire(ctx, 1900*time.Millisecond), fault.DeadlineBeforeStart)
}

func TestEvictAndCancelLeaveNothingBehind(t *testing.T) {
	queue := NewQueue(stoppedClock{}, Limits{Running: 0, Waiting: 5})
	reason := eris.New("gone")
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 1)
	for _, c := range []struct {
		act  func()
		want error
	}{{func() { queue.Evict(reason) }, reason}, {cancel, context.Canceled}} {
		var group conc.WaitGroup
		group.Go(func() { results <- queue.Acquire(ctx, time.Minute) })
		for queue.Waiting() != 1 {
			time.Sleep(time.Millisecond)
		}
		c.act()
		if err := <-results; !eris.Is(err, c.want) {
			t.Errorf("got %v, want %v", err, c.want)
		}
		group.Wait()
	}
	queue.SetLimits(Limits{Running: 1, Waiting: 1})
	if queue.Running() != 0 || queue.Waiting() != 0 {
		t.Error("a running or waiting request remains")
	}
}

func TestLimiterAndLimits(t *testing.T) {
	limiter := NewLimiter(3)
	steps := []bool{limiter.Enter("a", 2), limiter.Enter("a", 2), limiter.Enter("a", 2), limiter.Enter("b", 0), limiter.Enter("b", 0)}
	for i, want := range []bool{true, true, false, true, false} {
		if steps[i] != want {
			t.Errorf("step %d: got %v", i, steps[i])
		}
	}
	limiter.Leave("a")
	if !limiter.Enter("b", 2) || limiter.Total() != 3 {
		t.Error("Leave did not return a place")
	}
	if got := ServerLimits(2, ConnectionShare(100, 40), 7); got.Running != 1 || got.Waiting != 7 {
		t.Errorf("got %+v", got)
	}
	if got := ServerLimits(2, ConnectionShare(100, 0), 7).Running; got != 4 {
		t.Errorf("got %d running, want 4", got)
	}
}
