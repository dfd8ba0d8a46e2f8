package directory

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Reference identifies an instance in the streams to gateways: the low 32 bits of the hash of its
// identifier, which both ends compute. Zero is reserved for none.
type Reference uint32

// ReferenceOf returns the reference of an instance.
func ReferenceOf(id InstanceID) Reference { return Reference(xxhash.Sum64String(string(id))) }

// referenceIndex finds instances by their references. It belongs to one directory. New instances
// are added to it; it is rebuilt after one was deleted.
type referenceIndex struct {
	instances map[Reference]InstanceID
	// shared has the references that several instances have in common.
	shared map[Reference]bool
}

func newReferenceIndex(instances map[InstanceID]*Instance) *referenceIndex {
	built := &referenceIndex{instances: make(map[Reference]InstanceID, len(instances)), shared: make(map[Reference]bool)}
	for id := range maps.Keys(instances) {
		built.add(id)
	}
	return built
}

func (r *referenceIndex) add(id InstanceID) {
	reference := ReferenceOf(id)
	if _, found := r.instances[reference]; found {
		r.shared[reference] = true
	}
	r.instances[reference] = id
}

// unique reports whether a reference identifies exactly one known instance.
func (r *referenceIndex) unique(reference Reference) bool {
	_, found := r.instances[reference]
	return found && reference != 0 && !r.shared[reference]
}

// lookup returns the instance that a reference identifies.
func (r *referenceIndex) lookup(reference Reference) (InstanceID, bool) {
	if !r.unique(reference) {
		return "", false
	}
	return r.instances[reference], true
}

// instanceReferences returns the index of the current instances, and builds it if there is none.
func (d *Directory) instanceReferences() *referenceIndex {
	if index := d.references.Load(); index != nil {
		return index
	}
	built := newReferenceIndex(d.instances)
	d.references.Store(built)
	return built
}
