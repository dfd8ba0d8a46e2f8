package placement

import (
	"cmp"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// utilizationStep is the step to which utilizations are rounded when targets
	// of different zones are compared, as a share of the mean. Within one step
	// the target in the less utilized zone is preferred.
	utilizationStep = 0.05
	// maxZoneTargets bounds the servers of each zone that are considered as
	// targets.
	maxZoneTargets = 16
	// minIsolateShare is the lowest load at which a key may be split off into a
	// shard of its own, as a share of the mean load of a server.
	minIsolateShare = 0.1
	// coldStartShare is the share of its full load that a server may carry when it
	// begins to accept shards.
	coldStartShare = 0.2
	// epsilon is the tolerance for rounding errors and the lower bound of steps
	// and loads that must not be zero while there is no load.
	epsilon = 1e-9
)

// candidate is a move that the search considers.
type candidate struct {
	position int
	target   *host
	isolate  bool
	// netBenefit is the benefit of the owner's lower utilization less the weighted
	// cost of the move.
	netBenefit float64
}

// applyBestMove applies the move off the hottest server that has the highest net
// benefit. It returns false if no move has a positive one.
func (s *search) applyBestMove() bool {
	hottest := s.layout.hottest()
	if hottest == nil {
		return false
	}
	best := candidate{}
	for _, position := range hottest.shards {
		shard := &s.layout.records[position]
		if s.layout.excludedFromBalance(shard) {
			continue
		}
		s.consider(&best, hottest, candidate{position: position})
		if s.canIsolate(shard.Shard) {
			s.consider(&best, hottest, candidate{position: position, isolate: true})
		}
	}
	if best.netBenefit <= 0 {
		return false
	}
	s.applyCandidate(best)
	return true
}

// shardToMove returns the shard that a candidate moves: the whole one, or its
// busiest key.
func (s *search) shardToMove(option candidate) Shard {
	shard := s.layout.records[option.position].Shard
	if option.isolate {
		shard.Range = state.KeyRange{First: shard.HotHash, Last: shard.HotHash}
		shard.Load *= shard.HotShare
	}
	return shard
}

// consider replaces best by option if option is better.
func (s *search) consider(best *candidate, owner *host, option candidate) {
	moved := s.shardToMove(option)
	if s.maxNetBenefit(owner, moved) <= best.netBenefit {
		return
	}
	option.target = s.layout.findTarget(&s.layout.records[option.position], moved.Load, owner, true)
	if option.target == nil {
		return
	}
	ownerAfter := (owner.load - moved.Load) / float64(owner.Slots)
	targetAfter := (option.target.load + moved.Load) / float64(option.target.Slots)
	option.netBenefit = s.netBenefit(moved, owner.utilization()-max(ownerAfter, targetAfter))
	if option.netBenefit > best.netBenefit || (option.netBenefit == best.netBenefit && s.precedes(option, *best)) {
		*best = option
	}
}

// maxNetBenefit returns an upper bound of the net benefit of moving the shard to
// any target.
func (s *search) maxNetBenefit(owner *host, moved Shard) float64 {
	return s.netBenefit(moved, moved.Load/float64(owner.Slots)) + epsilon
}

// netBenefit returns the benefit that a reduction of utilization has over the
// horizon, less the cost of the move multiplied by MinBenefitRatio.
func (s *search) netBenefit(moved Shard, reduction float64) float64 {
	if reduction <= 0 {
		return 0
	}
	limits := s.layout.limits
	value := s.layout.weights.Imbalance * reduction / s.layout.meanUtilization() * limits.Horizon.Hours()
	return value - limits.MinBenefitRatio*s.moveCost(moved)
}

// precedes orders candidates of equal net benefit by their place in the key
// space.
func (s *search) precedes(a, b candidate) bool {
	return b.target != nil && s.layout.records[a.position].Range.First < s.layout.records[b.position].Range.First
}

// findTarget returns the server that should get a shard, or nil. With balancing
// set, it excludes servers that the shard left recently and those that the load
// would take beyond their ramp limit.
func (l *Layout) findTarget(shard *record, load float64, owner *host, balancing bool) *host {
	var best *host
	step := max(l.meanUtilization()*utilizationStep, epsilon)
	for _, zone := range l.zones {
		target := l.findTargetInZone(zone, shard, load, owner, balancing)
		if target != nil && (best == nil || compareTargets(target, best, step) < 0) {
			best = target
		}
	}
	return best
}

// findTargetInZone returns the least utilized server of a zone that findTarget may
// choose, or nil.
func (l *Layout) findTargetInZone(zone *zone, shard *record, load float64, owner *host, balancing bool) *host {
	for _, target := range zone.hosts[:min(maxZoneTargets, len(zone.hosts))] {
		if target == owner || (balancing && l.leftRecently(shard, target.ID)) {
			continue
		}
		if !balancing || l.withinRampLimit(target, load) {
			return target
		}
	}
	return nil
}

// compareTargets orders servers of different zones, the preferred target first.
func compareTargets(a, b *host, step float64) int {
	return cmp.Or(
		cmp.Compare(int64(a.utilization()/step), int64(b.utilization()/step)),
		cmp.Compare(a.zone.utilization(), b.zone.utilization()),
		compareHosts(a, b),
	)
}

// withinRampLimit reports whether a server could take the load and, while it ramps
// up, stay within its share of the mean utilization.
func (l *Layout) withinRampLimit(target *host, load float64) bool {
	factor := rampFactor(target.Server, l.now, l.limits)
	if factor >= 1 {
		return true
	}
	return (target.load+load)/float64(target.Slots) <= factor*l.meanUtilization()
}

// canIsolate reports whether a shard's busiest key has enough load for a shard of
// its own, and whether the number of shards may grow.
func (s *search) canIsolate(shard Shard) bool {
	meanServerLoad := s.layout.total / float64(s.layout.accepting)
	return shard.Range.First != shard.Range.Last && shard.Range.Contains(shard.HotHash) &&
		shard.Load*shard.HotShare >= minIsolateShare*meanServerLoad && s.canAddShard()
}

// canAddShard reports whether the number of shards is below its limit.
func (s *search) canAddShard() bool {
	return len(s.layout.positions) < 2*s.layout.limits.ShardsPerServer*s.layout.accepting
}

func (s *search) applyCandidate(best candidate) {
	if !best.isolate {
		s.apply(best.position, best.target, ReasonBalance)
		s.layout.records[best.position].pinned = true
		return
	}
	parent := s.layout.records[best.position]
	owner := s.layout.hosts[parent.Owner]
	ownerLoad := owner.load
	keyPosition := s.layout.isolate(best.position)
	s.apply(keyPosition, best.target, ReasonHotKey)
	planned := &s.planned[len(s.planned)-1]
	planned.parent = best.position
	planned.parentLoad = parent.Load
	planned.fromLoad = ownerLoad
	planned.move.Isolate = true
	planned.move.Hash = parent.HotHash
}
