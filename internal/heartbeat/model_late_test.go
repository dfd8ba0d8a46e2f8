package heartbeat

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// lateHeartbeats makes copies of heartbeats arrive long after they were sent: after the end of their sender, after newer
// ones were lost, and at later leaders.
type lateHeartbeats struct {
	random *rand.Rand
	// kept are the copies by sender, in the order in which they were sent.
	kept map[*modelInstance][]Beat
	due  []lateHeartbeat
	// cutOff are instances that no heartbeat of theirs has left, with the time at which they crash.
	cutOff map[*modelInstance]time.Duration
}

// lateHeartbeat is a copy of a heartbeat that is to arrive.
type lateHeartbeat struct {
	at       time.Duration
	instance *modelInstance
	beat     Beat
}

func newLateHeartbeats(seed uint64) *lateHeartbeats {
	return &lateHeartbeats{
		random: rand.New(rand.NewPCG(seed, 2)), kept: make(map[*modelInstance][]Beat), cutOff: make(map[*modelInstance]time.Duration),
	}
}

// keepHeartbeat keeps copies of some heartbeats, and of all that are sent behind a partition.
func (m *model) keepHeartbeat(instance *modelInstance, beat Beat) {
	if m.late == nil || m.now >= instance.unreachableUntil && m.late.random.IntN(3) > 0 {
		return
	}
	m.late.kept[instance] = append(m.late.kept[instance], beat)
}

// stepLate lets instances crash behind a partition, and delivers the late heartbeats that are due.
func (m *model) stepLate(leaderChanged bool) {
	late := m.late
	if late == nil || !m.faults {
		return
	}
	for _, instance := range slices.Clone(m.instances) {
		if end, cut := late.cutOff[instance]; cut && m.now >= end {
			m.tracef("%s crashes behind its partition", instance.id)
			delete(late.cutOff, instance)
			instance.alive = false
			m.start(instance.address)
		}
		if leaderChanged && late.random.IntN(2) == 0 || late.random.IntN(400) == 0 {
			m.scheduleLate(instance)
		}
	}
	late.due = slices.DeleteFunc(late.due, func(arriving lateHeartbeat) bool {
		if m.now < arriving.at {
			return false
		}
		m.tracef("heartbeat %d of %s arrives late", arriving.beat.Sequence, arriving.instance.id)
		m.receiveHeartbeat(arriving.instance, arriving.beat)
		return true
	})
}

// scheduleLate lets up to three kept heartbeats of an instance arrive in the order of their sending.
func (m *model) scheduleLate(instance *modelInstance) {
	kept := m.late.kept[instance]
	if len(kept) == 0 {
		return
	}
	first := m.late.random.IntN(len(kept))
	at := m.now
	for _, beat := range kept[first:min(first+3, len(kept))] {
		at += time.Duration(m.late.random.IntN(900)) * time.Millisecond
		m.late.due = append(m.late.due, lateHeartbeat{at: at, instance: instance, beat: beat})
	}
}

// restartCutOff restarts an instance twice: the first incarnation crashes before any of its heartbeats has arrived.
func (m *model) restartCutOff(instance *modelInstance) {
	m.tracef("%s restarts behind a partition", instance.id)
	instance.alive = false
	m.start(instance.address)
	first := m.instances[len(m.instances)-1]
	first.unreachableUntil = m.now + time.Minute
	m.late.cutOff[first] = m.now + time.Duration(2000+m.late.random.IntN(3000))*time.Millisecond
}

// TestLateHeartbeatsMoveNoKeys guards against keys with two holders after heartbeats that arrive late: of an instance
// that has crashed, whose address belongs to another one by now, and of a live one at a leader that knows no newer ones.
func TestLateHeartbeatsMoveNoKeys(t *testing.T) {
	for _, seed := range lateSeeds {
		m := newModel(t, seed)
		m.late = newLateHeartbeats(seed)
		m.runWithFaults()
		if m.failure != "" {
			t.Errorf("seed %d: %s\n%s", seed, m.failure, strings.Join(m.trace[max(0, len(m.trace)-25):], "\n"))
		}
	}
}

// lateSeeds are the first ten, and those that found a fault of the code before or of its fix.
var lateSeeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 15, 16, 20, 34, 100}
