package quota

// waitingCounts counts the requests that wait for a token, by urgency.
type waitingCounts map[uint8]int

// add changes the count of one urgency.
func (w waitingCounts) add(urgency uint8, change int) {
	w[urgency] += change
	if w[urgency] <= 0 {
		delete(w, urgency)
	}
}

// total returns the number of waiting requests.
func (w waitingCounts) total() int {
	total := 0
	for _, count := range w {
		total += count
	}
	return total
}

// mostUrgent returns the highest urgency among the waiting requests and how many have it.
func (w waitingCounts) mostUrgent() (count int, urgency uint8) {
	for level, number := range w {
		if count == 0 || level > urgency {
			count, urgency = number, level
		}
	}
	return count, urgency
}

// hasMoreUrgent reports whether a waiting request is more urgent than the threshold.
func (w waitingCounts) hasMoreUrgent(threshold uint8) bool {
	count, urgency := w.mostUrgent()
	return count > 0 && urgency > threshold
}
