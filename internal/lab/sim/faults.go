package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
)

// Times between faults and of their effects.
const (
	shortestPause = 20 * time.Millisecond
	longestPause  = 2500 * time.Millisecond
	spoilShare    = 0.02
)

// faultKind is one kind of injected fault with its weight.
type faultKind struct {
	weight int
	inject func(*simulation)
}

var faultKinds = []faultKind{
	{4, (*simulation).pauseController},
	{4, (*simulation).pauseInStep},
	{3, (*simulation).crashController},
	{3, (*simulation).crashInWrite},
	{1, (*simulation).flipBit},
	{2, (*simulation).loseAnyDisk},
	{3, (*simulation).slowDisk},
	{5, (*simulation).cutLinks},
	{3, (*simulation).splitNetwork},
	{3, (*simulation).changeNetwork},
	{4, (*simulation).freezeServer},
	{3, (*simulation).crashServer},
	{1, (*simulation).crashRouter},
	{1, (*simulation).pauseRouter},
	{2, (*simulation).transferLeadership},
	{1, (*simulation).listLeaving},
	{2, (*simulation).misleadRouters},
}

// injectFaults runs the period of faults. Each seed has its own pace.
func (s *simulation) injectFaults() {
	if s.checker.Violation() != nil {
		return
	}
	s.operating = true
	end := s.queue.Now() + faultPeriod
	pace := s.between(60*time.Millisecond, 600*time.Millisecond)
	s.watchRepairs(end)
	s.suspendMachines(end)
	for s.queue.Now() < end && s.checker.Violation() == nil {
		s.advance(min(end, s.queue.Now()+s.between(0, 2*pace)))
		s.injectOne()
	}
}

func (s *simulation) injectOne() { s.inject(faultKinds) }

// inject injects one of the kinds, by their weights.
func (s *simulation) inject(kinds []faultKind) {
	total := 0
	for _, kind := range kinds {
		total += kind.weight
	}
	choice := s.random.IntN(total)
	for _, kind := range kinds {
		if choice < kind.weight {
			kind.inject(s)
			return
		}
		choice -= kind.weight
	}
}

// endFaults heals everything: from here on nothing fails.
func (s *simulation) endFaults() {
	s.operating = false
	s.calmSince = s.queue.Now()
	s.trace("faults end")
	s.network.HealAll()
	clear(s.leaving)
	for _, each := range s.controllers {
		each.disk.CrashAfter(-1)
		each.slowSyncs = 0
		each.heal()
		if !each.alive {
			each.start()
		}
	}
	for _, each := range s.servers {
		each.heal()
		if !each.alive {
			each.start()
		}
	}
	for _, each := range s.routers {
		each.heal()
		if !each.alive {
			each.start()
		}
	}
}

// heal ends a pause at once.
func (p *process) heal() {
	p.pauseAfterSends = 0
	p.resume(p.generation)
}

func (s *simulation) anyController() *controller {
	return s.controllers[s.random.IntN(len(s.controllers))]
}

// likelyLeader returns the leader half of the time, since faults there matter
// most.
func (s *simulation) likelyLeader() *controller {
	if leader, found := s.leader(); found && s.chance(0.5) {
		return leader.owner
	}
	return s.anyController()
}

// pauseTime draws short pauses often and long ones sometimes.
func (s *simulation) pauseTime() time.Duration {
	if s.chance(0.5) {
		return s.between(shortestPause, 300*time.Millisecond)
	}
	return s.between(300*time.Millisecond, longestPause)
}

func (s *simulation) pauseController() { s.likelyLeader().pause(s.pauseTime()) }

// pauseInStep pauses a controller between two messages of one step.
func (s *simulation) pauseInStep() {
	target := s.likelyLeader()
	target.pauseAfterSends = 1 + s.random.IntN(12)
	target.pauseFor = s.pauseTime()
	target.sleepInStep = false
}

func (s *simulation) crashController() {
	target := s.likelyLeader()
	if target.alive {
		s.counts.Crashes++
		target.crash()
	}
}

func (s *simulation) freezeServer() {
	s.counts.Freezes++
	s.servers[s.random.IntN(len(s.servers))].pause(s.pauseTime())
}

func (s *simulation) crashServer() {
	target := s.servers[s.random.IntN(len(s.servers))]
	if !target.alive {
		return
	}
	s.counts.ServerCrashes++
	target.crash()
	s.restartLater(target.process, target.start)
}

func (s *simulation) crashRouter() {
	target := s.routers[s.random.IntN(len(s.routers))]
	if !target.alive {
		return
	}
	s.counts.RouterCrashes++
	target.crash()
	s.restartLater(target.process, target.start)
}

func (s *simulation) pauseRouter() { s.routers[s.random.IntN(len(s.routers))].pause(s.pauseTime()) }

func (s *simulation) restartLater(dead *process, start func()) {
	generation := dead.generation
	s.queue.After(s.pauseTime(), func() {
		if dead.generation == generation && !dead.alive {
			start()
		}
	})
}

func (s *simulation) transferLeadership() {
	leader, found := s.leader()
	if !found || leader.owner.paused {
		return
	}
	members := leader.core.Status().Membership.Members
	target := members[s.random.IntN(len(members))]
	s.counts.Transfers++
	s.trace("%s is asked to hand its leadership to %s", leader.owner.node, target.Name)
	leader.owner.step(func() {
		// A refusal leaves the leadership where it is.
		_ = leader.core.TransferLeadership(target.ID)
	})
}

// listLeaving puts a server on the platform's list as leaving for a while.
func (s *simulation) listLeaving() {
	target := s.servers[s.random.IntN(len(s.servers))].id
	s.counts.Leaving++
	s.leaving[target] = true
	s.queue.After(s.pauseTime(), func() {
		if target != s.drained {
			delete(s.leaving, target)
		}
	})
}

// misleadRouters lets a server's reports of load and health be wrong for a while.
func (s *simulation) misleadRouters() {
	target := s.servers[s.random.IntN(len(s.servers))]
	s.counts.Misled++
	target.misleads = true
	s.queue.After(s.pauseTime(), func() { target.misleads = false })
}

// spoil drops one object from a delta now and then, as a faulty controller or
// memory might, without changing its digest.
func (s *simulation) spoil(delta message.TableDelta) *message.TableDelta {
	if !s.operating || !s.chance(spoilShare) {
		return &delta
	}
	s.counts.MissedChanges++
	delta.Objects = delta.Objects[1:]
	return &delta
}
