package clock

import (
	"context"
	"time"
)

const (
	// suspensionLook is the time between two looks whether the machine was suspended.
	suspensionLook = time.Second
	// shortestSuspension is the shortest one that is told: the two clocks are read one after
	// the other, and a process may be held up in between.
	shortestSuspension = 50 * time.Millisecond
)

// WatchSuspensions calls found with the length of each suspension of the machine, within a second
// after its end, until the context ends.
func WatchSuspensions(ctx context.Context, found func(time.Duration)) {
	started := time.Now()
	detector := newSuspensionDetector(BootTime(), 0)
	Every(ctx, suspensionLook, func() {
		awake := time.Since(started)
		if slept := detector.look(BootTime(), awake); slept > 0 {
			found(slept)
		}
	})
}

// suspensionDetector compares a clock that counts suspensions with one that does not.
type suspensionDetector struct {
	// ahead is by how much the first one was ahead of the other at the last look.
	ahead time.Duration
}

func newSuspensionDetector(counting, awake time.Duration) *suspensionDetector {
	return &suspensionDetector{ahead: counting - awake}
}

// look takes readings of both clocks, and returns for how long the machine was suspended since the
// last look; zero if it was not.
func (d *suspensionDetector) look(counting, awake time.Duration) time.Duration {
	slept := counting - awake - d.ahead
	if slept < shortestSuspension {
		return 0
	}
	d.ahead += slept
	return slept
}
