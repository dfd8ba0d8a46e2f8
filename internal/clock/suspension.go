package clock

import (
	"context"
	"time"
)

const (
	// suspensionCheckInterval is the time between two checks for a suspension of the machine.
	suspensionCheckInterval = time.Second
	// minReportedSuspension is the shortest suspension that is reported. The two clocks are read one
	// after the other, so a delay of the process between the readings also makes them differ.
	minReportedSuspension = 50 * time.Millisecond
)

// WatchSuspensions calls onSuspension with the length of each suspension of the machine, within a
// second after its end, until the context is done.
func WatchSuspensions(ctx context.Context, onSuspension func(time.Duration)) {
	started := time.Now()
	detector := newSuspensionDetector(BootTime(), 0)
	Every(ctx, suspensionCheckInterval, func() {
		awakeTime := time.Since(started)
		if suspended := detector.check(BootTime(), awakeTime); suspended > 0 {
			onSuspension(suspended)
		}
	})
}

// suspensionDetector compares a clock that includes suspensions with one that does not.
type suspensionDetector struct {
	// offset is the boot time minus the awake time, up to date with the suspensions already reported.
	offset time.Duration
}

func newSuspensionDetector(bootTime, awakeTime time.Duration) *suspensionDetector {
	return &suspensionDetector{offset: bootTime - awakeTime}
}

// check takes a reading of each clock and returns how long the machine was suspended since the last
// reported suspension, or zero if that is less than minReportedSuspension.
func (d *suspensionDetector) check(bootTime, awakeTime time.Duration) time.Duration {
	suspended := bootTime - awakeTime - d.offset
	if suspended < minReportedSuspension {
		return 0
	}
	d.offset += suspended
	return suspended
}
