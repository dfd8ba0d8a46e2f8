package router

import (
	"context"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/forward"
)

const (
	// overdueInterval is the interval at which the running attempts are checked.
	overdueInterval = 100 * time.Millisecond
	// overdueMargin is the time after an attempt's deadline at which it is interrupted. The
	// attempt's own timers normally end it at the deadline; they stop while the machine is
	// suspended.
	overdueMargin = 100 * time.Millisecond
)

// overdueWatch interrupts attempts whose deadline has passed according to the clock, which also
// counts the time in which the machine is suspended. It is safe for concurrent use.
type overdueWatch struct {
	clock clock.Clock
	mutex sync.Mutex
	// deadlines holds the deadline of each running attempt.
	deadlines map[*forward.Interrupt]time.Duration
}

func newOverdueWatch(systemClock clock.Clock) *overdueWatch {
	return &overdueWatch{clock: systemClock, deadlines: make(map[*forward.Interrupt]time.Duration)}
}

// add watches an attempt with the given timeout until remove is called.
func (w *overdueWatch) add(attempt *forward.Interrupt, timeout time.Duration) (remove func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.deadlines[attempt] = w.clock.Now() + timeout
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.deadlines, attempt)
	}
}

// run checks the attempts until the context ends.
func (w *overdueWatch) run(ctx context.Context) {
	clock.Every(ctx, overdueInterval, w.interruptOverdue)
}

func (w *overdueWatch) interruptOverdue() {
	for _, attempt := range w.overdue() {
		attempt.Fire()
	}
}

func (w *overdueWatch) overdue() []*forward.Interrupt {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	var found []*forward.Interrupt
	for attempt, deadline := range w.deadlines {
		if now > deadline+overdueMargin {
			found = append(found, attempt)
		}
	}
	return found
}
