package placement

import (
	"cmp"
	"slices"
	"strings"
)

// host is a server with what it owns in a layout.
type host struct {
	Server
	load float64
	// shards holds positions, in no order.
	shards []int
	// zone is nil while the server does not accept.
	zone *zone
	// exhausted is set within one decision when nothing relieves the server.
	exhausted bool
}

// utilization is the load per slot.
func (h *host) utilization() float64 {
	return h.load / float64(h.Slots)
}

func (h *host) add(position int, load float64) {
	h.load += load
	h.shards = append(h.shards, position)
}

func (h *host) remove(position int, load float64) {
	h.drop(position)
	h.load = max(h.load-load, 0)
	if len(h.shards) == 0 {
		h.load = 0
	}
}

func (h *host) drop(position int) {
	place := slices.Index(h.shards, position)
	last := len(h.shards) - 1
	h.shards[place] = h.shards[last]
	h.shards = h.shards[:last]
}

// compareHosts orders servers of a zone, the one to fill first at the head.
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
	// hosts are in the order of compareHosts while the layout is sorted.
	hosts []*host
	// load is theirs; room is what they could take below the reserve bound, and
	// above what they carry above it.
	load, room, above float64
}

func (z *zone) utilization() float64 {
	return z.load / float64(z.slots)
}

// count adds a server's part to the sums, or takes it out with sign -1.
func (z *zone) count(known *host, bound, sign float64) {
	room := bound*float64(known.Slots) - known.load
	z.load += sign * known.load
	z.room += sign * max(room, 0)
	z.above += sign * max(-room, 0)
}

func (l *Layout) enterZone(known *host) {
	if !known.Accepts {
		return
	}
	place, found := slices.BinarySearchFunc(l.zones, known.Zone, func(other *zone, name string) int {
		return strings.Compare(other.name, name)
	})
	if !found {
		l.zones = slices.Insert(l.zones, place, &zone{name: known.Zone})
	}
	known.zone = l.zones[place]
	known.zone.hosts = append(known.zone.hosts, known)
	known.zone.slots += known.Slots
	l.slots += known.Slots
	l.accepting++
	l.sorted = false
}

func (l *Layout) leaveZone(known *host) {
	left := known.zone
	if left == nil {
		return
	}
	known.zone = nil
	place := slices.Index(left.hosts, known)
	left.hosts = slices.Delete(left.hosts, place, place+1)
	left.slots -= known.Slots
	l.slots -= known.Slots
	l.accepting--
	l.sorted = false
	if len(left.hosts) == 0 {
		place = slices.Index(l.zones, left)
		l.zones = slices.Delete(l.zones, place, place+1)
	}
}

// change alters a server within a decision and keeps its zone in order.
func (l *Layout) change(known *host, alter func()) {
	if known.zone == nil {
		alter()
		return
	}
	hosts := known.zone.hosts
	place, _ := slices.BinarySearchFunc(hosts, known, compareHosts)
	hosts = slices.Delete(hosts, place, place+1)
	known.zone.count(known, l.limits.ReserveUtilization, -1)
	alter()
	known.zone.count(known, l.limits.ReserveUtilization, 1)
	place, _ = slices.BinarySearchFunc(hosts, known, compareHosts)
	known.zone.hosts = slices.Insert(hosts, place, known)
}

// sumZones computes the sums anew, free of rounding left by changes.
func (l *Layout) sumZones() {
	for _, known := range l.zones {
		known.load, known.room, known.above = 0, 0, 0
		for _, member := range known.hosts {
			known.count(member, l.limits.ReserveUtilization, 1)
		}
	}
}

// hottest returns the accepting server with the highest utilization that some
// move may take load off.
func (l *Layout) hottest() *host {
	var hottest *host
	for _, known := range l.zones {
		for place := len(known.hosts) - 1; place >= 0; place-- {
			option := known.hosts[place]
			if option.exhausted || l.indivisible(option) {
				continue
			}
			if hottest == nil || option.utilization() > hottest.utilization() {
				hottest = option
			}
			break
		}
	}
	return hottest
}

// indivisible reports whether a server owns nothing but one key.
func (l *Layout) indivisible(known *host) bool {
	if len(known.shards) != 1 {
		return false
	}
	keys := l.records[known.shards[0]].Range
	return keys.First == keys.Last
}

// measure returns the imbalance over the accepting servers and the shortfall.
func (l *Layout) measure() Measure {
	mean := l.mean()
	if mean == 0 {
		return Measure{Imbalance: 1}
	}
	highest := 0.0
	for _, known := range l.zones {
		highest = max(highest, known.hosts[len(known.hosts)-1].utilization())
	}
	return Measure{Imbalance: highest / mean, Shortfall: l.shortfall()}
}
