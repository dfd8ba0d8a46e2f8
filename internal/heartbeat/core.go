package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// Core decides on the heartbeats and layouts of all services. It is not safe for concurrent use.
type Core struct {
	config     Config
	leadSince  time.Duration
	heartbeats map[directory.InstanceID]*heartbeatState
	// firstInstanceAt is when this leader received the first heartbeat of each service.
	firstInstanceAt map[string]time.Duration
	// lastNewInstanceAt is when this leader last received the first heartbeat of an instance, by service.
	lastNewInstanceAt map[string]time.Duration
	// demands are the request rates of each service, as counted by gateways.
	demands map[string]*demand
	// indexes describe the current layouts, by service.
	indexes map[string]*index
	// emptyInstances are the instances of each service that own no keys, with the time of their last
	// heartbeat.
	emptyInstances map[string]map[directory.InstanceID]time.Duration
	// reservedUntil is until when an instance that is to get a hot key gets no other keys.
	reservedUntil map[directory.InstanceID]time.Duration
	// provisional are the instances whose first heartbeat was not accepted.
	provisional map[directory.InstanceID]provisionalInstance
	// unrecorded are the instances whose pending answers may not contain keys that were granted to them by a batch that
	// was decided before their newest heartbeat, until a batch has recorded the grants anew.
	unrecorded map[directory.InstanceID]bool
	// targets are the next owners of keys that are being moved.
	targets map[targetKey]directory.InstanceID
	// nextCandidate is the position of the next window of candidates in services that have more than
	// maxWindow.
	nextCandidate int
	// timesCheckedAt is when service times were last checked for changes to publish.
	timesCheckedAt time.Duration
	// gateways is the state of each gateway, by name.
	gateways map[string]gateway
	// throttlesCheckedAt is when hot keys were last checked for throttles to publish.
	throttlesCheckedAt time.Duration
	// gatewaysCheckedAt is when the number of gateways was last checked.
	gatewaysCheckedAt time.Duration
	// keepersCheckedAt is when the keepers were last checked.
	keepersCheckedAt time.Duration
	// relaysCheckedAt is when the relays were last checked.
	relaysCheckedAt time.Duration
}

// New returns a core. Lead must be called before it is used.
func New(config Config) *Core {
	core := &Core{config: config}
	core.Lead(0)
	return core
}

// Lead starts a term of leadership. Leases granted by an earlier leader are unknown and may last for
// up to MaxLease from now.
func (c *Core) Lead(now time.Duration) {
	c.leadSince = now
	c.heartbeats = make(map[directory.InstanceID]*heartbeatState)
	c.firstInstanceAt = make(map[string]time.Duration)
	c.lastNewInstanceAt = make(map[string]time.Duration)
	c.demands = make(map[string]*demand)
	c.indexes = make(map[string]*index)
	c.reservedUntil = make(map[directory.InstanceID]time.Duration)
	c.provisional = make(map[directory.InstanceID]provisionalInstance)
	c.emptyInstances = make(map[string]map[directory.InstanceID]time.Duration)
	c.unrecorded = make(map[directory.InstanceID]bool)
	c.targets = make(map[targetKey]directory.InstanceID)
	c.gateways = make(map[string]gateway)
	c.gatewaysCheckedAt = 0
	c.keepersCheckedAt = 0
	c.relaysCheckedAt = 0
	c.throttlesCheckedAt = 0
}

// leaseEnd returns the time after which the last lease of an instance has certainly expired.
func (c *Core) leaseEnd(id directory.InstanceID) time.Duration {
	inherited := c.leadSince + c.waitFor(c.config.MaxLease)
	state, found := c.heartbeats[id]
	if !found {
		return inherited
	}
	return max(inherited, state.leaseEnd)
}

// waitFor returns how long to wait, by the local clock, until a lease has certainly expired.
func (c *Core) waitFor(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+c.config.ClockRateBound)) + c.config.Margin
}

// runsFor returns how long, by the local clock, a lease has certainly not expired at the instance.
func (c *Core) runsFor(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1-c.config.ClockRateBound)) - c.config.Margin
}

// holdsNothing reports whether an instance certainly holds no keys any more.
func (c *Core) holdsNothing(now time.Duration, id directory.InstanceID, view *directory.Directory) bool {
	instance, found := view.Instance(id)
	if found && instance.Ended {
		return true
	}
	return now > c.leaseEnd(id)
}

// instance returns the directory entry of the instance as reported by the heartbeat. Fields that the
// heartbeat does not contain are taken from the current entry.
func (b Beat) instance(current directory.Instance) directory.Instance {
	state := directory.InstanceReady
	if b.Draining {
		state = directory.InstanceDraining
	}
	return directory.Instance{
		ID: b.Instance, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: b.Slots, State: state,
		ServiceTime: current.ServiceTime, TimedAt: current.TimedAt, WarmUp: current.WarmUp, ColdSince: current.ColdSince,
	}
}

