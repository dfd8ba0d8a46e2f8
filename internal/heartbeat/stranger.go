package heartbeat

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A process that listens at an address proves that the previous one there has ended. But a heartbeat may
// arrive long after it was sent by a process that has crashed since, for an instance that is not known.
// If that instance were treated as the newer one, the live instance would count as ended, and its keys
// would be reassigned while it holds them. So an unknown instance takes over an address only if it keeps
// sending heartbeats while the known one is silent.

// ErrProvisional says that a heartbeat had no effect because its instance is not known yet and another
// instance was heard at its address, or is a newer incarnation of its server. The next heartbeat may be
// accepted.
var ErrProvisional = eris.New("another instance was heard at the address of late: the next heartbeat decides")

// provisionalTime is how long an unknown instance must send heartbeats before it takes over an address:
// longer than a network delays packets that it then delivers at once, and shorter than the time between
// two regular heartbeats.
const provisionalTime = 500 * time.Millisecond

// provisionalInstance is an unknown instance that waits to replace one that was heard recently.
type provisionalInstance struct {
	// firstAt is when its first heartbeat was received that no heartbeat of the other one followed.
	firstAt  time.Duration
	sequence uint64
}

// checkTakeover returns ErrProvisional for a heartbeat of an unknown instance that may not take over its
// address yet.
func (c *Core) checkTakeover(now time.Duration, beat Beat, view *directory.Directory) error {
	lastHeard, found := c.lastHeardAtAddress(now, beat, view)
	if !found {
		delete(c.provisional, beat.Instance)
		return nil
	}
	return c.confirmProvisional(now, beat, lastHeard)
}

// confirmProvisional returns ErrProvisional until an unknown instance has sent heartbeats for
// provisionalTime since the other one was last heard, at lastHeard.
func (c *Core) confirmProvisional(now time.Duration, beat Beat, lastHeard time.Duration) error {
	state, found := c.provisional[beat.Instance]
	if !found || lastHeard > state.firstAt {
		c.provisional[beat.Instance] = provisionalInstance{firstAt: now, sequence: beat.Sequence}
		return ErrProvisional
	}
	if beat.Sequence <= state.sequence || now-state.firstAt < provisionalTime {
		return ErrProvisional
	}
	delete(c.provisional, beat.Instance)
	return nil
}

// lastHeardAtAddress returns when another instance was last heard at the address of a heartbeat, if that
// is recent enough for it to be alive. A new leader counts each instance as heard at the start of its term.
func (c *Core) lastHeardAtAddress(now time.Duration, beat Beat, view *directory.Directory) (time.Duration, bool) {
	latest, found := time.Duration(0), false
	for other := range view.InstancesAt(beat.Address) {
		sameServer := other.ID.Server() == beat.Instance.Server() // already decided by checkIncarnation
		if sameServer || other.State == directory.InstanceGone {
			continue
		}
		heard := c.lastHeard(other.ID)
		if now-heard <= c.config.Lease {
			latest, found = max(latest, heard), true
		}
	}
	return latest, found
}
