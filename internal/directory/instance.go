package directory

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// InstanceID names one incarnation of a server, see Incarnation: each start has one of its own.
type InstanceID string

// InstanceState is what is known of an instance.
type InstanceState string

// States of an instance.
const (
	// InstanceReady takes requests.
	InstanceReady InstanceState = "ready"
	// InstanceDraining said that it leaves, and takes no new requests.
	InstanceDraining InstanceState = "draining"
	// InstanceSilent sent no heartbeat for a whole lease. Routers that still reach
	// it may send to it; it holds no keys.
	InstanceSilent InstanceState = "silent"
	// InstanceGone left, or another instance has its address. It never returns.
	InstanceGone InstanceState = "gone"
)

// Instance is one incarnation of a server.
type Instance struct {
	ID      InstanceID `msgpack:"i"`
	Service string     `msgpack:"s"`
	// Address accepts requests, IP:port.
	Address string        `msgpack:"a"`
	Zone    string        `msgpack:"z"`
	Slots   int           `msgpack:"n"`
	State   InstanceState `msgpack:"t"`
	// Ended is true once its process surely ended: another one has its address.
	Ended bool `msgpack:"e,omitempty"`
	// ServiceTime is how long the instance needs for a request, the wait in its queue
	// left out, as all gateways together measured it; zero while it is not known to
	// differ from that of other instances of its service.
	ServiceTime time.Duration `msgpack:"w,omitempty"`
	// WarmUp is how much longer the instance was cold when that became known, at the
	// revision ColdSince; zero for an instance that is warm. A cold instance carries few
	// requests, see Service.
	WarmUp    time.Duration `msgpack:"c,omitempty"`
	ColdSince Revision      `msgpack:"v,omitempty"`
	// Revision is that of the last change, of the service time excepted, and TimedAt that of
	// the last change of the service time.
	Revision Revision `msgpack:"r"`
	TimedAt  Revision `msgpack:"d,omitempty"`
}

// Same reports whether two readings of an instance differ in nothing but when they
// were taken.
func (i Instance) Same(other Instance) bool {
	other.Revision, other.TimedAt = i.Revision, i.TimedAt
	return i == other
}

// changedAt is the revision of the last change of anything.
func (i Instance) changedAt() Revision { return max(i.Revision, i.TimedAt) }

// Serving reports whether requests may be sent to the instance.
func (i Instance) Serving() bool {
	return i.State == InstanceReady || i.State == InstanceSilent
}

// maxGone bounds the instances that are remembered after they left, so that a late
// heartbeat does not bring one back.
const maxGone = 2048

// applyInstances takes each instance at its new state.
func (d *Directory) applyInstances(revision Revision, changed []Instance) {
	for _, instance := range changed {
		if held, found := d.instances[instance.ID]; found && held.State == InstanceGone {
			continue
		}
		if instance.WarmUp > 0 && instance.ColdSince == 0 {
			instance.ColdSince = revision
		}
		d.putInstance(revision, instance)
		if instance.State != InstanceGone {
			d.replaceAtAddress(revision, instance)
			d.endEarlierLives(revision, instance)
		}
	}
	d.forgetGone()
}

// InstanceTime is the service time of one instance.
type InstanceTime struct {
	ID          InstanceID    `msgpack:"i"`
	ServiceTime time.Duration `msgpack:"w"`
}

// applyTimes takes the service times of instances that are still there.
func (d *Directory) applyTimes(revision Revision, times []InstanceTime) {
	for _, measured := range times {
		held, found := d.instances[measured.ID]
		if !found || held.State == InstanceGone {
			continue
		}
		instance := *held
		instance.ServiceTime = measured.ServiceTime
		instance.TimedAt = revision
		d.keepInstance(instance)
		d.revision = revision
	}
}

// replaceAtAddress marks the earlier instances at an address as gone: a process
// that listens there proves that theirs has ended.
func (d *Directory) replaceAtAddress(revision Revision, newer Instance) {
	for instance := range d.InstancesAt(newer.Address) {
		if instance.ID == newer.ID || instance.Ended {
			continue
		}
		instance.State = InstanceGone
		instance.Ended = true
		d.putInstance(revision, instance)
	}
}

