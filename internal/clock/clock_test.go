package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestReadingsAreOfTheClockThatCountsSuspensions guards against reading CLOCK_MONOTONIC,
// which stops while the machine is suspended. The two clocks differ only on a machine that has been suspended.
func TestReadingsAreOfTheClockThatCountsSuspensions(t *testing.T) {
	readBootTime := func() time.Duration {
		var reading unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
			t.Fatal(err)
		}
		return time.Duration(reading.Nano())
	}
	sinceBoot := &System{}
	before := readBootTime()
	now := sinceBoot.Now()
	after := readBootTime()
	if now < before || now > after {
		t.Errorf("the clock reads %s, want a value between CLOCK_BOOTTIME before (%s) and after (%s)", now, before, after)
	}
	if first := NewSystem().Now(); first < 0 || first > time.Minute {
		t.Errorf("a new clock reads %s, want a value near zero", first)
	}
}
