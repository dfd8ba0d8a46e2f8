package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Times of a leader that takes heartbeats, see internal/controller.
const (
	keeperTick = 30 * time.Millisecond
	// longestDelay is how long a busy leader may take before it comes to an answer.
	longestDelay = 60 * time.Millisecond
	// holdBackLook is the time between two looks for news.
	holdBackLook        = 15 * time.Millisecond
	keeperAnswerTimeout = 260 * time.Millisecond
)

// leaseAnswer is the answer to a heartbeat.
type leaseAnswer struct {
	grant heartbeat.Grant
	// refused tells the instance to ask another controller.
	refused bool
}

// leaseKeeper takes heartbeats while its replica leads, in the order in which
// internal/controller does.
type leaseKeeper struct {
	replica *replica
	core    *heartbeat.Core
	// leadership counts the beginnings and ends of leading.
	leadership int
	waiting    []leaseDecision
	// deciding is true while a batch is on its way through the log.
	deciding bool
}

// leaseDecision is a heartbeat that waits for its batch, or a tick.
type leaseDecision struct {
	beat *heartbeat.Beat
	done func()
}

func newLeaseKeeper(r *replica) *leaseKeeper {
	return &leaseKeeper{replica: r, core: heartbeat.New(r.sim.leaseWorld.config)}
}

// changeLeadership begins or ends a term: what waits is dropped, and what earlier leaders
// granted is unknown.
func (k *leaseKeeper) changeLeadership() {
	k.leadership++
	k.waiting, k.deciding = nil, false
	k.core.Lead(k.replica.host.Now())
}

func (k *leaseKeeper) leads(leadership int) bool {
	return k.leadership == leadership && k.replica.driver.Leading()
}

// heartbeat takes a heartbeat of an instance.
func (c *controller) heartbeat(beat heartbeat.Beat, answer func(leaseAnswer)) {
	if c.replica == nil || !c.replica.driver.Leading() {
		answer(leaseAnswer{refused: true})
		return
	}
	c.step(func() { c.replica.leases.receive(beat, answer) })
}

func (k *leaseKeeper) receive(beat heartbeat.Beat, answer func(leaseAnswer)) {
	receivedAt, leadership := k.replica.host.Now(), k.leadership
	confirmed := func(state.Revision) {
		if k.leads(leadership) {
			k.confirmed(beat, func() { k.answerSoon(receivedAt, leadership, beat, answer) })
		}
	}
	if k.replica.sim.leaseWorld.planted.skipQuorum {
		confirmed(0)
		return
	}
	k.replica.readRevision(confirmed)
}

// confirmed takes a heartbeat once a quorum round has confirmed the leadership.
func (k *leaseKeeper) confirmed(beat heartbeat.Beat, done func()) {
	if k.core.Renew(k.replica.host.Now(), beat, k.replica.state.Directory()) {
		done()
		return
	}
	k.waiting = append(k.waiting, leaseDecision{beat: &beat, done: done})
	k.decide()
}

// tick decides what is due by itself.
func (k *leaseKeeper) tick() {
	if !k.replica.driver.Leading() {
		return
	}
	k.replica.sim.countDemand(k)
	k.waiting = append(k.waiting, leaseDecision{done: func() {}})
	k.decide()
}

// decide decides the next batch, unless one is on its way.
func (k *leaseKeeper) decide() {
	if k.deciding || len(k.waiting) == 0 {
		return
	}
	batch := k.core.Batch(k.replica.host.Now(), k.replica.state.Directory())
	var taken []leaseDecision
	ended := k.endedByStrangers()
	for _, decision := range k.waiting {
		if decision.beat == nil {
			batch.Tick()
		} else if batch.Receive(*decision.beat) != nil {
			// Refused, as one that is out of date: the instance sends another.
			continue
		}
		taken = append(taken, decision)
	}
	k.waiting = nil
	k.propose(append(ended, batch.Commands()...), taken)
}

// endedByStrangers plants the fault endOthers. It returns the commands that end the other instances at the addresses of
// unknown ones.
func (k *leaseKeeper) endedByStrangers() []directory.Command {
	if !k.replica.sim.leaseWorld.planted.endOthers {
		return nil
	}
	view := k.replica.state.Directory()
	var commands []directory.Command
	for _, decision := range k.waiting {
		if decision.beat == nil {
			continue
		}
		if _, known := view.Instance(decision.beat.Instance); known {
			continue
		}
		for other := range view.InstancesAt(decision.beat.Address) {
			other.Ended = true
			commands = append(commands, directory.Command{Instances: []directory.Instance{other}})
		}
	}
	return commands
}

func (k *leaseKeeper) propose(commands []directory.Command, taken []leaseDecision) {
	if len(commands) == 0 {
		finish(taken)
		return
	}
	leadership := k.leadership
	k.deciding = true
	joined := directory.JoinCommands(commands)
	k.replica.driver.Propose(driver.Proposal{
		Command:    state.Command{Directory: &joined},
		StillValid: func() bool { return k.leads(leadership) },
		Done: func(end driver.Outcome) {
			if !k.leads(leadership) {
				return
			}
			k.deciding = false
			if end.Err == nil {
				finish(taken)
			}
			k.decide()
		},
	})
}

func finish(taken []leaseDecision) {
	for _, decision := range taken {
		decision.done()
	}
}

// answerSoon answers once the leader comes to it and there is news, or the wait for news
// is over.
func (k *leaseKeeper) answerSoon(receivedAt time.Duration, leadership int, beat heartbeat.Beat, answer func(leaseAnswer)) {
	owner := k.replica.owner
	var look func()
	look = func() {
		now := k.replica.host.Now()
		switch {
		case !k.leads(leadership) || !k.core.IsNewest(beat) || now-receivedAt > keeperAnswerTimeout:
		case k.core.HoldBack(now, receivedAt, beat, k.replica.state.Directory()):
			owner.after(holdBackLook, look)
		default:
			answer(leaseAnswer{grant: k.core.Answer(beat.Instance, receivedAt, k.replica.state.Directory())})
		}
	}
	owner.after(k.replica.sim.between(0, longestDelay), look)
}
