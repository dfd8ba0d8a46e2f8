package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A cold instance carries few requests per second from all gateways together. Gateways learn of it
// from the directory and count the warm-up time down on their own; the next heartbeat of an instance
// that is warm again ends the limit in any case.

const (
	// maxWarmUp bounds the remaining warm-up time that an instance may report.
	maxWarmUp = time.Minute
	// coldAgainThreshold is by how much the reported end of the warm-up must move back for the
	// instance to count as cold again. It exceeds the delay of a heartbeat in transit.
	coldAgainThreshold = 500 * time.Millisecond
)

// turnedCold reports whether an instance reports a later end of its warm-up than is known. It must be
// called before recordHeartbeat.
func (c *Core) turnedCold(now time.Duration, beat Beat) bool {
	state, tracked := c.heartbeats[beat.Instance]
	return beat.WarmUp > 0 && (!tracked || now+beat.WarmUp > state.warmAt+coldAgainThreshold)
}

// setWarmUp sets the remaining warm-up time of an instance if its service limits cold instances.
func (c *Core) setWarmUp(instance *directory.Instance, beat Beat, coldAgain bool, view *directory.Directory) {
	service, configured := view.Service(beat.Service)
	switch {
	case beat.WarmUp <= 0 || !configured || !service.LimitsCold():
		instance.WarmUp, instance.ColdSince = 0, 0
	case coldAgain || instance.WarmUp == 0:
		// The directory sets ColdSince to the revision of the command.
		instance.WarmUp, instance.ColdSince = min(beat.WarmUp, maxWarmUp), 0
	}
}
