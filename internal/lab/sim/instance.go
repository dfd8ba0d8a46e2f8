package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
)

// Heartbeats of instances. They are some three times as quick as on real machines, so
// that a run meets many leases.
const (
	instanceInterval = 400 * time.Millisecond
	// instanceCallTimeout is how long an instance waits for an answer before it asks the
	// next controller.
	instanceCallTimeout = 300 * time.Millisecond
	// instanceRetryPause is the wait before the next controller is asked, and between the
	// heartbeats of an instance that lets keys go.
	instanceRetryPause = 30 * time.Millisecond
	longestWork        = 150 * time.Millisecond
	instanceSlots      = 2
)

// instance is one server that renews its lease by heartbeats, as docs/BACKEND.md asks. A
// restart gives it a new identifier at its old address, or a later time of its start.
type instance struct {
	*process
	id       directory.InstanceID
	lives    int
	target   int
	sequence uint64
	// answered is true once the newest heartbeat has its answer.
	answered bool
	held     []heartbeat.Held
	// leaseEnd is a reading of the instance's own clock.
	leaseEnd time.Duration
	// work is until when rows that were let go are still worked on, by the own clock.
	work     map[heartbeat.Held]time.Duration
	released []heartbeat.Released
	late     lateHeartbeats
}

// start begins a new life, which holds nothing.
func (i *instance) start() {
	i.begin()
	i.lives++
	i.id = i.nextID()
	if !i.sim.leaseWorld.planted.ignoreBorn {
		i.sequence = 0
	}
	i.held, i.released, i.leaseEnd = nil, nil, 0
	i.work = make(map[heartbeat.Held]time.Duration)
	i.beat()
}

func (i *instance) nextID() directory.InstanceID {
	world := i.sim.leaseWorld
	switch {
	case !world.sameID:
		return directory.InstanceID(fmt.Sprintf("%s.%d", i.node, i.lives))
	case world.planted.ignoreBorn:
		return directory.InstanceID(i.node)
	default:
		return directory.Incarnation{Server: string(i.node), Born: uint64(i.lives)}.ID()
	}
}

// beat sends a heartbeat to the controller that answered last, or to the next one.
func (i *instance) beat() {
	i.expire()
	i.sequence++
	i.answered = false
	sequence, sentAt := i.sequence, i.now()
	sent := heartbeat.Beat{
		Instance: i.id, Service: keyedService, Address: string(i.node), Slots: instanceSlots, Sequence: sequence,
		Held: i.rows(), Released: slices.Clone(i.released),
	}
	controllers := i.sim.controllers
	target := controllers[i.target%len(controllers)]
	i.late.keep(sent)
	if i.generation != i.late.cutOff {
		i.sendOnce(target.process, func() {
			target.heartbeat(sent, func(answer leaseAnswer) {
				target.sendOnce(i.process, func() { i.take(sequence, sentAt, answer) })
			})
		})
	}
	i.after(instanceCallTimeout, func() {
		if i.sequence == sequence && !i.answered {
			i.askNext()
		}
	})
}

func (i *instance) askNext() {
	i.answered = true
	i.target++
	i.after(instanceRetryPause, i.beat)
}

// take takes an answer, unless it is one to an earlier heartbeat or comes too late.
func (i *instance) take(sequence uint64, sentAt time.Duration, answer leaseAnswer) {
	if i.sequence != sequence || i.answered {
		return
	}
	if answer.refused {
		i.askNext()
		return
	}
	i.answered = true
	i.expire()
	i.released = nil
	if answer.grant.Renewed {
		i.hold(sentAt, answer.grant)
	}
	next := instanceInterval
	if len(i.work) > 0 {
		next = instanceRetryPause
	}
	i.after(next, i.beat)
}

// hold takes what a grant says, and lets the rest go.
func (i *instance) hold(sentAt time.Duration, grant heartbeat.Grant) {
	var next []heartbeat.Held
	for _, holding := range grant.Holdings {
		next = append(next, heartbeat.Held{Range: heartbeat.Range{First: holding.First, Last: holding.Last}, Fence: holding.Fence})
	}
	for _, earlier := range i.held {
		if !slices.Contains(next, earlier) {
			i.work[earlier] = i.now() + i.sim.between(0, longestWork)
		}
	}
	i.held = next
	i.leaseEnd = sentAt + grant.Lease
	i.sim.checkSoleOwner(i)
}

// expire ends the lease, and the work that is done.
func (i *instance) expire() {
	ended := i.now() >= i.leaseEnd
	for _, working := range i.working() {
		if ended || i.now() >= i.work[working] {
			delete(i.work, working)
			i.released = append(i.released, heartbeat.Released{Range: working.Range, Handover: "left"})
		}
	}
	if ended {
		i.held, i.released = nil, nil
	}
}

// rows are the ranges that the instance holds or still works on.
func (i *instance) rows() []heartbeat.Held { return append(slices.Clone(i.held), i.working()...) }

// working returns the rows that were let go and are still worked on, in a fixed order: a
// run must replay from its seed.
func (i *instance) working() []heartbeat.Held {
	rows := slices.Collect(maps.Keys(i.work))
	slices.SortFunc(rows, func(a, b heartbeat.Held) int {
		return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Fence, b.Fence))
	})
	return rows
}

// holds reports whether the instance holds a key in true time, whatever it knows of it.
func (i *instance) holds(key directory.Key) bool {
	if !i.alive || i.sim.queue.Now() >= i.trueTime(i.leaseEnd) {
		return false
	}
	return slices.ContainsFunc(i.rows(), func(row heartbeat.Held) bool { return row.First <= key && key <= row.Last })
}

// probedKeys are the keys that are looked at: one in each range that the service is cut
// into at first, and the last one.
func probedKeys() []directory.Key {
	const apart = 509
	var keys []directory.Key
	for key := directory.Key(0); key <= directory.MaxKey; key += apart {
		keys = append(keys, key)
	}
	return append(keys, directory.MaxKey)
}

// checkSoleOwner checks what an instance has just been granted against what all others
// hold, and that fences rise from one holder to the next.
func (s *simulation) checkSoleOwner(granted *instance) {
	for _, key := range probedKeys() {
		if !granted.holds(key) {
			continue
		}
		s.leaseWorld.checked++
		for _, other := range s.leaseWorld.instances {
			if other != granted && other.holds(key) {
				s.checker.Fail(checker.OneOwner, "key %d is held by %s and granted to %s", key, other.id, granted.id)
			}
		}
		s.checkFence(key, granted)
	}
}

func (s *simulation) checkFence(key directory.Key, granted *instance) {
	known := s.leaseWorld.holders[key]
	for _, row := range granted.held {
		if key < row.First || row.Last < key {
			continue
		}
		if passed := known.owner != granted.id || known.life != granted.lives; passed && row.Fence <= known.fence {
			s.checker.Fail(checker.EpochOrder, "key %d passed from %s to %s with fence %d after %d", key, known.owner, granted.id, row.Fence, known.fence)
		}
		s.leaseWorld.holders[key] = keyHolder{owner: granted.id, life: granted.lives, fence: max(known.fence, row.Fence)}
	}
}
