package directory

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// InstanceID identifies one incarnation of a server: each start has its own. See Incarnation.
type InstanceID string

// InstanceState is the state of an instance as the controllers know it.
type InstanceState string

// States of an instance.
const (
	// InstanceReady accepts requests.
	InstanceReady InstanceState = "ready"
	// InstanceDraining announced that it will leave, and accepts no new requests.
	InstanceDraining InstanceState = "draining"
	// InstanceSilent sent no heartbeat for a whole lease. Routers that still reach it may send it
	// requests; it holds no keys.
	InstanceSilent InstanceState = "silent"
	// InstanceGone left, or was replaced by another instance at its address or by a later
	// incarnation of its server. This state is final.
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
	// Ended is true once its process is known to have ended: another instance has its address, or
	// its server has started again.
	Ended bool `msgpack:"e,omitempty"`
	// ServiceTime is the time that the instance takes for a request, without the wait in its queue,
	// as measured by all gateways together; zero while it is not known to differ from that of other
	// instances of its service.
	ServiceTime time.Duration `msgpack:"w,omitempty"`
	// WarmUp is the remaining time for which the instance is cold, as of the revision ColdSince;
	// zero for a warm instance. A cold instance serves fewer requests, see Service.
	WarmUp    time.Duration `msgpack:"c,omitempty"`
	ColdSince Revision      `msgpack:"v,omitempty"`
	// Revision is that of the last change except of the service time, and TimedAt that of the last
	// change of the service time.
	Revision Revision `msgpack:"r"`
	TimedAt  Revision `msgpack:"d,omitempty"`
}

// Same reports whether two records of an instance are equal, apart from their revisions.
func (i Instance) Same(other Instance) bool {
	other.Revision, other.TimedAt = i.Revision, i.TimedAt
	return i == other
}

// changedAt is the revision of the last change, including the service time.
func (i Instance) changedAt() Revision { return max(i.Revision, i.TimedAt) }

// Serving reports whether requests may be sent to the instance.
func (i Instance) Serving() bool {
	return i.State == InstanceReady || i.State == InstanceSilent
}

// maxGoneInstances bounds the instances that are kept after they left, so that a late heartbeat
// does not bring one back.
const maxGoneInstances = 2048

// applyInstances stores the new state of each instance; instances that are gone stay so.
func (d *Directory) applyInstances(revision Revision, changed []Instance) {
	for _, instance := range changed {
		if current, found := d.instances[instance.ID]; found && current.State == InstanceGone {
			continue
		}
		if instance.WarmUp > 0 && instance.ColdSince == 0 {
			instance.ColdSince = revision
		}
		d.updateInstance(revision, instance)
		if instance.State != InstanceGone {
			d.endInstancesAtAddress(revision, instance)
			d.endEarlierIncarnations(revision, instance)
		}
	}
	d.pruneGoneInstances()
}

// InstanceTime is the service time of one instance.
type InstanceTime struct {
	ID          InstanceID    `msgpack:"i"`
	ServiceTime time.Duration `msgpack:"w"`
}

// applyTimes stores the service times of the instances that are not gone.
func (d *Directory) applyTimes(revision Revision, times []InstanceTime) {
	for _, measured := range times {
		current, found := d.instances[measured.ID]
		if !found || current.State == InstanceGone {
			continue
		}
		instance := *current
		instance.ServiceTime = measured.ServiceTime
		instance.TimedAt = revision
		d.storeInstance(instance)
		d.revision = revision
	}
}

// endInstancesAtAddress marks the other instances at an address as gone: a process that listens
// there proves that theirs have ended.
func (d *Directory) endInstancesAtAddress(revision Revision, newer Instance) {
	for instance := range d.InstancesAt(newer.Address) {
		if instance.ID == newer.ID || instance.Ended {
			continue
		}
		instance.State = InstanceGone
		instance.Ended = true
		d.updateInstance(revision, instance)
	}
}

func (d *Directory) updateInstance(revision Revision, instance Instance) {
	instance.Revision = revision
	d.storeInstance(instance)
	d.revision = revision
}

