package quota

import "time"

// chargeTime is for how long a request that went without the leader counts against the limit of
// its instance. Limits bind over windows of this length, so that an older request takes no room
// from a later one.
const chargeTime = 4 * time.Second

// sentAlone are the times at which requests went to an instance without the leader, which has not
// been told of them, the oldest first.
type sentAlone []time.Duration

// add notes a request and drops those that do not count any more.
func (s *sentAlone) add(now time.Duration) {
	s.expire(now)
	*s = append(*s, now)
}

// tell returns how many requests count and how long ago the last of them went, in milliseconds,
// and forgets them.
func (s *sentAlone) tell(now time.Duration) (count, lastAgoMs uint32) {
	s.expire(now)
	if len(*s) == 0 {
		return 0, 0
	}
	last := (*s)[len(*s)-1]
	count, lastAgoMs = uint32(len(*s)), uint32((now - last).Milliseconds())
	*s = nil
	return count, lastAgoMs
}

func (s *sentAlone) expire(now time.Duration) {
	for len(*s) > 0 && now-(*s)[0] >= chargeTime {
		*s = (*s)[1:]
	}
}
