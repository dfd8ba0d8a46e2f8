package placement

import (
	"math"
	"time"
)

// selectMoves adds the planned moves to the decision that the limits allow, and
// counts the others as deferred.
func (s *search) selectMoves(decision *Decision) {
	free := s.layout.freeMoves()
	churnLeft := s.churnLeft()
	unavailable := 0.0
	for index, step := range s.planned {
		width := step.move.Range.Width()
		balancing := index >= s.evacuations
		if len(decision.Moves) >= free || (balancing && width > churnLeft) {
			decision.Deferred++
			continue
		}
		if balancing {
			churnLeft -= width
		}
		decision.Moves = append(decision.Moves, step.move)
		decision.Churn += width
		unavailable += s.unavailableShare(Shard{Range: step.move.Range, Load: step.move.Load}) * s.layout.limits.Handover.Seconds()
	}
	decision.Unavailable = time.Duration(unavailable * float64(time.Second))
}

// churnLeft returns the share of the key space that may still move for balance
// within the window.
func (s *search) churnLeft() float64 {
	if s.layout.limits.MaxChurn <= 0 {
		return math.Inf(1)
	}
	return s.layout.limits.MaxChurn - s.layout.recent.sum
}
