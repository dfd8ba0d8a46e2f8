package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// A server that restarts under its identifier proves by a later start time that its earlier incarnation
// has ended. A heartbeat of an earlier incarnation may arrive late and has no effect.

// checkIncarnation rejects a heartbeat of an incarnation that is not the newest of its server. It returns
// ErrProvisional if the newest one has fallen silent: its start time may be wrong, because a clock was
// set back or another process wrote the heartbeat. The older incarnation is then accepted once it keeps
// sending heartbeats.
func (c *Core) checkIncarnation(now time.Duration, beat Beat, view *directory.Directory) error {
	incarnation := beat.Instance.Incarnation()
	for _, other := range view.Incarnations(incarnation.Server) {
		otherBorn := other.ID.Incarnation().Born
		if otherBorn <= incarnation.Born {
			continue
		}
		if incarnation.Born == 0 {
			return fault.Newf(fault.InvalidArgument, "born: is missing, and server %q told it before: give the Unix milliseconds of its start", incarnation.Server)
		}
		if _, known := view.Instance(beat.Instance); known || c.mayBeAlive(now, other) {
			return fault.Newf(fault.Conflict, "born: %d is before the start of server %q at %d: an earlier life of it has ended", incarnation.Born, incarnation.Server, otherBorn)
		}
		return c.confirmProvisional(now, beat, c.lastHeard(other.ID))
	}
	return nil
}

// lastHeard returns when this leader received the last heartbeat of an instance, or the start of its
// term if it has received none.
func (c *Core) lastHeard(id directory.InstanceID) time.Duration {
	if state, tracked := c.heartbeats[id]; tracked {
		return state.receivedAt
	}
	return c.leadSince
}

// LastHeartbeat returns when this leader received the last heartbeat of an instance, and false if it has
// received none.
func (c *Core) LastHeartbeat(id directory.InstanceID) (time.Duration, bool) {
	state, tracked := c.heartbeats[id]
	if !tracked {
		return 0, false
	}
	return state.receivedAt, true
}

// mayBeAlive reports whether the lease of an instance may still be valid.
func (c *Core) mayBeAlive(now time.Duration, instance directory.Instance) bool {
	return !instance.Ended && now <= c.leaseEnd(instance.ID)
}
