package gateway

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// checkBeforeWrite returns why a request may no longer be sent to the chosen instance; nil if it may. It is
// called just before the first byte is written: the wait for a connection or for a turn on this machine's
// link may have been long, and the machine may have been suspended since the choice.
func (g *Gateway) checkBeforeWrite(current *request, instance directory.Instance) *fault.Error {
	current.withdrawn = true
	if current.remaining() <= 0 {
		return fault.New(fault.DeadlineBeforeStart, "the deadline passed before the request could be sent")
	}
	if failure := g.rejectBeforeStop(current); failure != nil {
		return failure
	}
	if failure := g.guard.CheckBeforeWrite(&current.suspicion); failure != nil {
		return failure
	}
	if failure := g.checkTable(); failure != nil {
		return failure
	}
	if g.maySendTo(current, instance) {
		current.withdrawn = false
		return nil
	}
	return fault.Newf(fault.NoOwner, "instance %s may not get the request any more", instance.ID)
}

// checkTable returns the failure of a request that may no longer be sent by the current table; nil if it may. An instance may
// have left, or keys may have moved, without word of it here.
func (g *Gateway) checkTable() *fault.Error {
	age := g.subscription.age()
	if g.subscription.mayFollow(age) {
		return nil
	}
	return outdated(age)
}

// maySendTo reports whether an instance that was chosen may still get the request.
func (g *Gateway) maySendTo(current *request, chosen directory.Instance) bool {
	service, found := g.subscription.current().Service(current.service)
	if !found {
		return false
	}
	instance, found := service.Instance(chosen.ID)
	if !found || g.leftFailure(instance) != nil {
		return false
	}
	if current.keyed {
		return g.stillHolds(current, instance.ID) && !g.evacuations.excludesHolder(instance) &&
			(instance.State != directory.InstanceDraining || g.drains.mayServe(instance))
	}
	return instance.Serving() && !g.evacuations.excludes(instance)
}
