package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Batch collects decisions that are applied together. They are based on one state of the directory
// and share one draft per service layout, so the cost of drafts does not grow with the number of
// heartbeats. A batch is for a single use at a single point in time.
type Batch struct {
	core *Core
	now  time.Duration
	view *directory.Directory
	// drafts are the next layouts by service; order lists them by first use.
	drafts    map[string]*draft
	order     []*draft
	instances []directory.Instance
	times     []directory.InstanceTime
	throttles []directory.Throttles
	// gatewayCount is the number of gateways to publish; zero if it is not published.
	gatewayCount int
	// keepers is the new list of keepers to publish; empty if it is not published.
	keepers []directory.Keeper
	// relays is the new list of relays to publish; empty if it is not published.
	relays []directory.Relay
}

// Batch starts an empty batch of decisions made at now.
func (c *Core) Batch(now time.Duration, view *directory.Directory) *Batch {
	return &Batch{core: c, now: now, view: view, drafts: make(map[string]*draft)}
}

// Commands returns the commands that must be applied before any heartbeat of the batch is answered.
func (b *Batch) Commands() []directory.Command {
	var commands []directory.Command
	if len(b.instances) > 0 {
		commands = append(commands, directory.Command{Instances: b.instances})
	}
	if len(b.times) > 0 {
		commands = append(commands, directory.Command{Times: b.times})
	}
	for _, throttles := range b.throttles {
		commands = append(commands, directory.Command{Throttles: &throttles})
	}
	if b.gatewayCount > 0 {
		commands = append(commands, directory.Command{Gateways: b.gatewayCount})
	}
	if len(b.keepers) > 0 {
		commands = append(commands, directory.Command{Keepers: b.keepers})
	}
	if len(b.relays) > 0 {
		commands = append(commands, directory.Command{Relays: b.relays})
	}
	for _, draft := range b.order {
		draft.grantPending()
		commands = append(commands, draft.commands()...)
	}
	maps.DeleteFunc(b.core.unrecorded, func(id directory.InstanceID, _ bool) bool { return !b.core.answerPending(b.now, id) })
	return commands
}

func (b *Batch) draft(service string) *draft {
	existing, found := b.drafts[service]
	if !found {
		existing = b.core.draft(b.now, service, b.view)
		b.drafts[service] = existing
		b.order = append(b.order, existing)
	}
	return existing
}

// Receive adds a heartbeat to the batch. A heartbeat of an instance that is gone has no effect. The
// error has kind conflict for an outdated heartbeat, and kind invalid_argument for one that
// contradicts the known state; the batch is unchanged then.
func (b *Batch) Receive(beat Beat) error {
	if instance, found := b.view.Instance(beat.Instance); found && instance.State == directory.InstanceGone {
		return nil
	}
	if err := b.core.checkHeartbeat(b.now, beat, b.view); err != nil {
		return err
	}
	current, found := b.view.Instance(beat.Instance)
	if !found {
		if err := b.core.checkTakeover(b.now, beat, b.view); err != nil {
			return err
		}
	}
	// Draining is final: a heartbeat that denies it was sent earlier.
	beat.Draining = beat.Draining || current.State == directory.InstanceDraining
	coldAgain := b.core.turnedCold(b.now, beat)
	state := b.core.recordHeartbeat(b.now, beat)
	updated := beat.instance(current)
	b.core.setWarmUp(&updated, beat, coldAgain, b.view)
	if !found || !current.Same(updated) {
		b.instances = append(b.instances, updated)
	}
	service, configured := b.view.Service(beat.Service)
	if !configured || !service.Keyed {
		return nil
	}
	if b.core.keepsLayout(b.now, beat, b.view) {
		// If a draft of this batch assigns keys to the instance, its pending answer carries them.
		return nil
	}
	b.draft(beat.Service).applyHeartbeat(beat, state)
	return nil
}

