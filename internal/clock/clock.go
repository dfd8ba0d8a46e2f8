// Package clock provides the current time to code that must also run under a
// virtual clock. Clock includes the time in which the machine is suspended, so
// anything that another machine may rely on, such as a lease, a deadline or the age
// of a table, is measured with it. time.Time and timers are only for waiting,
// because they stop while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that keeps running while the process is frozen or its
// machine is suspended.
type Clock interface {
	// Now returns the time since a fixed origin of this process.
	Now() time.Duration
}

// System is a Clock that reads the machine's CLOCK_BOOTTIME.
type System struct {
	origin time.Duration
}

// NewSystem returns a clock whose origin is the time of the call.
func NewSystem() *System {
	return &System{origin: BootTime()}
}

// Now implements Clock.
func (s *System) Now() time.Duration {
	return BootTime() - s.origin
}

// BootTime returns the time since the machine booted, including time spent suspended.
func BootTime() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(reading.Nano())
}
