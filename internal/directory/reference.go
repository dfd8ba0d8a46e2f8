package directory

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Reference stands for an instance in what is streamed to gateways: the low bits of the hash
// of its identifier, which both ends work out. Zero stands for none.
type Reference uint32

// ReferenceOf returns the reference of an instance.
func ReferenceOf(id InstanceID) Reference { return Reference(xxhash.Sum64String(string(id))) }

// references finds instances by their references. It belongs to one directory, and instances are
// added as they come; it is built anew once one was forgotten.
type references struct {
	instances map[Reference]InstanceID
	// shared are references that several instances have.
	shared map[Reference]bool
}

func newReferences(instances map[InstanceID]*Instance) *references {
	built := &references{instances: make(map[Reference]InstanceID, len(instances)), shared: make(map[Reference]bool)}
	for id := range maps.Keys(instances) {
		built.add(id)
	}
	return built
}

func (r *references) add(id InstanceID) {
	reference := ReferenceOf(id)
	if _, taken := r.instances[reference]; taken {
		r.shared[reference] = true
	}
	r.instances[reference] = id
}

// clear reports whether a reference stands for one known instance alone.
func (r *references) clear(reference Reference) bool {
	_, known := r.instances[reference]
	return known && reference != 0 && !r.shared[reference]
}

// find returns the instance that a reference stands for.
func (r *references) find(reference Reference) (InstanceID, bool) {
	if !r.clear(reference) {
		return "", false
	}
	return r.instances[reference], true
}

// knownReferences returns those of the instances that are known now.
func (d *Directory) knownReferences() *references {
	if known := d.references.Load(); known != nil {
		return known
	}
	built := newReferences(d.instances)
	d.references.Store(built)
	return built
}
