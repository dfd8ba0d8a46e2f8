package cli

import (
	"maps"
	"slices"
)

// zoneSums has a line for each zone.
type zoneSums struct{ lines map[string]*zoneLine }

func newZoneSums() *zoneSums { return &zoneSums{lines: make(map[string]*zoneLine)} }

func (s *zoneSums) of(zone string) *zoneLine {
	line, found := s.lines[zone]
	if !found {
		line = &zoneLine{Zone: zone}
		s.lines[zone] = line
	}
	return line
}

func (s *zoneSums) sorted() []zoneLine {
	sorted := make([]zoneLine, 0, len(s.lines))
	for _, zone := range slices.Sorted(maps.Keys(s.lines)) {
		sorted = append(sorted, *s.lines[zone])
	}
	return sorted
}
