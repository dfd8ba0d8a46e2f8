package placement

// shortfall returns the share of the load that would lie above the bound if the
// worst zone were lost and nothing but its shards moved: what the other servers
// carry above the bound already, and what finds no room below it.
func (l *Layout) shortfall() float64 {
	if l.limits.ReserveUtilization <= 0 || l.total == 0 || len(l.zones) < 2 {
		return 0
	}
	allRoom, allAbove := 0.0, 0.0
	for _, known := range l.zones {
		allRoom += known.room
		allAbove += known.above
	}
	worst := 0.0
	for _, lost := range l.zones {
		homeless := max(lost.load-(allRoom-lost.room), 0)
		worst = max(worst, allAbove-lost.above+homeless)
	}
	return max(worst, 0) / l.total
}
