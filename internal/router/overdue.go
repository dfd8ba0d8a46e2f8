package router

import (
	"context"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/forward"
)

const (
	// overdueLook is the time between two looks at the attempts under way.
	overdueLook = 100 * time.Millisecond
	// overdueMargin is by how much the time of an attempt has passed when it is given up here.
	// Its own timers give it up in time, but for one whose machine was suspended: they stand
	// still then.
	overdueMargin = 100 * time.Millisecond
)

// overdueWatch gives attempts up whose time has passed by the clock. It is safe for concurrent use.
type overdueWatch struct {
	clock clock.Clock
	mutex sync.Mutex
	// ends says when the time of each attempt under way has passed.
	ends map[*forward.Interrupt]time.Duration
}

func newOverdueWatch(system clock.Clock) *overdueWatch {
	return &overdueWatch{clock: system, ends: make(map[*forward.Interrupt]time.Duration)}
}

// begin takes an attempt that may take a time, and returns how to end the watch for it.
func (w *overdueWatch) begin(attempt *forward.Interrupt, timeout time.Duration) (end func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ends[attempt] = w.clock.Now() + timeout
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.ends, attempt)
	}
}

// run looks at the attempts until the context ends.
func (w *overdueWatch) run(ctx context.Context) { clock.Every(ctx, overdueLook, w.look) }

func (w *overdueWatch) look() {
	for _, attempt := range w.overdue() {
		attempt.Fire()
	}
}

func (w *overdueWatch) overdue() []*forward.Interrupt {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	var found []*forward.Interrupt
	for attempt, end := range w.ends {
		if now > end+overdueMargin {
			found = append(found, attempt)
		}
	}
	return found
}
