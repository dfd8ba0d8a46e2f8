package router

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/forward"
)

// manualClock shows what a test sets.
type manualClock struct{ reading time.Duration }

// Now implements clock.Clock.
func (c *manualClock) Now() time.Duration { return c.reading }

// TestAttemptEndsThoughTheMachineWasSuspended guards against callers who wait on for as long as their
// router's machine was suspended: the timers of an attempt stand still meanwhile.
func TestAttemptEndsThoughTheMachineWasSuspended(t *testing.T) {
	const timeout = time.Second
	machine := &manualClock{}
	watch := newOverdueWatch(machine)
	waiting, answered := &forward.Interrupt{}, &forward.Interrupt{}
	defer watch.begin(waiting, timeout)()
	watch.begin(answered, timeout)()
	machine.reading = timeout
	watch.look()
	if waiting.Fired() {
		t.Fatal("given up though its own timer ends it now")
	}
	machine.reading += 3 * time.Second
	watch.look()
	if !waiting.Fired() || answered.Fired() {
		t.Errorf("the attempt that waits: given up %v; the one that was answered: %v", waiting.Fired(), answered.Fired())
	}
}