// checkHeartbeat rejects a heartbeat that is outdated or contradicts the known state.
func (c *Core) checkHeartbeat(now time.Duration, beat Beat, view *directory.Directory) error {
	state, found := c.heartbeats[beat.Instance]
	if found && beat.Sequence <= state.sequence {
		return fault.Newf(fault.Conflict, "sequence %d is not above %d: a newer heartbeat came before", beat.Sequence, state.sequence)
	}
	if instance, exists := view.Instance(beat.Instance); exists {
		if instance.Service != beat.Service {
			return fault.Newf(fault.InvalidArgument, "service %q: instance %q announced itself for service %q", beat.Service, beat.Instance, instance.Service)
		}
	}
	if err := c.checkIncarnation(now, beat, view); err != nil {
		return err
	}
	if err := c.checkAddress(now, beat, view); err != nil {
		return err
	}
	return checkHeld(beat, view)
}

// checkAddress rejects an address at which an instance of another service sent a heartbeat recently.
func (c *Core) checkAddress(now time.Duration, beat Beat, view *directory.Directory) error {
	for other := range view.InstancesAt(beat.Address) {
		if other.ID == beat.Instance || other.Service == beat.Service || other.State == directory.InstanceGone {
			continue
		}
		if state, found := c.heartbeats[other.ID]; found && now-state.receivedAt < c.config.AddressReuse {
			return fault.Newf(fault.InvalidArgument, "address %s: instance %q of service %q lives there", beat.Address, other.ID, other.Service)
		}
	}
	return nil
}

// checkHeld rejects ranges that overlap partially or have a fence that was never assigned. A range
// within another one is valid: a range that was split or merged is reported, beside its replacement,
// as long as requests for it are in progress.
func checkHeld(beat Beat, view *directory.Directory) error {
	ordered := slices.Clone(beat.Held)
	slices.SortFunc(ordered, func(a, b Held) int { return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(b.Last, a.Last)) })
	layout := view.Layout(beat.Service)
	var enclosing []Held
	for _, held := range ordered {
		if held.First > held.Last || held.First < 0 || held.Last > directory.MaxKey {
			return fault.Newf(fault.InvalidArgument, "holdings: %d to %d is no range of keys from 0 to %d", held.First, held.Last, directory.MaxKey)
		}
		for len(enclosing) > 0 && enclosing[len(enclosing)-1].Last < held.First {
			enclosing = enclosing[:len(enclosing)-1]
		}
		if len(enclosing) > 0 && held.Last > enclosing[len(enclosing)-1].Last {
			outer := enclosing[len(enclosing)-1]
			return fault.Newf(fault.InvalidArgument, "holdings: %d to %d crosses %d to %d", held.First, held.Last, outer.First, outer.Last)
		}
		enclosing = append(enclosing, held)
		if err := checkFence(held, layout); err != nil {
			return err
		}
	}
	return nil
}

// checkFence rejects a range whose fence is above the current fence of one of its parts.
func checkFence(held Held, layout directory.Layout) error {
	for first := held.First; first <= held.Last; {
		holding, found := layout.At(first)
		if !found {
			return nil
		}
		if held.Fence > holding.Fence {
			return fault.Newf(fault.InvalidArgument, "holdings: fence %d of keys %d to %d was never given, the newest is %d",
				held.Fence, held.First, held.Last, holding.Fence)
		}
		first = holding.Last + 1
	}
	return nil
}

func rangeOf(holding directory.Holding) Range {
	return Range{First: holding.First, Last: holding.Last}
}

// Answer returns the grant for the newest heartbeat of an instance, received at receivedAt. It must be called after the
// commands of Receive were applied, in the same term, and after a quorum round that started after the
// heartbeat was received.
//
// Invariant: no batch decided since Receive or Renew accepted the heartbeat reassigns keys that the
// answer grants, since the lease counts as renewed from then on. Batches decided earlier are already
// applied, since each batch waits until the previous one is finished.
func (c *Core) Answer(id directory.InstanceID, receivedAt time.Duration, view *directory.Directory) Grant {
	instance, found := view.Instance(id)
	state := c.heartbeats[id]
	if !found || state == nil || instance.State == directory.InstanceGone {
		return Grant{}
	}
	service, found := view.Service(instance.Service)
	if !found || !service.Keyed {
		return Grant{}
	}
	state.answerableUntil = 0
	state.returnedAfterExpiry = false
	state.renewedAt = receivedAt
	grant := Grant{Renewed: true, Lease: c.config.Lease}
	for _, holding := range c.index(instance.Service, view).owned[id] {
		if holding.Revoked || !holding.Granted {
			// Keys that were assigned to the instance too late for this answer are sent with the next
			// one. Gateways do not route requests for them to the instance until then.
			continue
		}
		if !state.maySend(holding) {
			// A batch that was decided before the heartbeat granted them; the next one records the grant anew.
			continue
		}
		if state.holds(holding) {
			holding.Handover = ""
		}
		grant.Holdings = append(grant.Holdings, holding)
	}
	return grant
}
