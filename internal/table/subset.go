package table

import "github.com/thorntiller/thorntiller/internal/state"

// Subset is the part of the routing table that one router subscribes to: the
// sections of some services, and the common one. The zero value is the whole.
type Subset struct {
	services map[state.ServiceName]struct{}
}

// NewSubset returns the part of some services; none means the whole table.
func NewSubset(services []state.ServiceName) Subset {
	if len(services) == 0 {
		return Subset{}
	}
	subset := Subset{services: make(map[state.ServiceName]struct{}, len(services))}
	for _, name := range services {
		subset.services[name] = struct{}{}
	}
	return subset
}

// Whole reports whether nothing is left out.
func (s Subset) Whole() bool { return s.services == nil }

// Holds reports whether a section belongs to the part.
func (s Subset) Holds(section state.ServiceName) bool {
	if s.services == nil || section == state.CommonSection {
		return true
	}
	_, found := s.services[section]
	return found
}

// Filter returns the objects that belong to the part, and those that are gone.
func (s Subset) Filter(objects []state.Object) []state.Object {
	if s.services == nil {
		return objects
	}
	var held []state.Object
	for _, object := range objects {
		if object.Deleted || s.Holds(object.Section()) {
			held = append(held, object)
		}
	}
	return held
}

// Digest returns the digest of the part, given those of the sections. By the
// differences of a change it returns the difference.
func (s Subset) Digest(sections state.SectionDigests) uint64 {
	digest := uint64(0)
	for section, each := range sections {
		if s.Holds(section) {
			digest ^= each
		}
	}
	return digest
}
