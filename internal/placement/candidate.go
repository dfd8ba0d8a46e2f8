package placement

import (
	"cmp"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// targetStep rounds utilizations, as a share of the mean, when targets are
	// compared: within one step the emptier zone goes first.
	targetStep = 0.05
	// targetScan bounds the servers of each zone that are looked at as targets.
	targetScan = 16
	// isolateShare is the least load of a key that is worth a shard of its own,
	// as a share of the mean load of a server.
	isolateShare = 0.1
	// coldStart is the share of its load that a server takes when it is new.
	coldStart = 0.2
	// minimumStep keeps the rounding defined while there is no load.
	minimumStep = 1e-9
)

// candidate is a move that the search considers.
type candidate struct {
	position int
	target   *host
	isolate  bool
	// net is the fall of the owner's utilization less the price of the move.
	net float64
}

// tryBest applies the move off the hottest server that brings most for its
// price. It returns false when none brings anything.
func (s *search) tryBest() bool {
	hottest := s.layout.hottest()
	if hottest == nil {
		return false
	}
	best := candidate{}
	for _, position := range hottest.shards {
		known := &s.layout.records[position]
		if s.layout.resting(known) {
			continue
		}
		s.consider(&best, hottest, candidate{position: position})
		if s.isolable(known.Shard) {
			s.consider(&best, hottest, candidate{position: position, isolate: true})
		}
	}
	if best.net <= 0 {
		return false
	}
	s.take(best)
	return true
}

// part returns the shard that a candidate would move.
func (s *search) part(option candidate) Shard {
	shard := s.layout.records[option.position].Shard
	if option.isolate {
		shard.Range = state.KeyRange{First: shard.HotHash, Last: shard.HotHash}
		shard.Load *= shard.HotShare
	}
	return shard
}

func (s *search) consider(best *candidate, owner *host, option candidate) {
	moved := s.part(option)
	if s.bound(owner, moved) <= best.net {
		return
	}
	option.target = s.layout.targetFor(&s.layout.records[option.position], moved.Load, owner, true)
	if option.target == nil {
		return
	}
	ownerAfter := (owner.load - moved.Load) / float64(owner.Slots)
	targetAfter := (option.target.load + moved.Load) / float64(option.target.Slots)
	option.net = s.net(moved, owner.utilization()-max(ownerAfter, targetAfter))
	if option.net > best.net || (option.net == best.net && s.precedes(option, *best)) {
		*best = option
	}
}

// bound is the most that a move of the shard can bring, whatever the target.
func (s *search) bound(owner *host, moved Shard) float64 {
	return s.net(moved, moved.Load/float64(owner.Slots)) + minimumStep
}

// net is the worth of a fall of utilization less the price of the move.
func (s *search) net(moved Shard, gain float64) float64 {
	if gain <= 0 {
		return 0
	}
	limits := s.layout.limits
	value := s.layout.weights.Imbalance * gain / s.layout.mean() * limits.Horizon.Hours()
	return value - limits.PayFactor*s.price(moved)
}

// precedes orders candidates of equal worth by their place in the key space.
func (s *search) precedes(a, b candidate) bool {
	return b.target != nil && s.layout.records[a.position].Range.First < s.layout.records[b.position].Range.First
}

// targetFor returns the server that should take a shard, or nil. With ramp set,
// servers that are still cold stay below their part of the mean.
func (l *Layout) targetFor(known *record, load float64, owner *host, ramp bool) *host {
	var best *host
	step := max(l.mean()*targetStep, minimumStep)
	for _, option := range l.zones {
		found := l.targetIn(option, known, load, owner, ramp)
		if found != nil && (best == nil || compareTargets(found, best, step) < 0) {
			best = found
		}
	}
	return best
}

func (l *Layout) targetIn(option *zone, known *record, load float64, owner *host, ramp bool) *host {
	for _, target := range option.hosts[:min(targetScan, len(option.hosts))] {
		if target == owner || (ramp && l.hasLeft(known, target.ID)) {
			continue
		}
		if !ramp || l.hasRoom(target, load) {
			return target
		}
	}
	return nil
}

// compareTargets orders servers of different zones, the one to fill first at
// the head.
func compareTargets(a, b *host, step float64) int {
	return cmp.Or(
		cmp.Compare(int64(a.utilization()/step), int64(b.utilization()/step)),
		cmp.Compare(a.zone.utilization(), b.zone.utilization()),
		compareHosts(a, b),
	)
}

// hasRoom keeps a server that is still cold below its part of the mean.
func (l *Layout) hasRoom(target *host, load float64) bool {
	warm := warmth(target.Server, l.now, l.limits)
	if warm >= 1 {
		return true
	}
	return (target.load+load)/float64(target.Slots) <= warm*l.mean()
}

// isolable reports whether a shard holds a key that is worth a shard of its
// own, and whether there may be more shards.
func (s *search) isolable(shard Shard) bool {
	perServer := s.layout.total / float64(s.layout.accepting)
	return shard.Range.First != shard.Range.Last && shard.Range.Contains(shard.HotHash) &&
		shard.Load*shard.HotShare >= isolateShare*perServer && s.mayGrow()
}

// mayGrow bounds the number of shards.
func (s *search) mayGrow() bool {
	return len(s.layout.positions) < 2*s.layout.limits.ShardsPerServer*s.layout.accepting
}

func (s *search) take(best candidate) {
	if !best.isolate {
		s.apply(best.position, best.target, ReasonBalance)
		s.layout.records[best.position].pinned = true
		return
	}
	parent := s.layout.records[best.position]
	owner := s.layout.hosts[parent.Owner]
	ownerLoad := owner.load
	created := s.layout.isolate(best.position)
	s.apply(created, best.target, ReasonHotKey)
	planned := &s.planned[len(s.planned)-1]
	planned.parent = best.position
	planned.parentLoad = parent.Load
	planned.fromLoad = ownerLoad
	planned.move.Isolate = true
	planned.move.Hash = parent.HotHash
}
