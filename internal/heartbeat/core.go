package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// Core is not safe for concurrent use.
type Core struct {
	config    Config
	leadSince time.Duration
	contacts  map[directory.InstanceID]*contact
	// firstSeen is when this leader first heard of an instance of a service that
	// has no layout.
	firstSeen map[string]time.Duration
	// lastSeen is when it last heard of one for the first time.
	lastSeen map[string]time.Duration
	// demands are the requests for each service, as gateways count them.
	demands map[string]*demand
	// indexes are those of the layouts in force, by service.
	indexes map[string]*index
	// newcomers are the instances of each service that hold no keys, and when each was
	// heard last.
	newcomers map[string]map[directory.InstanceID]time.Duration
	// reservedUntil is until when each instance that is to get a hot key gets no others.
	reservedUntil map[directory.InstanceID]time.Duration
	// strangers are instances that were not taken at their first heartbeat.
	strangers map[directory.InstanceID]stranger
	// targets are the instances that are to get keys which are being moved.
	targets map[targetKey]directory.InstanceID
	// windowStart is the position of the next candidates that a choice looks at, where there
	// are too many for one.
	windowStart int
	// publishedAt is when service times were looked at last.
	publishedAt time.Duration
	// gateways are when each gateway was heard of last, by name.
	gateways map[string]gateway
	// throttledAt is when hot keys were looked at last.
	throttledAt time.Duration
	// countedAt is when their number was published last.
	countedAt time.Duration
	// keepersAt is when the keepers were looked at last.
	keepersAt time.Duration
}

// New returns a core. Lead must be called before it is used.
func New(config Config) *Core {
	core := &Core{config: config}
	core.Lead(0)
	return core
}

// Lead begins a term of leadership. What an earlier leader granted is unknown: its
// leases may last for the longest lease from now.
func (c *Core) Lead(now time.Duration) {
	c.leadSince = now
	c.contacts = make(map[directory.InstanceID]*contact)
	c.firstSeen = make(map[string]time.Duration)
	c.lastSeen = make(map[string]time.Duration)
	c.demands = make(map[string]*demand)
	c.indexes = make(map[string]*index)
	c.reservedUntil = make(map[directory.InstanceID]time.Duration)
	c.strangers = make(map[directory.InstanceID]stranger)
	c.newcomers = make(map[string]map[directory.InstanceID]time.Duration)
	c.targets = make(map[targetKey]directory.InstanceID)
	c.gateways = make(map[string]gateway)
	c.countedAt = 0
	c.keepersAt = 0
	c.throttledAt = 0
}

// leaseEnd returns when the last lease of an instance has surely ended.
func (c *Core) leaseEnd(id directory.InstanceID) time.Duration {
	inherited := c.leadSince + c.waitFor(c.config.MaxLease)
	known, found := c.contacts[id]
	if !found {
		return inherited
	}
	return max(inherited, known.leaseEnd)
}

// waitFor returns how long a lease must be waited out by this process's clock.
func (c *Core) waitFor(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+c.config.ClockRateBound)) + c.config.Margin
}

// ended reports whether an instance surely holds nothing any more.
func (c *Core) ended(now time.Duration, id directory.InstanceID, view *directory.Directory) bool {
	instance, found := view.Instance(id)
	if found && instance.Ended {
		return true
	}
	return now > c.leaseEnd(id)
}

// instance returns the instance as the heartbeat tells of it. What others measured of it
// is kept.
func (b Beat) instance(held directory.Instance) directory.Instance {
	state := directory.InstanceReady
	if b.Draining {
		state = directory.InstanceDraining
	}
	return directory.Instance{
		ID: b.Instance, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: b.Slots, State: state,
		ServiceTime: held.ServiceTime, TimedAt: held.TimedAt, WarmUp: held.WarmUp, ColdSince: held.ColdSince,
	}
}

