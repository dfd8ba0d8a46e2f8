package directory

import (
	"cmp"
	"slices"
)

// InstanceID names one incarnation of a server: each start draws a new one.
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
	Ended    bool     `msgpack:"e,omitempty"`
	Revision Revision `msgpack:"r"`
}

// Same reports whether two readings of an instance differ in nothing but when they
// were taken.
func (i Instance) Same(other Instance) bool {
	other.Revision = i.Revision
	return i == other
}

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
		d.putInstance(revision, instance)
		if instance.State != InstanceGone {
			d.replaceAtAddress(revision, instance)
		}
	}
	d.forgetGone()
}

// replaceAtAddress marks the earlier instances at an address as gone: a process
// that listens there proves that theirs has ended.
func (d *Directory) replaceAtAddress(revision Revision, newer Instance) {
	for _, instance := range d.Instances() {
		if instance.Address != newer.Address || instance.ID == newer.ID || instance.Ended {
			continue
		}
		instance.State = InstanceGone
		instance.Ended = true
		d.putInstance(revision, instance)
	}
}

func (d *Directory) putInstance(revision Revision, instance Instance) {
	instance.Revision = revision
	d.instances[instance.ID] = &instance
	d.revision = revision
}

// forgetGone forgets those that left first, beyond the bound.
func (d *Directory) forgetGone() {
	var gone []Instance
	for _, instance := range d.instances {
		if instance.State == InstanceGone {
			gone = append(gone, *instance)
		}
	}
	if len(gone) <= maxGone {
		return
	}
	slices.SortFunc(gone, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
	for _, instance := range gone[:len(gone)-maxGone] {
		delete(d.instances, instance.ID)
	}
}

// Instance returns an instance, also one that is gone.
func (d *Directory) Instance(id InstanceID) (Instance, bool) {
	instance, found := d.instances[id]
	if !found {
		return Instance{}, false
	}
	return *instance, true
}

// Instances returns every instance by identifier, those that are gone too.
func (d *Directory) Instances() []Instance {
	instances := make([]Instance, 0, len(d.instances))
	for _, instance := range d.instances {
		instances = append(instances, *instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}
