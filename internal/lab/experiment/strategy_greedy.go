package experiment

import "time"

// byCount is how the controllers placed shards before: an orphan goes to the
// server with the fewest shards, and nothing moves for the sake of load.
type byCount struct{}

func (*byCount) decide(seen *view) choice {
	counts := make(map[int]int)
	for _, known := range seen.shards {
		counts[known.owner]++
	}
	servers := seen.accepting()
	return place(seen, func(position int) int {
		owner := seen.shards[position].owner
		if owner != noServer && seen.servers[owner].accepts {
			return owner
		}
		best := noServer
		for _, server := range servers {
			if best == noServer || counts[server] < counts[best] {
				best = server
			}
		}
		counts[best]++
		return best
	})
}

// greedy gives orphans to the least loaded server, and at each review moves
// shards from the most to the least loaded one until they are near each other.
// It does not ask what a move costs.
type greedy struct {
	loads smoothed
	last  time.Duration
}

const (
	// greedyStop is the load, as a multiple of the mean, at which greedy stops.
	greedyStop = 1.05
	// greedySteps bounds one review.
	greedySteps = 64
	// greedyBase is what a shard counts besides its load, in busy slots.
	greedyBase = 1e-4
)

func (g *greedy) decide(seen *view) choice {
	g.loads.observe(seen)
	servers := seen.accepting()
	if len(servers) == 0 {
		return choice{}
	}
	owners := make([]int, len(seen.shards))
	carried := make([]float64, len(seen.servers))
	for position, known := range seen.shards {
		owners[position] = known.owner
		if known.owner != noServer {
			carried[known.owner] += g.weight(known)
		}
	}
	for position, known := range seen.shards {
		if known.owner == noServer || !seen.servers[known.owner].accepts {
			owners[position] = least(servers, carried)
			carried[owners[position]] += g.weight(known)
		}
	}
	if seen.now-g.last >= reviewEvery {
		g.last = seen.now
		g.level(seen, servers, owners, carried)
	}
	return place(seen, func(position int) int { return owners[position] })
}

func (g *greedy) weight(known shardView) float64 {
	return g.loads[known.id] + greedyBase
}

// level moves the largest shard that fits from the most to the least loaded
// server, again and again.
func (g *greedy) level(seen *view, servers, owners []int, carried []float64) {
	for range greedySteps {
		hot, cold := most(servers, carried), least(servers, carried)
		if carried[hot] <= greedyStop*mean(servers, carried) {
			return
		}
		best := noServer
		for position, known := range seen.shards {
			fits := owners[position] == hot && !known.moving && g.weight(known) < carried[hot]-carried[cold]
			if fits && (best == noServer || g.weight(known) > g.weight(seen.shards[best])) {
				best = position
			}
		}
		if best == noServer {
			return
		}
		weight := g.weight(seen.shards[best])
		owners[best] = cold
		carried[hot] -= weight
		carried[cold] += weight
	}
}

func least(servers []int, carried []float64) int {
	best := servers[0]
	for _, server := range servers {
		if carried[server] < carried[best] {
			best = server
		}
	}
	return best
}

func most(servers []int, carried []float64) int {
	best := servers[0]
	for _, server := range servers {
		if carried[server] > carried[best] {
			best = server
		}
	}
	return best
}

func mean(servers []int, carried []float64) float64 {
	total := 0.0
	for _, server := range servers {
		total += carried[server]
	}
	return total / float64(len(servers))
}