// storeInstance stores an instance in place of its earlier record and updates the indexes.
func (d *Directory) storeInstance(instance Instance) {
	if current, found := d.instances[instance.ID]; found && current.Address != instance.Address {
		d.removeFromAddress(*current)
	}
	if !slices.Contains(d.byAddress[instance.Address], instance.ID) {
		d.byAddress[instance.Address] = append(slices.Clone(d.byAddress[instance.Address]), instance.ID)
	}
	d.changes.add(instance.changedAt(), instance.ID)
	position, found := d.position(instance.ID)
	if found {
		d.adjustGoneCount(*d.sortedInstances[position], -1)
		d.sortedInstances[position] = &instance
	} else {
		d.sortedInstances = slices.Insert(d.sortedInstances, position, &instance)
		d.addIncarnation(instance.ID)
		if index := d.references.Load(); index != nil {
			index.add(instance.ID)
		}
	}
	d.adjustGoneCount(instance, 1)
	d.instances[instance.ID] = &instance
}

func (d *Directory) adjustGoneCount(instance Instance, delta int) {
	if instance.State == InstanceGone {
		d.goneCount += delta
	}
}

// removeFromAddress removes an instance from the list of its address.
func (d *Directory) removeFromAddress(instance Instance) {
	remaining := slices.DeleteFunc(slices.Clone(d.byAddress[instance.Address]), func(id InstanceID) bool { return id == instance.ID })
	if len(remaining) == 0 {
		delete(d.byAddress, instance.Address)
		return
	}
	d.byAddress[instance.Address] = remaining
}

func (d *Directory) deleteInstance(id InstanceID) {
	if instance, found := d.instances[id]; found {
		d.removeFromAddress(*instance)
		d.removeIncarnation(id)
		d.adjustGoneCount(*instance, -1)
	}
	if position, found := d.position(id); found {
		d.sortedInstances = slices.Delete(d.sortedInstances, position, position+1)
	}
	delete(d.instances, id)
	d.references.Store(nil)
}

// position returns the position of an instance in sortedInstances, or where to insert it.
func (d *Directory) position(id InstanceID) (int, bool) {
	return slices.BinarySearchFunc(d.sortedInstances, id, func(instance *Instance, id InstanceID) int {
		return cmp.Compare(instance.ID, id)
	})
}

// pruneGoneInstances deletes the instances that left first, down to maxGoneInstances.
func (d *Directory) pruneGoneInstances() {
	if d.goneCount <= maxGoneInstances {
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
	for _, instance := range gone[:len(gone)-maxGoneInstances] {
		d.deleteInstance(instance.ID)
	}
}

// LiveInstances returns the number of instances that are not gone.
func (d *Directory) LiveInstances() int { return len(d.instances) - d.goneCount }

// Instance returns an instance, including one that is gone.
func (d *Directory) Instance(id InstanceID) (Instance, bool) {
	instance, found := d.instances[id]
	if !found {
		return Instance{}, false
	}
	return *instance, true
}

// InstancesAt yields the instances at an address, including those that are gone. Instances may be
// modified during the iteration, but not added.
func (d *Directory) InstancesAt(address string) iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		for _, id := range d.byAddress[address] {
			if !yield(*d.instances[id]) {
				return
			}
		}
	}
}

// Find returns an instance, including one that is gone. Callers must not modify it; the directory
// never does.
func (d *Directory) Find(id InstanceID) (*Instance, bool) {
	instance, found := d.instances[id]
	return instance, found
}

// EachInstancePointer yields pointers to all instances, sorted by identifier, under the same conditions as
// Find.
func (d *Directory) EachInstancePointer() iter.Seq[*Instance] {
	return slices.Values(d.sortedInstances)
}

// EachInstance yields all instances, sorted by identifier, including those that are gone. Instances
// may be modified during the iteration, but not added.
func (d *Directory) EachInstance() iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		for _, instance := range d.sortedInstances {
			if !yield(*instance) {
				return
			}
		}
	}
}

// Instances returns all instances, sorted by identifier, including those that are gone.
func (d *Directory) Instances() []Instance { return slices.Collect(d.EachInstance()) }
