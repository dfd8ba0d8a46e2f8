package sim

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/heartbeat"
)

const (
	// keptHeartbeats bounds the copies that are kept of an instance's heartbeats, those of its earlier lives included.
	keptHeartbeats = 24
	// lateRound is how many copies arrive in one round at most, and latestArrival how long after its begin.
	lateRound     = 3
	latestArrival = 2500 * time.Millisecond
	// shortestCutOff and longestCutOff bound how long an instance lives of which no heartbeat leaves its machine.
	shortestCutOff = 800 * time.Millisecond
	longestCutOff  = 2500 * time.Millisecond
)

// lateHeartbeats makes copies of heartbeats arrive after any delay: out of order, more than once, after the end of their
// sender and at later leaders. They belong to lease runs in which late is set.
type lateHeartbeats struct {
	kept []heartbeat.Beat
	// cutOff is the generation of the process of which no heartbeat leaves the machine; zero for none.
	cutOff int
}

// keep keeps a copy of a heartbeat.
func (l *lateHeartbeats) keep(sent heartbeat.Beat) {
	l.kept = append(l.kept, sent)
	if len(l.kept) > keptHeartbeats {
		l.kept = slices.Delete(l.kept, 0, 1)
	}
}

var lateFaultKinds = []faultKind{
	{6, (*simulation).deliverLateHeartbeats},
	{2, (*simulation).restartCutOff},
}

// deliverLateHeartbeats lets copies of one instance's heartbeats arrive at the leader, or at any controller.
func (s *simulation) deliverLateHeartbeats() {
	from := s.anyInstance()
	if len(from.late.kept) == 0 {
		return
	}
	first := s.random.IntN(len(from.late.kept))
	for _, copied := range from.late.kept[first:min(first+lateRound, len(from.late.kept))] {
		s.counts.LateHeartbeats++
		if s.leaseWorld.planted.renumberLate {
			copied.Sequence += keptHeartbeats
		}
		s.queue.After(s.between(0, latestArrival), func() { s.arriveLate(copied) })
	}
}

// arriveLate delivers one copy. Its answer goes to nobody: the connection of its sender has ended.
func (s *simulation) arriveLate(copied heartbeat.Beat) {
	if s.queue.Now() >= s.leaseWorld.faultsEnd {
		return
	}
	target := s.controllers[s.random.IntN(len(s.controllers))]
	if leader, found := s.leader(); found && s.random.IntN(2) == 0 {
		target = leader.owner
	}
	s.trace("heartbeat %d of %s arrives late at %s", copied.Sequence, copied.Instance, target.node)
	target.receive(func() { target.heartbeat(copied, func(leaseAnswer) {}) })
}

// restartCutOff ends an instance. The next life at its address ends before any of its heartbeats has arrived, and another
// one begins there: copies of the first one's heartbeats arrive while that holds keys.
func (s *simulation) restartCutOff() {
	target := s.anyInstance()
	if !target.alive {
		return
	}
	s.counts.ServerCrashes += 2
	s.trace("%s ends, and its next life is cut off", target.id)
	target.end()
	target.late.cutOff = target.generation + 1
	target.start()
	s.queue.After(s.between(shortestCutOff, longestCutOff), func() {
		if target.generation == target.late.cutOff {
			target.end()
			target.start()
		}
	})
}
