package quota

import "time"

// chargeWindow is how long a request sent without the leader counts against the limit of its
// instance. Limits apply to windows of this length, so an older request takes no capacity from
// later ones.
const chargeWindow = 4 * time.Second

// unreportedSends are the times at which requests were sent to an instance without the leader and
// not yet reported to it, oldest first.
type unreportedSends []time.Duration

// add records a request and drops those that no longer count.
func (s *unreportedSends) add(now time.Duration) {
	s.expire(now)
	*s = append(*s, now)
}

// report returns how many requests still count and the age of the last one in milliseconds, and
// clears them.
func (s *unreportedSends) report(now time.Duration) (count, lastAgoMs uint32) {
	s.expire(now)
	if len(*s) == 0 {
		return 0, 0
	}
	last := (*s)[len(*s)-1]
	count, lastAgoMs = uint32(len(*s)), uint32((now - last).Milliseconds())
	*s = nil
	return count, lastAgoMs
}

func (s *unreportedSends) expire(now time.Duration) {
	for len(*s) > 0 && now-(*s)[0] >= chargeWindow {
		*s = (*s)[1:]
	}
}
