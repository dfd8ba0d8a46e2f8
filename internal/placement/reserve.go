package placement

import "slices"

// zoneTable numbers the zones of the accepting servers.
type zoneTable struct {
	names []string
	of    map[string]int
	slots []int
	// load, room and above are working space of shortfall: the load of a zone,
	// what its servers could take below the bound, and what they carry above it.
	load  []float64
	room  []float64
	above []float64
}

func newZoneTable(hosts []*host) *zoneTable {
	zones := &zoneTable{of: make(map[string]int)}
	for _, known := range hosts {
		if !slices.Contains(zones.names, known.Zone) {
			zones.names = append(zones.names, known.Zone)
		}
	}
	slices.Sort(zones.names)
	zones.slots = make([]int, len(zones.names))
	zones.load = make([]float64, len(zones.names))
	zones.room = make([]float64, len(zones.names))
	zones.above = make([]float64, len(zones.names))
	for number, name := range zones.names {
		zones.of[name] = number
	}
	for _, known := range hosts {
		zones.slots[zones.of[known.Zone]] += known.Slots
	}
	return zones
}

// shortfall returns the share of the load that would lie above the bound if the
// worst zone were lost and nothing but its shards moved: what the other servers
// carry above the bound already, and what finds no room below it.
func (l *layout) shortfall() float64 {
	bound := l.problem.Limits.ReserveUtilization
	if bound <= 0 || l.total == 0 || len(l.zones.names) < 2 {
		return 0
	}
	zones := l.zones
	clear(zones.load)
	clear(zones.room)
	clear(zones.above)
	allRoom, allAbove := 0.0, 0.0
	for _, known := range l.accepting {
		zone := zones.of[known.Zone]
		room := bound*float64(known.Slots) - known.load
		zones.load[zone] += known.load
		zones.room[zone] += max(room, 0)
		zones.above[zone] += max(-room, 0)
		allRoom += max(room, 0)
		allAbove += max(-room, 0)
	}
	worst := 0.0
	for zone := range zones.names {
		homeless := max(zones.load[zone]-(allRoom-zones.room[zone]), 0)
		worst = max(worst, allAbove-zones.above[zone]+homeless)
	}
	return worst / l.total
}

// zoneUtilization returns the load per slot of each zone.
func (l *layout) zoneUtilization() []float64 {
	utilization := make([]float64, len(l.zones.names))
	for _, known := range l.accepting {
		utilization[l.zones.of[known.Zone]] += known.load
	}
	for zone := range utilization {
		utilization[zone] /= float64(l.zones.slots[zone])
	}
	return utilization
}