func (d *Directory) putInstance(revision Revision, instance Instance) {
	instance.Revision = revision
	d.keepInstance(instance)
	d.revision = revision
}

// keepInstance takes an instance in place of an earlier reading of it.
func (d *Directory) keepInstance(instance Instance) {
	if held, known := d.instances[instance.ID]; known && held.Address != instance.Address {
		d.leaveAddress(*held)
	}
	if !slices.Contains(d.byAddress[instance.Address], instance.ID) {
		d.byAddress[instance.Address] = append(slices.Clone(d.byAddress[instance.Address]), instance.ID)
	}
	d.changes.add(instance.changedAt(), instance.ID)
	position, found := d.position(instance.ID)
	if found {
		d.countGone(*d.ordered[position], -1)
		d.ordered[position] = &instance
	} else {
		d.ordered = slices.Insert(d.ordered, position, &instance)
		d.addLife(instance.ID)
		if known := d.references.Load(); known != nil {
			known.add(instance.ID)
		}
	}
	d.countGone(instance, 1)
	d.instances[instance.ID] = &instance
}

func (d *Directory) countGone(instance Instance, change int) {
	if instance.State == InstanceGone {
		d.gone += change
	}
}

// leaveAddress takes an instance out of those at its address.
func (d *Directory) leaveAddress(leaving Instance) {
	left := slices.DeleteFunc(slices.Clone(d.byAddress[leaving.Address]), func(id InstanceID) bool { return id == leaving.ID })
	if len(left) == 0 {
		delete(d.byAddress, leaving.Address)
		return
	}
	d.byAddress[leaving.Address] = left
}

func (d *Directory) forgetInstance(id InstanceID) {
	if held, found := d.instances[id]; found {
		d.leaveAddress(*held)
		d.removeLife(id)
		d.countGone(*held, -1)
	}
	if position, found := d.position(id); found {
		d.ordered = slices.Delete(d.ordered, position, position+1)
	}
	delete(d.instances, id)
	d.references.Store(nil)
}

// position returns where an instance stands in the order, or would stand.
func (d *Directory) position(id InstanceID) (int, bool) {
	return slices.BinarySearchFunc(d.ordered, id, func(instance *Instance, id InstanceID) int {
		return cmp.Compare(instance.ID, id)
	})
}

// forgetGone forgets those that left first, beyond the bound.
func (d *Directory) forgetGone() {
	if d.gone <= maxGone {
		return
	}
	var gone []Instance
	for _, instance := range d.instances {
		if instance.State == InstanceGone {
			gone = append(gone, *instance)
		}
	}
	slices.SortFunc(gone, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
	for _, instance := range gone[:len(gone)-maxGone] {
		d.forgetInstance(instance.ID)
	}
}

// Living returns how many instances are not gone.
func (d *Directory) Living() int { return len(d.instances) - d.gone }

// Instance returns an instance, also one that is gone.
func (d *Directory) Instance(id InstanceID) (Instance, bool) {
	instance, found := d.instances[id]
	if !found {
		return Instance{}, false
	}
	return *instance, true
}

// InstancesAt yields the instances at an address, those that are gone too. An instance
// may be changed meanwhile, but none added.
func (d *Directory) InstancesAt(address string) iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		for _, id := range d.byAddress[address] {
			if !yield(*d.instances[id]) {
				return
			}
		}
	}
}

// Find returns an instance, also one that is gone. It must not be changed, and never changes.
func (d *Directory) Find(id InstanceID) (*Instance, bool) {
	instance, found := d.instances[id]
	return instance, found
}

// EachFound yields every instance by identifier, as Find returns it.
func (d *Directory) EachFound() iter.Seq[*Instance] { return slices.Values(d.ordered) }

// EachInstance yields every instance by identifier, those that are gone too. An
// instance may be changed meanwhile, but none added.
func (d *Directory) EachInstance() iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		for _, instance := range d.ordered {
			if !yield(*instance) {
				return
			}
		}
	}
}

// Instances returns every instance by identifier, those that are gone too.
func (d *Directory) Instances() []Instance { return slices.Collect(d.EachInstance()) }