func (c *Core) check(now time.Duration, beat Beat, view *directory.Directory) error {
	known, found := c.contacts[beat.Instance]
	if found && beat.Sequence <= known.sequence {
		return fault.Newf(fault.Conflict, "sequence %d is not above %d: a newer heartbeat came before", beat.Sequence, known.sequence)
	}
	if instance, exists := view.Instance(beat.Instance); exists {
		if instance.Service != beat.Service {
			return fault.Newf(fault.InvalidArgument, "service %q: instance %q announced itself for service %q", beat.Service, beat.Instance, instance.Service)
		}
	}
	if err := c.checkLife(now, beat, view); err != nil {
		return err
	}
	if err := c.checkAddress(now, beat, view); err != nil {
		return err
	}
	return checkHeld(beat, view)
}

// checkAddress refuses an address at which an instance of another service lives.
func (c *Core) checkAddress(now time.Duration, beat Beat, view *directory.Directory) error {
	for other := range view.InstancesAt(beat.Address) {
		if other.ID == beat.Instance || other.Service == beat.Service || other.State == directory.InstanceGone {
			continue
		}
		if known, found := c.contacts[other.ID]; found && now-known.beatAt < c.config.AddressReuse {
			return fault.Newf(fault.InvalidArgument, "address %s: instance %q of service %q lives there", beat.Address, other.ID, other.Service)
		}
	}
	return nil
}

// checkHeld refuses ranges that cross each other or have a fence that was never
// given. One within another is sound: a row that was cut or joined is told as long as
// work on it lasts, beside the one that took its place.
func checkHeld(beat Beat, view *directory.Directory) error {
	ordered := slices.Clone(beat.Held)
	slices.SortFunc(ordered, func(a, b Held) int { return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(b.Last, a.Last)) })
	layout := view.Layout(beat.Service)
	var around []Held
	for _, held := range ordered {
		if held.First > held.Last || held.First < 0 || held.Last > directory.MaxKey {
			return fault.Newf(fault.InvalidArgument, "holdings: %d to %d is no range of keys from 0 to %d", held.First, held.Last, directory.MaxKey)
		}
		for len(around) > 0 && around[len(around)-1].Last < held.First {
			around = around[:len(around)-1]
		}
		if len(around) > 0 && held.Last > around[len(around)-1].Last {
			outer := around[len(around)-1]
			return fault.Newf(fault.InvalidArgument, "holdings: %d to %d crosses %d to %d", held.First, held.Last, outer.First, outer.Last)
		}
		around = append(around, held)
		if err := checkFence(held, layout); err != nil {
			return err
		}
	}
	return nil
}

// checkFence refuses a range of which each part has a fence above the newest.
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

// Answer returns what the newest heartbeat of an instance is granted. It must be
// called after the commands of Receive were applied, in the same term, and after a
// quorum round that began after the heartbeat came.
//
// Invariant: no batch that was decided since Receive or Renew took the heartbeat passes
// on keys that the answer grants, since the lease counts as renewed from then on; and
// one that was decided before is applied, since the next batch waits for its end.
func (c *Core) Answer(id directory.InstanceID, view *directory.Directory) Grant {
	instance, found := view.Instance(id)
	known := c.contacts[id]
	if !found || known == nil || instance.State == directory.InstanceGone {
		return Grant{}
	}
	service, found := view.Service(instance.Service)
	if !found || !service.Keyed {
		return Grant{}
	}
	known.answerableUntil = 0
	known.returned = false
	grant := Grant{Renewed: true, Lease: c.config.Lease}
	for _, holding := range c.index(instance.Service, view).owned[id] {
		if holding.Revoked || !holding.Granted {
			// Keys that were given to the instance too late for this answer are told by
			// the next one: gateways do not send requests for them before.
			continue
		}
		if known.holds(holding) {
			holding.Handover = ""
		}
		grant.Holdings = append(grant.Holdings, holding)
	}
	return grant
}
