package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Bounds of the search.
const (
	// lookaheadPerServer bounds the moves that are tried before their sum must
	// pay: while several servers are equally hot, no single move lowers the
	// maximum.
	lookaheadPerServer = 2
	// maxLookahead bounds one such run in a large service.
	maxLookahead = 256
	// maxPlanned bounds the moves that one decision looks at, deferred ones
	// included.
	maxPlanned = 1024
	// planAhead is how many times the moves that may begin a decision looks at.
	planAhead = 4
	// maxRuns bounds the runs of tries in one decision.
	maxRuns = 512
	// maxExhausted bounds the servers that one decision sets aside because
	// nothing relieves them.
	maxExhausted = 64
)

// Decide returns the decision on a whole problem. A caller that decides again
// and again keeps a Layout instead, which costs only what changed.
func Decide(problem Problem) Decision {
	layout := NewLayout(problem.Weights, problem.Limits)
	for _, server := range problem.Servers {
		layout.PutServer(server)
	}
	for _, shard := range problem.Shards {
		layout.PutShard(problem.Now, shard)
	}
	layout.remember(problem.History)
	layout.assumeCold(problem.Now)
	return layout.Decide(problem.Now)
}

// Decide returns the moves, splits and merges that pay for themselves. First
// come the moves off servers that no longer accept shards; they need not pay.
// The layout stays as it is: the caller reports what was carried out.
func (l *Layout) Decide(now time.Duration) Decision {
	l.prepare(now)
	search := &search{layout: l}
	decision := Decision{Before: l.measure(), After: l.measure()}
	if l.accepting == 0 {
		return decision
	}
	search.evacuate()
	if l.mean() > 0 {
		search.balance()
	}
	decision.After = l.measure()
	decision.Benefit = search.benefit
	decision.Cost = search.cost
	search.emit(&decision)
	decision.Splits = search.splits()
	search.merge(&decision)
	search.undoTo(0)
	search.release()
	return decision
}

// search builds one decision.
type search struct {
	layout  *Layout
	planned []step
	// evacuations counts the steps at the head of planned that need not pay.
	evacuations   int
	benefit, cost float64
	exhausted     []*host
	// cutting holds the shards that are to be split.
	cutting []int
}

// step is one planned move, with what is needed to undo it exactly.
type step struct {
	move     Move
	position int
	from, to *host
	// fromLoad and toLoad are the loads before the step.
	fromLoad, toLoad float64
	// parent is the shard that an isolated key was cut from, or -1; parentLoad
	// is its load before.
	parent     int
	parentLoad float64
	cost       float64
}

// evacuate moves every shard off the servers that do not accept.
func (s *search) evacuate() {
	for _, leaving := range s.layout.leavers() {
		positions := slices.Clone(leaving.shards)
		slices.SortFunc(positions, func(a, b int) int {
			return compareLoads(s.layout.records[a].Shard, s.layout.records[b].Shard)
		})
		for _, position := range positions {
			known := &s.layout.records[position]
			target := s.layout.targetFor(known, known.Load, leaving, false)
			if known.Moving || target == nil || len(s.planned) == maxPlanned {
				continue
			}
			s.apply(position, target, ReasonEvacuate)
			s.layout.records[position].pinned = true
		}
	}
	s.evacuations = len(s.planned)
}

