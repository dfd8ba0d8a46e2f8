package sim

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/sim/network"
)

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
	if s.leaseWorld != nil {
		for _, each := range s.leaseWorld.instances {
			nodes = append(nodes, each.node)
		}
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
