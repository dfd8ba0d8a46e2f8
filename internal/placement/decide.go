package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Bounds of the search.
const (
	// lookaheadPerServer bounds the moves, per accepting server, that are tried
	// in one run before they must pay off together: while several servers are
	// equally hot, no single move lowers the maximum.
	lookaheadPerServer = 2
	// maxLookahead bounds the moves of one run in a large service.
	maxLookahead = 256
	// maxPlanned bounds the moves that one decision plans, deferred ones included.
	maxPlanned = 1024
	// planAheadFactor is the ratio of the moves that a decision plans to those
	// that may start now.
	planAheadFactor = 4
	// maxRuns bounds the runs of one decision.
	maxRuns = 512
	// maxExcluded bounds the servers that one decision excludes because no run
	// of moves off them pays off.
	maxExcluded = 64
)

// Decide returns the decision for a complete problem. A caller that decides
// repeatedly should keep a Layout instead, whose cost depends on what changed.
func Decide(problem Problem) Decision {
	layout := NewLayout(problem.Weights, problem.Limits)
	for _, server := range problem.Servers {
		layout.PutServer(server)
	}
	for _, shard := range problem.Shards {
		layout.PutShard(problem.Now, shard)
	}
	layout.applyHistory(problem.History)
	layout.assumeCold(problem.Now)
	return layout.Decide(problem.Now)
}

// Decide returns the moves, splits and merges to make. Moves off servers that no
// longer accept shards come first, whatever they cost; moves for balance must
// pay off. Decide does not change the layout: the caller reports what was carried
// out.
func (l *Layout) Decide(now time.Duration) Decision {
	l.prepare(now)
	search := &search{layout: l}
	decision := Decision{Before: l.measure(), After: l.measure()}
	if l.accepting == 0 {
		return decision
	}
	search.evacuate()
	if l.meanUtilization() > 0 {
		search.balance()
	}
	decision.After = l.measure()
	decision.Benefit = search.benefit
	decision.Cost = search.cost
	search.selectMoves(&decision)
	decision.Splits = search.findSplits()
	search.merge(&decision)
	search.undoTo(0)
	search.clearMarks()
	return decision
}

// search is the state of one decision.
type search struct {
	layout  *Layout
	planned []step
	// evacuations is the number of steps at the head of planned that need not pay
	// off.
	evacuations   int
	benefit, cost float64
	excluded      []*host
	// splitting holds the positions of the shards that are to be split.
	splitting []int
}

// step is one planned move, with the state that is needed to undo it exactly.
type step struct {
	move     Move
	position int
	from, to *host
	// fromLoad and toLoad are the loads of the two servers before the step.
	fromLoad, toLoad float64
	// parent is the position of the shard that an isolated key was split off, or
	// -1. parentLoad is that shard's load before the step.
	parent     int
	parentLoad float64
	cost       float64
}

// evacuate plans to move every shard off the servers that do not accept shards.
func (s *search) evacuate() {
	for _, owner := range s.layout.leavingHosts() {
		positions := slices.Clone(owner.shards)
		slices.SortFunc(positions, func(a, b int) int {
			return compareLoads(s.layout.records[a].Shard, s.layout.records[b].Shard)
		})
		for _, position := range positions {
			shard := &s.layout.records[position]
			target := s.layout.findTarget(shard, shard.Load, owner, false)
			if shard.Moving || target == nil || len(s.planned) == maxPlanned {
				continue
			}
			s.apply(position, target, ReasonEvacuate)
			s.layout.records[position].pinned = true
		}
	}
	s.evacuations = len(s.planned)
}

