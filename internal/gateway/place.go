package gateway

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/room"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// usableByKeeper reports whether an instance without keys gets requests through its keeper now. Cold
// instances do not: each gateway sends them its own share, see coldStarts.
func (g *Gateway) usableByKeeper(instance directory.Instance) bool {
	return instance.Serving() && !g.evacuations.excludes(instance) && !g.coldStarts.cold(g.clock.Now(), instance.ID)
}

// minPlaceMegabits is the link speed below which a gateway neither requests nor grants places: on 2.3 Mbit/s
// an ask waited 45 ms for its answer in the median under bursts, behind answers and bodies, which is more than
// a place saves.
const minPlaceMegabits = 20

// usesPlaces reports whether a gateway requests places and grants them.
func usesPlaces(settings config.Gateway) bool {
	return settings.KeepPlaces && (settings.LinkMegabits == 0 || settings.LinkMegabits >= minPlaceMegabits)
}

// needsPlace reports whether a place is to be requested from a keeper: once per request, and not for a
// resend, since a keeper does not know which instances it must avoid.
func (g *Gateway) needsPlace(current *request) bool {
	return usesPlaces(g.settings) && !current.placeAsked && len(current.attempts) == 0
}

// placeInService requests a place at any instance of a service. Decided is false if the gateway is to choose
// by its own counts.
func (g *Gateway) placeInService(current *request, service *routing.Service) (chosen directory.Instance, failure *fault.Error, decided bool) {
	if !g.needsPlace(current) {
		return directory.Instance{}, nil, false
	}
	current.placeAsked = true
	answer := g.places.askForService(current)
	switch answer.verdict {
	case room.Granted:
		for _, instance := range service.Instances {
			if directory.ReferenceOf(instance.ID) == answer.server && g.usableByKeeper(*instance) {
				g.beginWithPlace(current, *instance, answer)
				return *instance, nil, true
			}
		}
		answer.place.end(room.Unused, 0)
		return directory.Instance{}, nil, false
	case room.Rejected:
		if instance, found := g.coldInstance(current, service); found {
			return instance, nil, true
		}
		return directory.Instance{}, current.noPlaceFailure(answer), true
	default:
		return directory.Instance{}, nil, false
	}
}

// placeAtHolder requests a place at the holder of the request's key. Decided is false if the gateway is to
// choose by its own counts.
func (g *Gateway) placeAtHolder(current *request, holder directory.Instance) (failure *fault.Error, decided bool) {
	if !g.needsPlace(current) || g.coldStarts.cold(g.clock.Now(), holder.ID) {
		return nil, false
	}
	current.placeAsked = true
	answer := g.places.askForHolder(current, holder)
	switch answer.verdict {
	case room.Granted:
		if !g.stillHolds(current, holder.ID) {
			answer.place.end(room.Unused, 0)
			current.placeAsked = false
			return fault.Newf(fault.NoOwner, "key %d passed on to another holder", current.key), true
		}
		g.beginWithPlace(current, holder, answer)
		return nil, true
	case room.Rejected:
		return current.noPlaceFailure(answer), true
	default:
		return nil, false
	}
}

// stillHolds reports whether an instance holds the request's key according to the newest table.
func (g *Gateway) stillHolds(current *request, id directory.InstanceID) bool {
	service, found := g.subscription.current().Service(current.service)
	if !found {
		return false
	}
	holding, found := service.Layout.At(current.key)
	return found && holding.Owner == id && holding.Granted && !holding.Revoked
}

// beginWithPlace counts a request that has a place as in flight to its instance.
func (g *Gateway) beginWithPlace(current *request, instance directory.Instance, answer placeAnswer) {
	g.balancer.TryBegin(g.clock.Now(), instance, math.MaxInt)
	current.place = answer.place
}

// coldInstance returns a cold instance to which this gateway may send a request now.
func (g *Gateway) coldInstance(current *request, service *routing.Service) (directory.Instance, bool) {
	now := g.clock.Now()
	var cold []directory.Instance
	direct, relayed := g.candidates(now, current, service.Instances)
	for _, instance := range append(direct, relayed...) {
		if g.coldStarts.cold(now, instance.ID) {
			cold = append(cold, instance)
		}
	}
	if len(cold) == 0 {
		return directory.Instance{}, false
	}
	instance, chosen := g.balancer.Choose(balance.Request{Now: now, Service: current.service, Instances: cold, Limit: inFlightLimit})
	if !chosen {
		return directory.Instance{}, false
	}
	if !g.coldStarts.take(now, instance.ID) {
		g.balancer.Release(instance.ID)
		return directory.Instance{}, false
	}
	return instance, true
}

// noPlaceFailure records that no place is available in time, and returns the failure.
func (r *request) noPlaceFailure(answer placeAnswer) *fault.Error {
	r.noCapacity, r.retryIn = true, answer.wait
	return fault.Newf(fault.QueueFull, "no place at service %q in time; the next one is expected in %s", r.service, answer.wait.Round(time.Millisecond))
}

// endPlace returns the place of an attempt with its outcome.
func (g *Gateway) endPlace(current *request, chosen way, took time.Duration, failure *fault.Error) {
	current.place.end(g.placeOutcome(current, chosen, failure), took)
	current.place = nil
}

// placeOutcome returns what an attempt says of its instance to the keeper, which counts failures for all gateways.
func (g *Gateway) placeOutcome(current *request, chosen way, failure *fault.Error) room.Outcome {
	switch {
	case current.interrupt.Fired() || current.withdrawn || current.relayFailed:
		return room.Unused
	case failure == nil:
		return room.Answered
	case failure.Kind == fault.SocketUnavailable:
		return room.Unused
	case failure.Kind == fault.Shedding || failure.Kind == fault.ServerResting || failure.Kind == fault.WrongEpoch:
		return room.Full
	case failure.Kind == fault.ConnectFailed && (chosen.relay != "" || g.reach.CutOff() || g.linkFull(current)):
		// The cause may be this gateway, its link or the relay.
		return room.Unused
	default:
		return room.Failed
	}
}
