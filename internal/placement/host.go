package placement

import (
	"cmp"
	"slices"
	"strings"
)

// host is a server of a layout with the shards that it owns.
type host struct {
	Server
	load float64
	// shards holds the positions of its shards in Layout.records, in no order.
	shards []int
	// zone is nil while the server does not accept shards.
	zone *zone
	// excluded is set within one decision if no run of moves off the server pays
	// off.
	excluded bool
}

// utilization returns the load per slot.
func (h *host) utilization() float64 {
	return h.load / float64(h.Slots)
}

func (h *host) addShard(position int, load float64) {
	h.load += load
	h.shards = append(h.shards, position)
}

// removeShardLoad removes a shard and its load. The load of a server without shards
// is exactly 0.
func (h *host) removeShardLoad(position int, load float64) {
	h.removeShard(position)
	h.load = max(h.load-load, 0)
	if len(h.shards) == 0 {
		h.load = 0
	}
}

// removeShard removes a shard but leaves the load as it is.
func (h *host) removeShard(position int) {
	index := slices.Index(h.shards, position)
	last := len(h.shards) - 1
	h.shards[index] = h.shards[last]
	h.shards = h.shards[:last]
}

// compareHosts orders the servers of a zone, the preferred target first.
func compareHosts(a, b *host) int {
	return cmp.Or(
		cmp.Compare(a.utilization(), b.utilization()),
		cmp.Compare(len(a.shards), len(b.shards)),
		strings.Compare(string(a.ID), string(b.ID)),
	)
}

// zone holds the accepting servers of one zone.
type zone struct {
	name  string
	slots int
	// hosts is in the order of compareHosts while the layout is sorted.
	hosts []*host
	// load is the load of the servers. headroom is the load that they could take
	// up to ReserveUtilization, and excess the load that they carry beyond it.
	load, headroom, excess float64
}

// utilization returns the load per slot.
func (z *zone) utilization() float64 {
	return z.load / float64(z.slots)
}

// updateSums adds a server to the sums of the zone, or with sign -1 subtracts it.
func (z *zone) updateSums(server *host, maxUtilization, sign float64) {
	headroom := maxUtilization*float64(server.Slots) - server.load
	z.load += sign * server.load
	z.headroom += sign * max(headroom, 0)
	z.excess += sign * max(-headroom, 0)
}

// addToZone adds a server that accepts shards to its zone, which is created if
// needed.
func (l *Layout) addToZone(server *host) {
	if !server.Accepts {
		return
	}
	index, found := slices.BinarySearchFunc(l.zones, server.Zone, func(other *zone, name string) int {
		return strings.Compare(other.name, name)
	})
	if !found {
		l.zones = slices.Insert(l.zones, index, &zone{name: server.Zone})
	}
	server.zone = l.zones[index]
	server.zone.hosts = append(server.zone.hosts, server)
	server.zone.slots += server.Slots
	l.slots += server.Slots
	l.accepting++
	l.sorted = false
}

// removeFromZone removes a server from its zone, and the zone if it is empty then.
func (l *Layout) removeFromZone(server *host) {
	zone := server.zone
	if zone == nil {
		return
	}
	server.zone = nil
	index := slices.Index(zone.hosts, server)
	zone.hosts = slices.Delete(zone.hosts, index, index+1)
	zone.slots -= server.Slots
	l.slots -= server.Slots
	l.accepting--
	l.sorted = false
	if len(zone.hosts) == 0 {
		index = slices.Index(l.zones, zone)
		l.zones = slices.Delete(l.zones, index, index+1)
	}
}

// updateHost updates a server within a decision and keeps its zone sorted.
func (l *Layout) updateHost(server *host, update func()) {
	if server.zone == nil {
		update()
		return
	}
	hosts := server.zone.hosts
	index, _ := slices.BinarySearchFunc(hosts, server, compareHosts)
	hosts = slices.Delete(hosts, index, index+1)
	server.zone.updateSums(server, l.limits.ReserveUtilization, -1)
	update()
	server.zone.updateSums(server, l.limits.ReserveUtilization, 1)
	index, _ = slices.BinarySearchFunc(hosts, server, compareHosts)
	server.zone.hosts = slices.Insert(hosts, index, server)
}

// recomputeZoneSums recomputes the sums of all zones, which removes the rounding
// errors of incremental updates.
func (l *Layout) recomputeZoneSums() {
	for _, zone := range l.zones {
		zone.load, zone.headroom, zone.excess = 0, 0, 0
		for _, server := range zone.hosts {
			zone.updateSums(server, l.limits.ReserveUtilization, 1)
		}
	}
}

// hottest returns the accepting server with the highest utilization, without those
// that are excluded or own a single key only, or nil.
func (l *Layout) hottest() *host {
	var hottest *host
	for _, zone := range l.zones {
		for index := len(zone.hosts) - 1; index >= 0; index-- {
			server := zone.hosts[index]
			if server.excluded || l.ownsOneKey(server) {
				continue
			}
			if hottest == nil || server.utilization() > hottest.utilization() {
				hottest = server
			}
			break
		}
	}
	return hottest
}

// ownsOneKey reports whether a server owns one key only, so that its load cannot be
// divided.
func (l *Layout) ownsOneKey(server *host) bool {
	if len(server.shards) != 1 {
		return false
	}
	keys := l.records[server.shards[0]].Range
	return keys.First == keys.Last
}

// measure returns the imbalance of the accepting servers and the shortfall.
func (l *Layout) measure() Measure {
	mean := l.meanUtilization()
	if mean == 0 {
		return Measure{Imbalance: 1}
	}
	highest := 0.0
	for _, zone := range l.zones {
		highest = max(highest, zone.hosts[len(zone.hosts)-1].utilization())
	}
	return Measure{Imbalance: highest / mean, Shortfall: l.shortfall()}
}
