// Package clock gives the time to code that must also run under a virtual
// clock. Readings are monotonic.
package clock

import "time"

// Clock reads a monotonic clock.
type Clock interface {
	// Now returns the time since a fixed origin of this process.
	Now() time.Duration
}

// System is the process's own monotonic clock.
type System struct {
	origin time.Time
}

// NewSystem returns a clock whose origin is the moment of the call.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now implements Clock.
func (s *System) Now() time.Duration {
	return time.Since(s.origin)
}
