package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// acquire waits until the request may be sent to an instance. An error proves that the request was not sent
// since the last attempt.
func (g *Gateway) acquire(current *request) (directory.Instance, error) {
	for {
		if failure := g.rejectBeforeStop(current); failure != nil {
			return directory.Instance{}, failure
		}
		freed, updated := g.attemptEnded.Next(), g.subscription.updates.Next()
		instance, failure := g.choose(current)
		if failure == nil {
			failure = g.checkBeforeSend(current, instance)
			if failure == nil {
				return instance, nil
			}
			g.releaseInstance(current, instance)
			if failure.Kind == fault.RequestOnProbation {
				failure = g.guard.AwaitTrial(&current.suspicion, current.remaining(), current.interrupt.Fired)
				if failure == nil {
					continue
				}
			}
			if failure.Kind == fault.RequestQuarantined || failure.Kind == fault.RequestOnProbation {
				return directory.Instance{}, failure
			}
			if !current.keyed {
				continue
			}
		}
		wait := min(g.waitUntil(current, failure)-g.clock.Now(), current.remaining()-minRemaining)
		if wait <= 0 || current.interrupt.Fired() {
			return directory.Instance{}, failure
		}
		timer := time.NewTimer(min(wait, choosePollInterval))
		select {
		case <-freed:
		case <-updated:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// choosePollInterval bounds the time between two attempts to choose an instance.
const choosePollInterval = 50 * time.Millisecond

// waitUntil returns the clock reading until which a request waits for an instance, depending on why there is
// none. Keys without a holder get one soon, so that waiting serves the caller better than a rejection; but the
// wait takes less than half of the caller's time, so that it can still retry with the rest.
func (g *Gateway) waitUntil(current *request, failure *fault.Error) time.Duration {
	const noOwnerShare = 0.4
	switch failure.Kind {
	case fault.ConnectFailed, fault.SocketUnavailable, fault.ServerLimited:
		return current.arrived
	default:
	}
	if current.noCapacity {
		return current.arrived
	}
	timeout := current.deadline - current.arrived
	if failure.Kind == fault.NoOwner {
		return current.arrived + time.Duration(noOwnerShare*float64(timeout))
	}
	const targetShare = 5
	wait := current.target() / targetShare
	if wait <= 0 {
		wait = timeout / targetShare
	}
	until := current.arrived + wait
	if failure.Kind == fault.ServerResting && g.clock.Now()+current.retryIn > until {
		return current.arrived
	}
	return until
}

// choose returns an instance to which the request may be sent now. The balancer has counted the request as in
// flight there.
func (g *Gateway) choose(current *request) (directory.Instance, *fault.Error) {
	table := g.subscription.current()
	service, found := table.Service(current.service)
	if !found {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "service %q is not configured", current.service)
	}
	current.revision = table.Revision
	if current.keyed {
		return g.chooseOwner(current, service)
	}
	if !current.regionBound() {
		if instance, failure, decided := g.placeInService(current, service); decided {
			return instance, failure
		}
	}
	now := g.clock.Now()
	direct, relayed := g.candidates(now, current, service.Instances)
	if len(direct)+len(relayed) == 0 {
		return directory.Instance{}, current.noInstanceFailure()
	}
	instance, chosen := g.chooseAmong(now, current, direct)
	if !chosen {
		instance, chosen = g.chooseAmong(now, current, relayed)
	}
	if !chosen {
		current.candidates = g.balancer.InstanceLoads(g.clock.Now(), append(direct, relayed...))
		return directory.Instance{}, fault.Newf(fault.QueueFull, "each instance of service %q has as many requests as it may", current.service)
	}
	if !g.coldStarts.take(now, instance.ID) {
		// Another request took the slot meanwhile; the caller chooses again.
		g.balancer.Release(instance.ID)
		return directory.Instance{}, fault.Newf(fault.QueueFull, "instance %s is cold and gets no more requests now", instance.ID)
	}
	return instance, nil
}

// chooseAmong returns the instance for a request, which the balancer has counted as in flight there. An
// instance that advertises a rate limit is chosen only if no other one has capacity.
func (g *Gateway) chooseAmong(now time.Duration, current *request, candidates []directory.Instance) (directory.Instance, bool) {
	unlimited, limited := g.signals.splitByLimit(now, candidates)
	for _, instances := range [][]directory.Instance{unlimited, limited} {
		if len(instances) == 0 {
			continue
		}
		instance, chosen := g.balancer.Choose(balance.Request{
			Now: now, Service: current.service, Instances: instances, Limit: inFlightLimit,
			Random: [2]float64{rand.Float64(), rand.Float64()},
		})
		if chosen {
			return instance, true
		}
	}
	return directory.Instance{}, false
}

// noInstanceFailure returns the failure of a request for which no candidate is left: that of an instance
// with a rate limit or at rest that could have served it, if there was one.
func (r *request) noInstanceFailure() *fault.Error {
	if r.limitFailure != nil {
		return r.limitFailure
	}
	if r.restFailure != nil {
		return r.restFailure
	}
	if r.reachFailure != nil {
		return r.reachFailure
	}
	if r.socketFailure != nil {
		return r.socketFailure
	}
	return fault.Newf(fault.NoOwner, "no candidate instance of service %q is left", r.service)
}

// candidates returns the instances to which the request may be sent: those that this gateway reaches, and those
// to which another gateway may relay it.
func (g *Gateway) candidates(now time.Duration, current *request, instances []*directory.Instance) (direct, relayed []directory.Instance) {
	direct = make([]directory.Instance, 0, len(instances))
	var leaving []directory.Instance
	current.restFailure, current.reachFailure = nil, nil
	for _, each := range instances {
		instance := *each
		if !instance.Serving() || slices.Contains(current.attempts, instance.ID) || slices.Contains(current.limitedAt, instance.ID) {
			continue
		}
		if !g.allowsRegionOf(current, instance) || g.evacuations.excludes(instance) || !g.coldStarts.allows(now, instance.ID) {
			continue
		}
		if !g.mayReach(current, instance.ID) {
			current.reachFailure = fault.Newf(fault.ConnectFailed, "neither a connection to instance %s can be made, nor does a gateway relay requests to it", instance.ID)
			continue
		}
		if wait := g.signals.rest(now, instance.ID); wait > 0 {
			current.recordResting(instance.ID, wait)
			continue
		}
		if since, leaves := g.signals.leaving(now, instance.ID); leaves {
			if since < g.settings.DrainTime {
				leaving = append(leaving, instance)
			}
			continue
		}
		if g.reach.Reachable(instance.ID) {
			direct = append(direct, instance)
		} else {
			relayed = append(relayed, instance)
		}
	}
	if len(direct)+len(relayed) == 0 {
		return leaving, nil
	}
	return direct, relayed
}

// inFlightLimit bounds the requests in flight from this gateway to an instance.
func inFlightLimit(slots int) int { return max(slots, 1) }

// keyedLimit is the same bound for the holder of a key, which alone may run the request.
func keyedLimit(slots int) int { return max(slots, 1) + 1 }

// chooseOwner returns the instance that holds the request's key.
func (g *Gateway) chooseOwner(current *request, service *routing.Service) (directory.Instance, *fault.Error) {
	layout := service.Layout
	holding, found := layout.At(current.key)
	if !found || holding.Owner == "" || !holding.Granted || holding.Revoked {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "nobody holds key %d", current.key)
	}
	instance, found := service.Instance(holding.Owner)
	if !found || instance.State == directory.InstanceDraining && !g.drains.mayServe(instance) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the holder of key %d leaves", current.key)
	}
	if !g.allowsRegionOf(current, instance) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the holder of key %d stands in a region that route or tenant do not allow", current.key)
	}
	if g.evacuations.excludesHolder(instance) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the zone of the holder of key %d is evacuated", current.key)
	}
	if failure := g.checkHolder(current, instance); failure != nil {
		return directory.Instance{}, failure
	}
	current.rangeFirst, current.layoutRevision = holding.First, layout.Revision
	if !g.rejections.mayAsk(instance.ID, holding.First, layout.Revision) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the holder of key %d has just said that it does not hold it", current.key)
	}
	if !g.mayReach(current, instance.ID) {
		return directory.Instance{}, fault.Newf(fault.ConnectFailed, "neither a connection to the holder of key %d can be made, nor does a gateway relay requests to it", current.key)
	}
	if failure, decided := g.placeAtHolder(current, instance); decided {
		return instance, failure
	}
	if !g.balancer.TryBegin(g.clock.Now(), instance, keyedLimit(instance.Slots)) {
		current.candidates = g.balancer.InstanceLoads(g.clock.Now(), []directory.Instance{instance})
		return directory.Instance{}, fault.Newf(fault.QueueFull, "the holder of key %d has as many requests as it may", current.key)
	}
	if !g.coldStarts.take(g.clock.Now(), instance.ID) {
		g.balancer.Release(instance.ID)
		return directory.Instance{}, fault.Newf(fault.QueueFull, "the holder of key %d is cold and gets no more requests now", current.key)
	}
	return instance, nil
}
