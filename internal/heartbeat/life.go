package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// A server that starts again under its identifier proves by a later time of its start that its
// earlier life has ended. A heartbeat of an earlier life may arrive late, and changes nothing.

// checkLife refuses a heartbeat of a life that is not the newest of its server. ErrProvisional
// says that the newest has fallen silent, so that its time of start may be wrong: a clock that
// was set back, or a heartbeat that another process wrote. Such a life is taken once it goes on.
func (c *Core) checkLife(now time.Duration, beat Beat, view *directory.Directory) error {
	told := beat.Instance.Incarnation()
	for _, other := range view.Lives(told.Server) {
		born := other.ID.Incarnation().Born
		if born <= told.Born {
			continue
		}
		if told.Born == 0 {
			return fault.Newf(fault.InvalidArgument, "born: is missing, and server %q told it before: give the Unix milliseconds of its start", told.Server)
		}
		if _, known := view.Instance(beat.Instance); known || c.mayLive(now, other) {
			return fault.Newf(fault.Conflict, "born: %d is before the start of server %q at %d: an earlier life of it has ended", told.Born, told.Server, born)
		}
		return c.goesOn(now, beat, c.heardOf(other.ID))
	}
	return nil
}

// heardOf returns when this leader heard an instance last.
func (c *Core) heardOf(id directory.InstanceID) time.Duration {
	if known, met := c.contacts[id]; met {
		return known.beatAt
	}
	return c.leadSince
}

// LastHeartbeat returns when this leader heard an instance last; false if it has not.
func (c *Core) LastHeartbeat(id directory.InstanceID) (time.Duration, bool) {
	known, found := c.contacts[id]
	if !found {
		return 0, false
	}
	return known.beatAt, true
}

// mayLive reports whether an instance was heard so little ago that it may be alive.
func (c *Core) mayLive(now time.Duration, instance directory.Instance) bool {
	return !instance.Ended && now <= c.leaseEnd(instance.ID)
}