// Renew processes a heartbeat that changes nothing, and reports whether it did. Such a heartbeat can
// be answered without waiting for a batch: the lease has not expired, so no batch in progress
// reassigns the keys, and since the heartbeat counts as answered from here on, no later batch does
// either. It returns false if the lease has expired, and while a heartbeat received after the expiry
// waits for its batch. The first heartbeat that a new leader receives from an instance is treated
// alike; its lease counts as inherited. Batches for 9,999 first heartbeats within 3 s were more than
// a leader could process, and half of the heartbeats were not answered in time.
func (c *Core) Renew(now time.Duration, beat Beat, view *directory.Directory) bool {
	state, tracked := c.heartbeats[beat.Instance]
	instance, found := view.Instance(beat.Instance)
	if !found || now > c.leaseEnd(beat.Instance) || tracked && state.returnedAfterExpiry || !instance.Same(beat.instance(instance)) {
		return false
	}
	if instance.WarmUp > 0 || beat.WarmUp > 0 {
		return false
	}
	service, found := view.Service(beat.Service)
	if !found || c.checkHeartbeat(now, beat, view) != nil {
		return false
	}
	if service.Keyed && !c.keepsLayout(now, beat, view) {
		return false
	}
	c.recordHeartbeat(now, beat)
	return true
}

// recordHeartbeat stores a heartbeat as the newest of its instance. It is answered later, from the
// state applied by then, and the answer may renew the lease. The lease therefore counts as renewed
// from here on: a batch decided before the answer is sent must not reassign keys that the answer
// grants.
func (c *Core) recordHeartbeat(now time.Duration, beat Beat) *heartbeatState {
	expired := now > c.leaseEnd(beat.Instance)
	state, found := c.heartbeats[beat.Instance]
	if !found {
		state = &heartbeatState{}
		c.heartbeats[beat.Instance] = state
		c.lastNewInstanceAt[beat.Service] = now
	}
	state.returnedAfterExpiry = expired
	state.inSequence = found
	state.sequence = beat.Sequence
	state.updateInterval(now)
	state.receivedAt = now
	state.leaseEnd = max(state.leaseEnd, now+c.waitFor(c.config.Lease))
	state.warmAt = now + beat.WarmUp
	state.held = beat.Held
	state.slots = beat.Slots
	state.answerableUntil = max(c.HoldBackEnd(now, beat)-commitMargin, now+1)
	if _, seen := c.firstInstanceAt[beat.Service]; !seen {
		c.firstInstanceAt[beat.Service] = now
	}
	return state
}

// applyHeartbeat updates the layout by what a heartbeat says about the keys of its instance.
func (d *draft) applyHeartbeat(beat Beat, state *heartbeatState) {
	d.freeReleased(beat, state)
	if beat.Draining || d.view.Evacuated(beat.Zone) {
		d.drain(beat.Instance, state.drainingFor(d.now))
	} else {
		state.drainingSince = 0
	}
	d.assignUnowned()
	if !beat.Draining {
		d.offload(beat.Instance)
	}
	d.markGranted(beat.Instance, state)
	d.mergeRanges(beat.Instance)
}

// Leave handles the announcement of a server that it leaves permanently. Its keys are reassigned once
// its lease has expired. If the announcement does not include the start time of the server, it
// applies to the newest incarnation and to those that wait for their second heartbeat.
func (b *Batch) Leave(leaving directory.Incarnation) {
	if leaving.Born > 0 {
		b.markGone(leaving)
		return
	}
	for _, incarnation := range b.leavingIncarnations(leaving.Server) {
		b.markGone(incarnation)
	}
}

