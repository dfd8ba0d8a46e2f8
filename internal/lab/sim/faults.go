package sim

import (
	"path"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/lab/sim/network"
	"github.com/thorntiller/thorntiller/internal/membership"
	"github.com/thorntiller/thorntiller/internal/message"
)

// Times between faults and of their effects.
const (
	shortestPause = 20 * time.Millisecond
	longestPause  = 2500 * time.Millisecond
	repairLook    = 15 * time.Millisecond
	// secondLoss is the chance, at each look after a repair, of another loss.
	secondLoss = 0.3
	spoilShare = 0.02
	maxCrashOp = 12
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
	{5, (*simulation).cutLinks},
	{3, (*simulation).splitNetwork},
	{3, (*simulation).changeNetwork},
	{4, (*simulation).freezeServer},
	{3, (*simulation).crashServer},
	{1, (*simulation).crashRouter},
	{1, (*simulation).pauseRouter},
	{2, (*simulation).transferLeadership},
	{1, (*simulation).listLeaving},
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
	for s.queue.Now() < end && s.checker.Violation() == nil {
		s.advance(min(end, s.queue.Now()+s.between(0, 2*pace)))
		s.injectOne()
	}
}

func (s *simulation) injectOne() {
	total := 0
	for _, kind := range faultKinds {
		total += kind.weight
	}
	choice := s.random.IntN(total)
	for _, kind := range faultKinds {
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
}

func (s *simulation) crashController() {
	target := s.likelyLeader()
	if target.alive {
		s.counts.Crashes++
		target.crash()
	}
}

// crashInWrite lets the power fail at one of the next operations on the disk.
func (s *simulation) crashInWrite() {
	target := s.likelyLeader()
	if target.alive {
		s.counts.TornWrites++
		target.disk.CrashAfter(1 + s.random.IntN(maxCrashOp))
	}
}

// flipBit damages a file of a controller and crashes it. The machine may have
// to be replaced, so it counts as a lost disk.
func (s *simulation) flipBit() {
	target := s.anyController()
	if !target.alive || !s.mayLose(target) {
		return
	}
	file, found := s.anyFile(target)
	if !found {
		return
	}
	target.crash()
	bit, err := target.disk.FlipRandomBit(file, newDiskRandom(s.random))
	if err != nil {
		return
	}
	s.counts.FlippedBits++
	s.damaged[target.name()] = true
	s.trace("%s has bit %d of %s flipped", target.node, bit, file)
}

func (s *simulation) anyFile(of *controller) (string, bool) {
	var files []string
	for _, folder := range []string{dataFolder, path.Join(dataFolder, "wal"), path.Join(dataFolder, "snapshots")} {
		// A folder that is not there yet holds no file.
		names, _ := of.disk.ReadDir(folder)
		for _, name := range names {
			files = append(files, path.Join(folder, name))
		}
	}
	if len(files) == 0 {
		return "", false
	}
	return files[s.random.IntN(len(files))], true
}

func (s *simulation) loseAnyDisk() { s.loseDiskOf(s.likelyLeader()) }

func (s *simulation) loseDiskOf(target *controller) {
	if target.self.Replica != 0 && s.mayLose(target) {
		s.counts.LostDisks++
		target.loseDisk()
	}
}

// mayLose reports whether the loss of a machine's disk is one that the system
// claims to tolerate: the newest membership that is known to be committed keeps a
// quorum of voters with their disks. What a replica believes that lags behind
// does not count.
func (s *simulation) mayLose(target *controller) bool {
	members := s.committedMembership()
	return s.isIntactVoter(members, target.self.Replica) && s.keepsQuorum(members, target.self.Replica)
}

// committedMembership is the newest membership that a replica has applied, in
// practice the leader's.
func (s *simulation) committedMembership() consensus.Membership {
	newest := s.controllers[0].known
	for _, each := range s.controllers {
		if each.known.index > newest.index {
			newest = each.known
		}
	}
	return newest.members
}

func (s *simulation) isIntactVoter(members consensus.Membership, id consensus.ReplicaID) bool {
	host, found := s.hosts[id]
	if !found || s.lost[id] || s.damaged[host.name()] {
		return false
	}
	return membership.IsVoter(members, id)
}

func (s *simulation) keepsQuorum(members consensus.Membership, except consensus.ReplicaID) bool {
	voters, intact := 0, 0
	for _, member := range members.Members {
		if member.Learner {
			continue
		}
		voters++
		host := s.hosts[member.ID]
		if member.ID != except && !s.lost[member.ID] && !s.damaged[host.name()] {
			intact++
		}
	}
	return voters == 0 || intact > voters/2
}

// watchRepairs loses another machine right after a lost one was replaced.
func (s *simulation) watchRepairs(end time.Duration) {
	losses := s.counts.LostDisks
	var look func()
	look = func() {
		if s.queue.Now() >= end {
			return
		}
		target := s.anyController()
		if s.counts.LostDisks > losses && s.mayLose(target) {
			losses = s.counts.LostDisks
			if s.chance(secondLoss) {
				s.counts.LossesAfterRepair++
				s.loseDiskOf(target)
			}
		}
		s.queue.After(repairLook, look)
	}
	s.queue.After(repairLook, look)
}

// cutLinks cuts a machine off, or one direction between two, in silence.
func (s *simulation) cutLinks() {
	nodes := s.nodes()
	var cut [][2]network.Node
	one := s.likelyLeader().node
	if s.chance(0.4) {
		one = nodes[s.random.IntN(len(nodes))]
	}
	kind := s.random.IntN(4)
	for _, other := range nodes {
		if other == one || (kind == 3 && s.chance(0.7)) {
			continue
		}
		if kind != 1 {
			cut = append(cut, [2]network.Node{one, other})
		}
		if kind != 2 {
			cut = append(cut, [2]network.Node{other, one})
		}
	}
	duration := s.pauseTime()
	s.counts.Cuts++
	s.trace("%s is cut off (kind %d) for %v", one, kind, duration)
	s.cutFor(duration, cut)
}

// splitNetwork divides the machines in two parts, in silence. One controller,
// the leader if there is one, stands alone with servers and routers that reach
// no other. Most splits last long enough for another one to be elected, and the
// lone leader may be paused at first, so that it wakes up without knowing.
func (s *simulation) splitNetwork() {
	lone := s.anyController()
	if leader, found := s.leader(); found {
		lone = leader.owner
	}
	alone := lone.node
	var parts [2][]network.Node
	for _, node := range s.nodes() {
		side := s.random.IntN(2)
		if s.isController(node) {
			side = 1
		}
		if node == alone {
			side = 0
		}
		parts[side] = append(parts[side], node)
	}
	var cut [][2]network.Node
	for _, one := range parts[0] {
		for _, other := range parts[1] {
			cut = append(cut, [2]network.Node{one, other}, [2]network.Node{other, one})
		}
	}
	duration := s.between(shortestPause, longestPause)
	s.counts.Splits++
	s.trace("%v are split from the others for %v", parts[0], duration)
	s.cutFor(duration, cut)
	if s.chance(0.5) {
		lone.pause(s.between(0, duration))
	}
}

func (s *simulation) isController(node network.Node) bool {
	return slices.ContainsFunc(s.controllers, func(each *controller) bool { return each.node == node })
}

func (s *simulation) cutFor(duration time.Duration, cut [][2]network.Node) {
	for _, link := range cut {
		s.network.Cut(link[0], link[1])
	}
	s.queue.After(duration, func() {
		for _, link := range cut {
			s.network.Heal(link[0], link[1])
		}
	})
}

func (s *simulation) nodes() []network.Node {
	var nodes []network.Node
	for _, each := range s.controllers {
		nodes = append(nodes, each.node)
	}
	for _, each := range s.servers {
		nodes = append(nodes, each.node)
	}
	for _, each := range s.routers {
		nodes = append(nodes, each.node)
	}
	return nodes
}

func (s *simulation) changeNetwork() {
	conditions := network.Calm()
	if s.chance(0.7) {
		conditions.Loss = 0.2 * s.random.Float64()
		conditions.Duplicate = 0.2 * s.random.Float64()
		conditions.Slow = 0.3 * s.random.Float64()
		conditions.SlowDelay = s.between(5*time.Millisecond, 800*time.Millisecond)
	}
	s.counts.NetworkChanges++
	s.trace("network: loss %.2f, duplicates %.2f, slow %.2f up to %v",
		conditions.Loss, conditions.Duplicate, conditions.Slow, conditions.SlowDelay)
	s.network.Set(conditions)
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
	s.queue.After(s.pauseTime(), func() { delete(s.leaving, target) })
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
