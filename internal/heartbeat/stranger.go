package heartbeat

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A heartbeat may arrive long after it was sent, by a process that has crashed since. At the address of another
// instance, which may have started after it, heartbeats of an unknown one therefore prove nothing, however many
// arrive: if they ended the other instance, its keys would be reassigned while it holds them. An unknown instance
// takes over an address once the lease of each other instance there has certainly expired.

// ErrProvisional says that a heartbeat had no effect because its instance is not known yet and another
// instance at its address may be alive, or a newer incarnation of its server is known. A later heartbeat
// may be accepted.
var ErrProvisional = eris.New("another instance at the address may be alive: a later heartbeat decides")

// provisionalTime is how long an earlier incarnation must send heartbeats, while the newest one of its server is
// silent, before it is accepted.
const provisionalTime = 500 * time.Millisecond

// provisionalInstance is an unknown instance whose heartbeats have no effect yet.
type provisionalInstance struct {
	// firstAt is when its first heartbeat was received that no heartbeat of the other one followed.
	firstAt  time.Duration
	sequence uint64
}

// checkTakeover returns ErrProvisional for a heartbeat of an unknown instance while another one at its address
// may hold a lease.
func (c *Core) checkTakeover(now time.Duration, beat Beat, view *directory.Directory) error {
	for other := range view.InstancesAt(beat.Address) {
		sameServer := other.ID.Server() == beat.Instance.Server() // already decided by checkIncarnation
		if !sameServer && c.mayHoldLease(now, other) {
			c.provisional[beat.Instance] = provisionalInstance{firstAt: now, sequence: beat.Sequence}
			return ErrProvisional
		}
	}
	delete(c.provisional, beat.Instance)
	return nil
}

// mayHoldLease reports whether the lease of an instance may still be valid. That of a silent one expired in an earlier
// term, unless this leader has heard from it.
func (c *Core) mayHoldLease(now time.Duration, instance directory.Instance) bool {
	if _, heard := c.heartbeats[instance.ID]; instance.State == directory.InstanceSilent && !heard {
		return false
	}
	return c.mayBeAlive(now, instance)
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
