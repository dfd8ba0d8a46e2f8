package placement

import (
	"math"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Bounds of the search.
const (
	// lookaheadPerServer bounds the moves that are tried before their sum must
	// pay: while several servers are equally hot, no single move lowers the
	// maximum.
	lookaheadPerServer = 2
	// maxPlanned bounds the moves that one decision may hold.
	maxPlanned = 4096
)

// Decide returns the moves, splits and merges that pay for themselves. First
// come the moves off servers that no longer accept shards; they need not pay.
func Decide(problem Problem) Decision {
	if problem.Weights == (state.Weights{}) {
		problem.Weights = DefaultWeights
	}
	search := &search{layout: newLayout(&problem), problem: &problem}
	decision := Decision{Before: search.layout.measure(), After: search.layout.measure()}
	if len(search.layout.accepting) == 0 {
		return decision
	}
	search.evacuate()
	if search.layout.mean() > 0 {
		search.balance()
	}
	decision.After = search.layout.measure()
	decision.Benefit = search.benefit
	decision.Cost = search.cost
	search.emit(&decision)
	decision.Splits = search.splits()
	decision.Merges = search.merges(decision)
	return decision
}

// search builds one decision.
type search struct {
	problem *Problem
	layout  *layout
	planned []step
	// evacuations counts the steps at the head of planned that need not pay.
	evacuations   int
	benefit, cost float64
}

// step is one planned move, with what is needed to undo it.
type step struct {
	move  Move
	index int
	// parent is the shard that an isolated key was cut from.
	parent int
	cost   float64
}

// evacuate moves every shard off the servers that do not accept.
func (s *search) evacuate() {
	for _, known := range s.layout.hosts {
		if known.Accepts {
			continue
		}
		indexes := slices.Clone(known.shards)
		slices.SortStableFunc(indexes, func(a, b int) int { return compareLoads(s.layout.shards[a], s.layout.shards[b]) })
		for _, index := range indexes {
			if s.layout.shards[index].Moving {
				continue
			}
			target := s.layout.targets()[0]
			s.apply(index, target, ReasonEvacuate)
			s.layout.pinned[index] = true
		}
	}
	s.evacuations = len(s.planned)
}

// apply plans the move of a whole shard.
func (s *search) apply(index int, target *host, reason Reason) {
	shard := s.layout.shards[index]
	s.planned = append(s.planned, step{
		move: Move{
			Shard: shard.ID, Epoch: shard.Epoch, From: shard.Owner, To: target.ID,
			Range: shard.Range, Load: shard.Load, Reason: reason,
		},
		index: index, parent: -1, cost: s.price(shard),
	})
	s.layout.transfer(index, target)
}

// price is the cost of moving a shard once, in units of the weights.
func (s *search) price(shard Shard) float64 {
	weights := s.problem.Weights
	seconds := s.problem.Limits.Handover.Seconds()
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
	for len(s.planned) < maxPlanned && s.balanceOnce() {
	}
}

func (s *search) balanceOnce() bool {
	begin := len(s.planned)
	initial := s.layout.objective()
	bestNet, best, bestBenefit, bestCost := 0.0, begin, 0.0, 0.0
	cost := 0.0
	for range lookaheadPerServer * len(s.layout.accepting) {
		if !s.tryBest() {
			break
		}
		cost += s.planned[len(s.planned)-1].cost
		fall := initial - s.layout.objective()
		benefit := fall * s.problem.Limits.Window.Hours()
		net := benefit - s.problem.Limits.PayFactor*cost
		if net > bestNet && fall >= s.problem.Limits.MinGain*s.problem.Weights.Imbalance {
			bestNet, best, bestBenefit, bestCost = net, len(s.planned), benefit, cost
		}
	}
	s.undoTo(best)
	s.benefit += bestBenefit
	s.cost += bestCost
	return best > begin
}

// undoTo takes back the planned steps from a position on.
func (s *search) undoTo(position int) {
	for len(s.planned) > position {
		last := s.planned[len(s.planned)-1]
		s.planned = s.planned[:len(s.planned)-1]
		from := s.layout.byID[last.move.From]
		s.layout.transfer(last.index, from)
		if last.parent >= 0 {
			s.layout.rejoin(last.parent, from)
			continue
		}
		s.layout.pinned[last.index] = false
	}
}

// emit takes as many of the planned moves as the limits allow.
func (s *search) emit(decision *Decision) {
	room := s.problem.Limits.MaxMoves - s.inFlight()
	churnLeft := s.churnLeft()
	unavailable := 0.0
	for position, planned := range s.planned {
		width := planned.move.Range.Width()
		balancing := position >= s.evacuations
		if len(decision.Moves) >= room || (balancing && width > churnLeft) {
			decision.Deferred++
			continue
		}
		if balancing {
			churnLeft -= width
		}
		decision.Moves = append(decision.Moves, planned.move)
		decision.Churn += width
		unavailable += s.exposure(Shard{Range: planned.move.Range, Load: planned.move.Load}) * s.problem.Limits.Handover.Seconds()
	}
	decision.Unavailable = time.Duration(unavailable * float64(time.Second))
}

func (s *search) inFlight() int {
	count := 0
	for _, shard := range s.problem.Shards {
		if shard.Moving {
			count++
		}
	}
	return count
}

// churnLeft is the share of the key space that may still move within the
// window for the sake of balance.
func (s *search) churnLeft() float64 {
	left := s.problem.Limits.MaxChurn
	if left <= 0 {
		return math.Inf(1)
	}
	for _, move := range s.problem.History {
		if s.problem.Now-move.At < s.problem.Limits.Window {
			left -= move.Range.Width()
		}
	}
	return left
}
