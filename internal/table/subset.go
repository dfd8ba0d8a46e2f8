package table

import "github.com/thorntiller/thorntiller/internal/state"

// Subset is the part of the routing table that one router subscribes to: the
// sections of some services and the common section. The zero value is the whole
// table.
type Subset struct {
	services map[state.ServiceName]struct{}
}

// NewSubset returns the subset of some services, or the whole table if there are
// none.
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

// Whole reports whether the subset is the whole table.
func (s Subset) Whole() bool { return s.services == nil }

// Holds reports whether a section belongs to the subset.
func (s Subset) Holds(section state.ServiceName) bool {
	if s.services == nil || section == state.CommonSection {
		return true
	}
	_, found := s.services[section]
	return found
}

// Filter returns the objects that belong to the subset, and all deleted objects.
func (s Subset) Filter(objects []state.Object) []state.Object {
	if s.services == nil {
		return objects
	}
	var kept []state.Object
	for _, object := range objects {
		if object.Deleted || s.Holds(object.Section()) {
			kept = append(kept, object)
		}
	}
	return kept
}

// Digest returns the digest of the subset, given the digests of the sections.
// Given the digest differences of a change, it returns the subset's difference.
func (s Subset) Digest(sections state.SectionDigests) uint64 {
	digest := uint64(0)
	for section, sectionDigest := range sections {
		if s.Holds(section) {
			digest ^= sectionDigest
		}
	}
	return digest
}
