package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/sim/network"
)

// maxBacklog bounds what waits for a paused process. More is lost, as from a
// full socket buffer.
const maxBacklog = 2048

// process is one process on its own machine: it has a clock, it may be paused
// or dead, and what is sent to it while it is paused waits. Its machine may be
// suspended: then timers stand still as well, while the clock goes on.
type process struct {
	sim  *simulation
	node network.Node
	role machineRole
	// offset and rate make the machine's clock: offset + true time × rate.
	offset time.Duration
	rate   float64
	// asleep sums the suspensions that have ended. The present one, if suspended is
	// set, began at suspendedAt.
	asleep      time.Duration
	suspended   bool
	suspendedAt time.Duration
	// atWake sets timers again that ended in true time while the machine was suspended.
	atWake []func()

	alive bool
	// generation counts the starts; timers of an earlier one do nothing.
	generation int
	paused     bool
	backlog    []func()
	// outbox is what a step that was paused in its middle has yet to send.
	outbox []func()
	// pauseAfterSends, when above zero, pauses the process in the middle of a
	// step: before it sends the message of that number. The machine is suspended
	// in its place if sleepInStep is set.
	pauseAfterSends int
	pauseFor        time.Duration
	sleepInStep     bool
}

// now reads the machine's clock.
func (p *process) now() time.Duration {
	return p.offset + time.Duration(float64(p.sim.queue.Now())*p.rate)
}

// trueTime returns the true time at which the machine's clock shows a reading.
func (p *process) trueTime(reading time.Duration) time.Duration {
	return time.Duration(float64(reading-p.offset) / p.rate)
}

func (p *process) trueDuration(local time.Duration) time.Duration {
	return time.Duration(float64(local) / p.rate)
}

// slept returns for how long the machine has been suspended so far, in true time.
func (p *process) slept() time.Duration {
	if !p.suspended {
		return p.asleep
	}
	return p.asleep + p.sim.queue.Now() - p.suspendedAt
}

// wake ends a suspension of the machine.
func (p *process) wake() {
	slept := p.slept() - p.asleep
	p.asleep += slept
	p.suspended = false
	if p.sim.stepsClockBack(p) {
		p.offset -= time.Duration(float64(slept) * p.rate)
	}
	waiting := p.atWake
	p.atWake = nil
	for _, set := range waiting {
		set()
	}
}

// begin starts the process and ends its timers of earlier lives.
func (p *process) begin() {
	p.wake()
	p.alive = true
	p.paused = false
	p.backlog = nil
	p.outbox = nil
	p.pauseAfterSends = 0
	p.generation++
}

// end kills the process.
func (p *process) end() {
	p.wake()
	p.alive = false
	p.backlog = nil
	p.outbox = nil
	p.generation++
}

// after runs a step once a duration of the machine's clock has passed.
func (p *process) after(local time.Duration, run func()) {
	generation := p.generation
	p.onTimer(p.trueDuration(local), func() { p.enter(generation, run) })
}

// onTimer calls fire once a true duration has passed in which the machine was not
// suspended.
func (p *process) onTimer(wait time.Duration, fire func()) {
	before := p.slept()
	p.sim.queue.After(wait, func() {
		slept := p.slept() - before
		switch {
		case slept == 0:
			fire()
		case p.suspended:
			p.atWake = append(p.atWake, func() { p.onTimer(slept, fire) })
		default:
			p.onTimer(slept, fire)
		}
	})
}

// every runs a step at an interval. Like a ticker it drops ticks that find the
// one before still waiting.
func (p *process) every(interval time.Duration, run func()) {
	generation := p.generation
	waiting := false
	var arm func()
	arm = func() {
		p.onTimer(p.trueDuration(interval), func() {
			if p.generation != generation {
				return
			}
			arm()
			if waiting {
				return
			}
			waiting = true
			p.enter(generation, func() {
				waiting = false
				run()
			})
		})
	}
	arm()
}

// enter runs a step of one life of the process, now or when it goes on.
func (p *process) enter(generation int, run func()) {
	if !p.alive || p.generation != generation {
		return
	}
	if !p.paused {
		run()
		return
	}
	if len(p.backlog) < maxBacklog {
		p.backlog = append(p.backlog, run)
	}
}

// receive runs a step that a message causes in whichever life it meets.
func (p *process) receive(run func()) { p.enter(p.generation, run) }

// pause stops the process for a true duration.
func (p *process) pause(duration time.Duration) {
	if !p.alive || p.paused {
		return
	}
	p.sim.counts.Pauses++
	p.sim.trace("%s pauses for %v", p.node, duration)
	p.stopFor(duration)
}

// suspend stops the whole machine for a true duration.
func (p *process) suspend(duration time.Duration) {
	if !p.alive || p.paused {
		return
	}
	p.sim.counts.Suspensions++
	p.sim.trace("%s is suspended for %v", p.node, duration)
	p.suspended, p.suspendedAt = true, p.sim.queue.Now()
	p.stopFor(duration)
}

func (p *process) stopFor(duration time.Duration) {
	p.paused = true
	generation := p.generation
	p.sim.queue.After(duration, func() { p.resume(generation) })
}

// resume lets a paused process take what waited for it, in order.
func (p *process) resume(generation int) {
	if !p.paused || p.generation != generation {
		return
	}
	p.paused = false
	p.wake()
	p.sim.trace("%s goes on with %d waiting", p.node, len(p.backlog))
	unsent := p.outbox
	p.outbox = nil
	for _, transmit := range unsent {
		transmit()
	}
	for len(p.backlog) > 0 && !p.paused && p.generation == generation {
		run := p.backlog[0]
		p.backlog = p.backlog[1:]
		run()
	}
}

// outgoing runs transmit once the present step gets to it: at once, or after
// the pause in the middle of the step.
func (p *process) outgoing(transmit func()) {
	if p.pauseAfterSends > 0 {
		p.pauseAfterSends--
		if p.pauseAfterSends == 0 {
			p.stopInStep()
		}
	}
	if p.paused {
		p.outbox = append(p.outbox, transmit)
		return
	}
	transmit()
}

func (p *process) stopInStep() {
	if p.sleepInStep {
		p.suspend(p.pauseFor)
		return
	}
	p.pause(p.pauseFor)
}

// sendOn carries a datagram to another process by the connection of a number.
func (p *process) sendOn(connection int, to *process, deliver func()) {
	p.outgoing(func() {
		p.sim.network.SendOn(network.Connection{From: p.node, To: to.node, Number: connection}, func() { to.receive(deliver) })
	})
}

// sendOnce carries a message that the transport does not duplicate.
func (p *process) sendOnce(to *process, deliver func()) {
	p.outgoing(func() {
		p.sim.network.SendOnce(p.node, to.node, func() { to.receive(deliver) })
	})
}