// leavingIncarnations returns the incarnations of a server that an announcement without a start time
// may refer to: the newest one known, and those that wait for their second heartbeat.
func (b *Batch) leavingIncarnations(server string) []directory.Incarnation {
	newest := directory.Incarnation{Server: server}
	for _, instance := range b.view.Incarnations(server) {
		newest.Born = max(newest.Born, instance.ID.Incarnation().Born)
	}
	incarnations := []directory.Incarnation{newest}
	for id := range b.core.provisional {
		if incarnation := id.Incarnation(); incarnation.Server == server && incarnation != newest {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.SortFunc(incarnations, func(a, b directory.Incarnation) int { return cmp.Compare(a.Born, b.Born) })
	return incarnations
}

// markGone marks one incarnation as gone.
func (b *Batch) markGone(incarnation directory.Incarnation) {
	id := incarnation.ID()
	instance, found := b.view.Instance(id)
	if !found {
		// Stored as gone, so that a delayed heartbeat does not register it.
		instance = directory.Instance{ID: id}
	}
	if instance.State == directory.InstanceGone {
		return
	}
	instance.State = directory.InstanceGone
	b.instances = append(b.instances, instance)
}

// Tick adds the decisions that are due without a heartbeat.
func (b *Batch) Tick() {
	b.markSilent()
	b.publishTimes()
	b.publishGateways()
	b.publishKeepers()
	b.publishRelays()
	throttleDue := b.throttlesDue()
	for _, service := range b.view.KeyedServices() {
		if throttleDue {
			b.publishThrottles(service.Name)
		}
		if _, found := b.drafts[service.Name]; !found && !b.needsDraft(service.Name) {
			continue
		}
		draft := b.draft(service.Name)
		draft.createLayout()
		draft.freeExpired()
		draft.drainEvacuated()
		draft.assignUnowned()
		draft.offloadPending()
	}
}

// needsDraft reports whether a service has no layout yet, keys without an owner, keys of an instance
// that certainly holds nothing any more, keys in an evacuated zone that are not revoked yet, keys that a
// pending answer is to grant, or a busy instance whose answer is pending.
func (b *Batch) needsDraft(service string) bool {
	index := b.core.index(service, b.view)
	if len(index.owned) == 0 || index.unowned > 0 {
		return true
	}
	for owner := range index.owned {
		if b.core.holdsNothing(b.now, owner, b.view) || b.core.hasKeysToEvacuate(owner, index, b.view) {
			return true
		}
	}
	for id := range b.core.unrecorded {
		if slices.ContainsFunc(index.owned[id], func(holding directory.Holding) bool { return b.core.grantsPending(b.now, holding) }) {
			return true
		}
	}
	return b.busyInstancePending(service)
}

// markSilent marks instances whose lease expired without a heartbeat: ready ones as silent, draining
// ones as gone.
func (b *Batch) markSilent() {
	for instance := range b.view.EachInstance() {
		alive := instance.State == directory.InstanceReady || instance.State == directory.InstanceDraining
		if !alive || b.now <= b.core.leaseEnd(instance.ID) || b.core.receivedInBatch(b.now, instance.ID) {
			continue
		}
		if instance.State == directory.InstanceDraining {
			instance.State = directory.InstanceGone
		} else {
			instance.State = directory.InstanceSilent
		}
		b.instances = append(b.instances, instance)
	}
}

// receivedInBatch reports whether the current batch contains a heartbeat of an instance.
func (c *Core) receivedInBatch(now time.Duration, id directory.InstanceID) bool {
	state, found := c.heartbeats[id]
	return found && state.receivedAt == now
}

// Receive decides on a batch of one heartbeat.
func (c *Core) Receive(now time.Duration, beat Beat, view *directory.Directory) ([]directory.Command, error) {
	batch := c.Batch(now, view)
	if err := batch.Receive(beat); err != nil {
		return nil, err
	}
	return batch.Commands(), nil
}

// Leave decides on a batch of one instance that leaves.
func (c *Core) Leave(id directory.InstanceID, view *directory.Directory) []directory.Command {
	batch := c.Batch(0, view)
	batch.Leave(id.Incarnation())
	return batch.Commands()
}

// Tick decides on a batch without heartbeats.
func (c *Core) Tick(now time.Duration, view *directory.Directory) []directory.Command {
	batch := c.Batch(now, view)
	batch.Tick()
	return batch.Commands()
}
