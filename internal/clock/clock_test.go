package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestReadingsAreOfTheClockThatCountsSuspensions guards against CLOCK_MONOTONIC, which
// stands still while the machine is suspended. The two differ on machines that were.
func TestReadingsAreOfTheClockThatCountsSuspensions(t *testing.T) {
	read := func() time.Duration {
		var reading unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
			t.Fatal(err)
		}
		return time.Duration(reading.Nano())
	}
	sinceBoot := &System{}
	before := read()
	now := sinceBoot.Now()
	after := read()
	if now < before || now > after {
		t.Errorf("the clock shows %s, CLOCK_BOOTTIME %s before and %s after", now, before, after)
	}
	if first := NewSystem().Now(); first < 0 || first > time.Minute {
		t.Errorf("a new clock shows %s", first)
	}
}
