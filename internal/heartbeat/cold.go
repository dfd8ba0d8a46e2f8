package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// An instance that is cold carries few requests a second from all gateways together.
// Gateways learn of it by the directory, and count its time down by themselves; the next
// heartbeat of an instance that is warm again ends it in any case.

const (
	// longestWarmUp bounds the time for which an instance says that it is cold.
	longestWarmUp = time.Minute
	// coldAgainAfter is by how much the end of the cold time must move for the instance to
	// have turned cold once more: above what a heartbeat is delayed on its way.
	coldAgainAfter = 500 * time.Millisecond
)

// turnedCold reports whether an instance says that it is cold for longer than what is
// known of it. It must be called before the heartbeat is noted.
func (c *Core) turnedCold(now time.Duration, beat Beat) bool {
	known, met := c.contacts[beat.Instance]
	return beat.WarmUp > 0 && (!met || now+beat.WarmUp > known.warmAt+coldAgainAfter)
}

// noteWarmUp tells in an instance whether it is cold, if that matters to its service.
func (c *Core) noteWarmUp(instance *directory.Instance, beat Beat, coldAgain bool, view *directory.Directory) {
	service, configured := view.Service(beat.Service)
	switch {
	case beat.WarmUp <= 0 || !configured || !service.LimitsCold():
		instance.WarmUp, instance.ColdSince = 0, 0
	case coldAgain || instance.WarmUp == 0:
		// The directory sets the revision.
		instance.WarmUp, instance.ColdSince = min(beat.WarmUp, longestWarmUp), 0
	}
}
