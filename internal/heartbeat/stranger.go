package heartbeat

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A process that listens at an address proves that the one before it there has ended. But a
// heartbeat may arrive long after it was sent, by a process that crashed meanwhile, and
// tell of an instance that nobody knows. Were it taken for the newer one, the instance that
// lives would count as ended, and its keys would pass on while it holds them. So an unknown
// instance takes an address over only if it goes on sending heartbeats while the other one
// has fallen silent.

// ErrProvisional says that a heartbeat changed nothing, since its instance is not known yet
// and another one was heard of at its address. The next one may be taken.
var ErrProvisional = eris.New("another instance was heard at the address of late: the next heartbeat decides")

// strangerTime is how long an unknown instance must send heartbeats before it takes an
// address over: above what a network keeps back and then delivers at once, and below the
// time between two regular heartbeats.
const strangerTime = 500 * time.Millisecond

// stranger is an unknown instance at an address where another one was heard of late.
type stranger struct {
	// firstAt is when its first heartbeat came that nothing of the other one followed.
	firstAt  time.Duration
	sequence uint64
}

// checkStranger returns ErrProvisional for a heartbeat of an unknown instance that may not
// take its address over yet.
func (c *Core) checkStranger(now time.Duration, beat Beat, view *directory.Directory) error {
	heardAt, found := c.heardAt(now, beat, view)
	if !found {
		delete(c.strangers, beat.Instance)
		return nil
	}
	return c.goesOn(now, beat, heardAt)
}

// goesOn returns ErrProvisional until a stranger has sent heartbeats for long enough while
// nothing was heard of the other one since a time.
func (c *Core) goesOn(now time.Duration, beat Beat, heardAt time.Duration) error {
	known, met := c.strangers[beat.Instance]
	if !met || heardAt > known.firstAt {
		c.strangers[beat.Instance] = stranger{firstAt: now, sequence: beat.Sequence}
		return ErrProvisional
	}
	if beat.Sequence <= known.sequence || now-known.firstAt < strangerTime {
		return ErrProvisional
	}
	delete(c.strangers, beat.Instance)
	return nil
}

// heardAt returns when another instance was heard last at the address of a heartbeat, if
// that is so little ago that it may be alive. This leader has heard nobody before it led.
func (c *Core) heardAt(now time.Duration, beat Beat, view *directory.Directory) (time.Duration, bool) {
	newest, found := time.Duration(0), false
	for other := range view.InstancesAt(beat.Address) {
		sameServer := other.ID.Server() == beat.Instance.Server() // checkLife has decided on it
		if sameServer || other.State == directory.InstanceGone {
			continue
		}
		heard := c.heardOf(other.ID)
		if now-heard <= c.config.Lease {
			newest, found = max(newest, heard), true
		}
	}
	return newest, found
}
