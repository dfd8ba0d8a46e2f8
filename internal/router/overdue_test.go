package router

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/forward"
)

// manualClock returns the time that a test sets.
type manualClock struct{ reading time.Duration }

// Now implements clock.Clock.
func (c *manualClock) Now() time.Duration { return c.reading }

// TestAttemptEndsThoughTheMachineWasSuspended guards against callers that wait longer by the time for
// which the router's machine was suspended, because the timers of an attempt stop meanwhile.
func TestAttemptEndsThoughTheMachineWasSuspended(t *testing.T) {
	const timeout = time.Second
	machine := &manualClock{}
	watch := newOverdueWatch(machine)
	pending, answered := &forward.Interrupt{}, &forward.Interrupt{}
	defer watch.add(pending, timeout)()
	watch.add(answered, timeout)()
	machine.reading = timeout
	watch.interruptOverdue()
	if pending.Fired() {
		t.Fatal("interrupted at the deadline, when the attempt's own timer ends it")
	}
	machine.reading += 3 * time.Second
	watch.interruptOverdue()
	if !pending.Fired() || answered.Fired() {
		t.Errorf("pending attempt interrupted: %v, want true; answered attempt interrupted: %v, want false", pending.Fired(), answered.Fired())
	}
}
