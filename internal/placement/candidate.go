package placement

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// targetStep rounds utilizations, as a share of the mean, when targets are
	// ordered: within one step the emptier zone goes first.
	targetStep = 0.05
	// isolateShare is the least load of a key that is worth a shard of its own,
	// as a share of the mean load of a server.
	isolateShare = 0.1
	// coldStart is the share of its load that a server takes when it is new.
	coldStart = 0.2
)

// compareLoads orders shards by load, the highest first.
func compareLoads(a, b Shard) int {
	return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(b.Range.Width(), a.Range.Width()), cmp.Compare(a.ID, b.ID))
}

// targets returns the accepting servers, the one to fill first at the head.
func (l *layout) targets() []*host {
	targets := slices.Clone(l.accepting)
	zones := l.zoneUtilization()
	step := max(l.mean()*targetStep, minimumStep)
	slices.SortFunc(targets, func(a, b *host) int {
		return cmp.Or(
			cmp.Compare(int64(a.utilization()/step), int64(b.utilization()/step)),
			cmp.Compare(zones[l.zones.of[a.Zone]], zones[l.zones.of[b.Zone]]),
			cmp.Compare(a.utilization(), b.utilization()),
			cmp.Compare(len(a.shards), len(b.shards)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return targets
}

// minimumStep keeps the rounding defined while there is no load.
const minimumStep = 1e-9

// candidate is a move that the search considers.
type candidate struct {
	index   int
	target  *host
	isolate bool
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
	targets := s.layout.targets()
	for _, index := range hottest.shards {
		if s.layout.pinned[index] {
			continue
		}
		s.consider(&best, hottest, targets, candidate{index: index})
		if s.isolable(s.layout.shards[index]) {
			s.consider(&best, hottest, targets, candidate{index: index, isolate: true})
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
	shard := s.layout.shards[option.index]
	if option.isolate {
		shard.Range = state.KeyRange{First: shard.HotHash, Last: shard.HotHash}
		shard.Load *= shard.HotShare
	}
	return shard
}

func (s *search) consider(best *candidate, owner *host, targets []*host, option candidate) {
	moved := s.part(option)
	option.target = s.targetFor(option.index, moved.Load, owner, targets)
	if option.target == nil {
		return
	}
	ownerAfter := (owner.load - moved.Load) / float64(owner.Slots)
	targetAfter := (option.target.load + moved.Load) / float64(option.target.Slots)
	gain := owner.utilization() - max(ownerAfter, targetAfter)
	if gain <= 0 {
		return
	}
	hours := s.problem.Limits.Window.Hours()
	value := s.problem.Weights.Imbalance * gain / s.layout.mean() * hours
	option.net = value - s.problem.Limits.PayFactor*s.price(moved)
	if option.net > best.net || (option.net == best.net && s.precedes(option, *best)) {
		*best = option
	}
}

// precedes orders candidates of equal worth by their place in the key space.
func (s *search) precedes(a, b candidate) bool {
	return b.target != nil && s.layout.shards[a.index].Range.First < s.layout.shards[b.index].Range.First
}

func (s *search) targetFor(index int, load float64, owner *host, targets []*host) *host {
	for _, target := range targets {
		if target == owner || slices.Contains(s.layout.left[index], target.ID) {
			continue
		}
		if s.layout.hasRoom(target, load) {
			return target
		}
	}
	return nil
}

// hasRoom keeps a server that is still cold below its part of the mean.
func (l *layout) hasRoom(target *host, load float64) bool {
	warm := warmth(target.Server, l.problem.Now, l.problem.Limits)
	if warm >= 1 {
		return true
	}
	return (target.load+load)/float64(target.Slots) <= warm*l.mean()
}

// isolable reports whether a shard holds a key that is worth a shard of its
// own, and whether there may be more shards.
func (s *search) isolable(shard Shard) bool {
	perServer := s.layout.total / float64(len(s.layout.accepting))
	return shard.Range.First != shard.Range.Last && shard.Range.Contains(shard.HotHash) &&
		shard.Load*shard.HotShare >= isolateShare*perServer && s.mayGrow()
}

// mayGrow bounds the number of shards.
func (s *search) mayGrow() bool {
	return len(s.layout.shards) < 2*s.problem.Limits.ShardsPerServer*len(s.layout.accepting)
}

func (s *search) take(best candidate) {
	if !best.isolate {
		s.apply(best.index, best.target, ReasonBalance)
		s.layout.pinned[best.index] = true
		return
	}
	parent := s.layout.shards[best.index]
	created := s.layout.isolate(best.index)
	s.apply(created, best.target, ReasonHotKey)
	planned := &s.planned[len(s.planned)-1]
	planned.parent = best.index
	planned.move.Isolate = true
	planned.move.Hash = parent.HotHash
}
