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
	// demands are the requests for each service, as gateways count them.
	demands map[string]*demand
	// targets are the instances that are to get keys which are being moved.
	targets map[targetKey]directory.InstanceID
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
	c.demands = make(map[string]*demand)
	c.targets = make(map[targetKey]directory.InstanceID)
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

// Receive takes a heartbeat that came at a time and returns the commands that must
// be applied before it is answered. One of an instance that left changes nothing. The
// error is of the kind conflict for a heartbeat that is out of date, and of the kind
// invalid_argument for one that contradicts what is known.
func (c *Core) Receive(now time.Duration, beat Beat, view *directory.Directory) ([]directory.Command, error) {
	if instance, found := view.Instance(beat.Instance); found && instance.State == directory.InstanceGone {
		return nil, nil
	}
	if err := c.check(now, beat, view); err != nil {
		return nil, err
	}
	known, found := c.contacts[beat.Instance]
	if !found {
		known = &contact{}
		c.contacts[beat.Instance] = known
	}
	known.sequence = beat.Sequence
	known.noteInterval(now)
	known.beatAt = now
	known.warmAt = now + beat.WarmUp
	known.held = beat.Held
	if _, seen := c.firstSeen[beat.Service]; !seen {
		c.firstSeen[beat.Service] = now
	}
	return c.changes(now, beat, known, view), nil
}

// changes returns the commands that a heartbeat calls for.
func (c *Core) changes(now time.Duration, beat Beat, known *contact, view *directory.Directory) []directory.Command {
	var commands []directory.Command
	wanted := beat.instance()
	held, found := view.Instance(beat.Instance)
	if !found || !held.Same(wanted) {
		commands = append(commands, directory.Command{Instances: []directory.Instance{wanted}})
	}
	if service, keyed := view.Service(beat.Service); keyed && service.Keyed {
		draft := c.draft(now, beat.Service, view)
		draft.release(beat)
		if beat.Draining {
			draft.drain(beat.Instance, known.drains(now))
		}
		draft.settle()
		if !beat.Draining {
			draft.relieve(beat.Instance)
		}
		draft.grant(beat.Instance)
		draft.join(beat.Instance)
		commands = append(commands, draft.commands()...)
	}
	return commands
}

func (b Beat) instance() directory.Instance {
	state := directory.InstanceReady
	if b.Draining {
		state = directory.InstanceDraining
	}
	return directory.Instance{ID: b.Instance, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: b.Slots, State: state}
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
	if err := c.checkAddress(now, beat, view); err != nil {
		return err
	}
	return checkHeld(beat, view)
}

// checkAddress refuses an address at which an instance of another service lives.
func (c *Core) checkAddress(now time.Duration, beat Beat, view *directory.Directory) error {
	for _, other := range view.Instances() {
		if other.Address != beat.Address || other.ID == beat.Instance || other.Service == beat.Service || other.State == directory.InstanceGone {
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

// Answer returns what the heartbeat that came at a time is granted. It must be
// called after the commands of Receive were applied, in the same term, and after a
// quorum round that began after the heartbeat came.
func (c *Core) Answer(receivedAt time.Duration, id directory.InstanceID, view *directory.Directory) Grant {
	instance, found := view.Instance(id)
	known := c.contacts[id]
	if !found || known == nil || instance.State == directory.InstanceGone {
		return Grant{}
	}
	service, found := view.Service(instance.Service)
	known.leaseEnd = max(known.leaseEnd, receivedAt+c.waitFor(c.config.Lease))
	if !found || !service.Keyed {
		return Grant{}
	}
	grant := Grant{Renewed: true, Lease: c.config.Lease}
	for _, holding := range view.Layout(instance.Service).Holdings {
		if holding.Owner != id || holding.Revoked {
			continue
		}
		if known.holds(holding) {
			holding.Handover = ""
		}
		grant.Holdings = append(grant.Holdings, holding)
	}
	return grant
}

// Leave returns the command by which an instance leaves for good. Its keys pass on
// once its lease has ended.
func (c *Core) Leave(id directory.InstanceID, view *directory.Directory) []directory.Command {
	instance, found := view.Instance(id)
	if !found {
		// Remembered as gone, so that a late heartbeat does not announce it.
		instance = directory.Instance{ID: id}
	}
	if instance.State == directory.InstanceGone {
		return nil
	}
	instance.State = directory.InstanceGone
	return []directory.Command{{Instances: []directory.Instance{instance}}}
}

// Tick returns the commands that are due by themselves.
func (c *Core) Tick(now time.Duration, view *directory.Directory) []directory.Command {
	commands := c.silent(now, view)
	for _, service := range view.KeyedServices() {
		draft := c.draft(now, service.Name, view)
		draft.found()
		draft.passOnEnded()
		draft.settle()
		commands = append(commands, draft.commands()...)
	}
	return commands
}

// silent marks the instances whose lease has ended without a heartbeat.
func (c *Core) silent(now time.Duration, view *directory.Directory) []directory.Command {
	var changed []directory.Instance
	for _, instance := range view.Instances() {
		alive := instance.State == directory.InstanceReady || instance.State == directory.InstanceDraining
		if !alive || now <= c.leaseEnd(instance.ID) {
			continue
		}
		if instance.State == directory.InstanceDraining {
			instance.State = directory.InstanceGone
		} else {
			instance.State = directory.InstanceSilent
		}
		changed = append(changed, instance)
	}
	if len(changed) == 0 {
		return nil
	}
	return []directory.Command{{Instances: changed}}
}
