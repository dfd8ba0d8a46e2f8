package placement

// shortfall returns the share of the load that would exceed ReserveUtilization if
// the worst zone were lost and only its shards moved: the load that the other
// servers carry beyond it already, and the load of the lost zone that exceeds their
// headroom.
func (l *Layout) shortfall() float64 {
	if l.limits.ReserveUtilization <= 0 || l.total == 0 || len(l.zones) < 2 {
		return 0
	}
	totalHeadroom, totalExcess := 0.0, 0.0
	for _, zone := range l.zones {
		totalHeadroom += zone.headroom
		totalExcess += zone.excess
	}
	worst := 0.0
	for _, lost := range l.zones {
		unplaced := max(lost.load-(totalHeadroom-lost.headroom), 0)
		worst = max(worst, totalExcess-lost.excess+unplaced)
	}
	return max(worst, 0) / l.total
}