// leavingHosts returns the servers that own shards but do not accept any, in the
// order of their IDs.
func (l *Layout) leavingHosts() []*host {
	var leaving []*host
	for _, server := range l.hosts {
		if !server.Accepts && len(server.shards) > 0 {
			leaving = append(leaving, server)
		}
	}
	slices.SortFunc(leaving, func(a, b *host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return leaving
}

// compareLoads orders shards by load, the highest first, then by width.
func compareLoads(a, b Shard) int {
	return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(b.Range.Width(), a.Range.Width()), cmp.Compare(a.ID, b.ID))
}

// apply plans the move of a whole shard.
func (s *search) apply(position int, target *host, reason Reason) {
	shard := s.layout.records[position].Shard
	from := s.layout.hosts[shard.Owner]
	cost := s.moveCost(shard)
	s.planned = append(s.planned, step{
		move: Move{
			Shard: shard.ID, Epoch: shard.Epoch, From: shard.Owner, To: target.ID,
			Range: shard.Range, Load: shard.Load, Reason: reason, Cost: cost,
		},
		position: position, parent: -1, cost: cost,
		from: from, to: target, fromLoad: from.load, toLoad: target.load,
	})
	s.layout.transfer(position, target)
}

// moveCost returns the cost of moving a shard once, in units of the weights.
func (s *search) moveCost(shard Shard) float64 {
	weights := s.layout.weights
	seconds := s.layout.limits.Handover.Seconds()
	return weights.Churn*shard.Range.Width() + weights.Unavailable*s.unavailableShare(shard)*seconds
}

// unavailableShare returns the share of the service that has no owner while the
// shard moves: of its keys or of its load, whichever is larger.
func (s *search) unavailableShare(shard Shard) float64 {
	share := shard.Range.Width()
	if s.layout.total > 0 {
		share = max(share, shard.Load/s.layout.total)
	}
	return share
}

// balance plans runs of moves until no run pays off. Since it ends only then,
// unless a bound of the search is reached, a second decision on the result finds
// nothing to do.
func (s *search) balance() {
	limit := s.planLimit()
	for range maxRuns {
		switch {
		case len(s.planned) >= limit:
			return
		case s.balanceOnce():
			// Excluded servers may now have a target for their load.
			s.clearExcluded()
		case !s.excludeHottest():
			return
		}
	}
}

// planLimit returns the maximum number of moves to plan: more than may start now,
// so that a run is judged as a whole.
func (s *search) planLimit() int {
	free := s.layout.freeMoves() - s.evacuations
	if free <= 0 {
		return 0
	}
	return s.evacuations + min(free, maxPlanned/planAheadFactor)*planAheadFactor
}

// freeMoves returns how many moves may start now. It is negative if more than
// MaxMoves are in flight.
func (l *Layout) freeMoves() int {
	return l.limits.MaxMoves - l.inFlight
}

// excludeHottest excludes the hottest server from the objective, so that a server
// whose load cannot be lowered does not hide the others. It returns false if that
// server is near the mean already or maxExcluded is reached.
func (s *search) excludeHottest() bool {
	hottest := s.layout.hottest()
	if hottest == nil || len(s.excluded) == maxExcluded {
		return false
	}
	if hottest.utilization() <= s.layout.meanUtilization()*(1+s.layout.limits.MinGain+s.layout.limits.Tolerance) {
		return false
	}
	hottest.excluded = true
	s.excluded = append(s.excluded, hottest)
	return true
}

// clearExcluded includes all servers in the objective again.
func (s *search) clearExcluded() {
	for _, server := range s.excluded {
		server.excluded = false
	}
	s.excluded = s.excluded[:0]
}

// clearMarks removes the marks of this search from the layout.
func (s *search) clearMarks() {
	s.clearExcluded()
	for _, position := range s.splitting {
		s.layout.records[position].pinned = false
	}
}

// balanceOnce tries a run of moves and keeps the first ones of it, up to the point
// of the highest net benefit. It returns false if no such point pays off. While
// servers are excluded, only points that do not raise the shortfall count.
func (s *search) balanceOnce() bool {
	start := len(s.planned)
	initialObjective, initialShortfall := s.objective(), s.layout.shortfall()
	bestNet, best, bestBenefit, bestCost := 0.0, start, 0.0, 0.0
	cost := 0.0
	limits := s.layout.limits
	for range min(lookaheadPerServer*s.layout.accepting, maxLookahead) {
		if !s.applyBestMove() {
			break
		}
		cost += s.planned[len(s.planned)-1].cost
		if len(s.excluded) > 0 && s.layout.shortfall() > initialShortfall+epsilon {
			continue
		}
		reduction := initialObjective - s.objective()
		benefit := reduction * limits.Horizon.Hours()
		net := benefit - limits.MinBenefitRatio*cost
		if net > bestNet && reduction >= limits.MinGain*s.layout.weights.Imbalance {
			bestNet, best, bestBenefit, bestCost = net, len(s.planned), benefit, cost
		}
	}
	s.undoTo(best)
	s.benefit += bestBenefit
	s.cost += bestCost
	return best > start
}

// objective returns the weighted imbalance and shortfall, as a cost per hour.
func (s *search) objective() float64 {
	mean := s.layout.meanUtilization()
	hottest := s.layout.hottest()
	if mean == 0 || hottest == nil {
		return 0
	}
	excess := max(hottest.utilization()/mean-1-s.layout.limits.Tolerance, 0)
	return s.layout.weights.Imbalance * (excess + s.layout.shortfall())
}

// undoTo undoes the planned steps from a position on. It restores the saved loads,
// so that they are equal to the last bit.
func (s *search) undoTo(position int) {
	if len(s.planned) == position {
		return
	}
	for len(s.planned) > position {
		last := s.planned[len(s.planned)-1]
		s.planned = s.planned[:len(s.planned)-1]
		s.layout.transfer(last.position, last.from)
		s.layout.updateHost(last.from, func() { last.from.load = last.fromLoad })
		s.layout.updateHost(last.to, func() { last.to.load = last.toLoad })
		if last.parent >= 0 {
			s.layout.undoIsolate(last.parent, last.parentLoad)
			continue
		}
		s.layout.records[last.position].pinned = false
	}
	s.layout.recomputeZoneSums()
}
