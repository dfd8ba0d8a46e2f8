package placement

import (
	"math"
	"time"
)

// emit takes as many of the planned moves as the limits allow.
func (s *search) emit(decision *Decision) {
	room := s.layout.room()
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
		unavailable += s.exposure(Shard{Range: planned.move.Range, Load: planned.move.Load}) * s.layout.limits.Handover.Seconds()
	}
	decision.Unavailable = time.Duration(unavailable * float64(time.Second))
}

// churnLeft is the share of the key space that may still move within the
// window for the sake of balance.
func (s *search) churnLeft() float64 {
	if s.layout.limits.MaxChurn <= 0 {
		return math.Inf(1)
	}
	return s.layout.limits.MaxChurn - s.layout.recent.sum
}