// leavers returns the servers that own shards and do not accept.
func (l *Layout) leavers() []*host {
	var leavers []*host
	for _, known := range l.hosts {
		if !known.Accepts && len(known.shards) > 0 {
			leavers = append(leavers, known)
		}
	}
	slices.SortFunc(leavers, func(a, b *host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return leavers
}

// compareLoads orders shards by load, the highest first.
func compareLoads(a, b Shard) int {
	return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(b.Range.Width(), a.Range.Width()), cmp.Compare(a.ID, b.ID))
}

// apply plans the move of a whole shard.
func (s *search) apply(position int, target *host, reason Reason) {
	shard := s.layout.records[position].Shard
	from := s.layout.hosts[shard.Owner]
	cost := s.price(shard)
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

// price is the cost of moving a shard once, in units of the weights.
func (s *search) price(shard Shard) float64 {
	weights := s.layout.weights
	seconds := s.layout.limits.Handover.Seconds()
	return weights.Churn*shard.Range.Width() + weights.Unavailable*s.exposure(shard)*seconds
}

// exposure is the share of the service that is without an owner while the
// shard moves: of its keys or of its load, whichever is larger.
func (s *search) exposure(shard Shard) float64 {
	share := shard.Range.Width()
	if s.layout.total > 0 {
		share = max(share, shard.Load/s.layout.total)
	}
	return share
}

// balance repeats: try a run of moves, keep the part of it that pays best,
// until no run pays. Since it ends only then, a second decision on the result
// finds nothing to do.
func (s *search) balance() {
	limit := s.planLimit()
	for range maxRuns {
		switch {
		case len(s.planned) >= limit:
			return
		case s.balanceOnce():
			// What could not be relieved before may have found room.
			s.forgive()
		case !s.setAside():
			return
		}
	}
}

// planLimit bounds the moves to look at: some more than may begin now, so that
// a run is judged as a whole.
func (s *search) planLimit() int {
	room := s.layout.room() - s.evacuations
	if room <= 0 {
		return 0
	}
	return s.evacuations + min(room, maxPlanned/planAhead)*planAhead
}

// room is how many moves may begin.
func (l *Layout) room() int {
	return l.limits.MaxMoves - l.inFlight
}

// setAside takes the hottest server out of the objective, so that one that
// cannot be relieved does not hide the others. Servers near the mean end it.
func (s *search) setAside() bool {
	hottest := s.layout.hottest()
	if hottest == nil || len(s.exhausted) == maxExhausted {
		return false
	}
	if hottest.utilization() <= s.layout.mean()*(1+s.layout.limits.MinGain+s.layout.limits.Tolerance) {
		return false
	}
	hottest.exhausted = true
	s.exhausted = append(s.exhausted, hottest)
	return true
}

func (s *search) forgive() {
	for _, known := range s.exhausted {
		known.exhausted = false
	}
	s.exhausted = s.exhausted[:0]
}

// release takes the marks of this search off the layout.
func (s *search) release() {
	s.forgive()
	for _, position := range s.cutting {
		s.layout.records[position].pinned = false
	}
}

func (s *search) balanceOnce() bool {
	begin := len(s.planned)
	initial, reserve := s.objective(), s.layout.shortfall()
	bestNet, best, bestBenefit, bestCost := 0.0, begin, 0.0, 0.0
	cost := 0.0
	limits := s.layout.limits
	for range min(lookaheadPerServer*s.layout.accepting, maxLookahead) {
		if !s.tryBest() {
			break
		}
		cost += s.planned[len(s.planned)-1].cost
		if len(s.exhausted) > 0 && s.layout.shortfall() > reserve+minimumStep {
			continue
		}
		fall := initial - s.objective()
		benefit := fall * limits.Horizon.Hours()
		net := benefit - limits.PayFactor*cost
		if net > bestNet && fall >= limits.MinGain*s.layout.weights.Imbalance {
			bestNet, best, bestBenefit, bestCost = net, len(s.planned), benefit, cost
		}
	}
	s.undoTo(best)
	s.benefit += bestBenefit
	s.cost += bestCost
	return best > begin
}

// objective is the weighted imbalance: a rate, per hour.
func (s *search) objective() float64 {
	mean := s.layout.mean()
	hottest := s.layout.hottest()
	if mean == 0 || hottest == nil {
		return 0
	}
	excess := max(hottest.utilization()/mean-1-s.layout.limits.Tolerance, 0)
	return s.layout.weights.Imbalance * (excess + s.layout.shortfall())
}

// undoTo takes back the planned steps from a position on, to the last bit.
func (s *search) undoTo(position int) {
	if len(s.planned) == position {
		return
	}
	for len(s.planned) > position {
		last := s.planned[len(s.planned)-1]
		s.planned = s.planned[:len(s.planned)-1]
		s.layout.transfer(last.position, last.from)
		s.layout.change(last.from, func() { last.from.load = last.fromLoad })
		s.layout.change(last.to, func() { last.to.load = last.toLoad })
		if last.parent >= 0 {
			s.layout.rejoin(last.parent, last.parentLoad)
			continue
		}
		s.layout.records[last.position].pinned = false
	}
	s.layout.sumZones()
}
