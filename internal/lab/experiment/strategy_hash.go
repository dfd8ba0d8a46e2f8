package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// staticHashing gives shard i to the server i modulo their number.
type staticHashing struct{}

func (*staticHashing) decide(seen *view) choice {
	servers := seen.accepting()
	if len(servers) == 0 {
		return choice{}
	}
	return place(seen, func(position int) int { return servers[position%len(servers)] })
}

// boundedLoads is consistent hashing with bounded loads: a shard goes to the
// first server on the ring, from its hash on, that stays within the bound.
type boundedLoads struct {
	ring  []ringPoint
	loads smoothed
	last  time.Duration
}

type ringPoint struct {
	hash   uint64
	server int
}

const (
	// ringPoints is how often each server stands on the ring.
	ringPoints = 100
	// loadBound is the most that a server carries, as a multiple of the mean.
	loadBound = 1.25
	// reviewEvery is how often the baselines look at loads.
	reviewEvery = 30 * time.Second
)

func newBoundedLoads(workload Workload) *boundedLoads {
	b := &boundedLoads{loads: smoothed{}}
	for server := range workload.Servers + 1 {
		for point := range ringPoints {
			b.ring = append(b.ring, ringPoint{hash: state.HashKey(fmt.Sprintf("%d/%d", server, point)), server: server})
		}
	}
	slices.SortFunc(b.ring, func(x, y ringPoint) int { return cmp.Compare(x.hash, y.hash) })
	return b
}

// decide computes the owners anew when servers changed; between such changes it
// forwards only what lies above the bound.
func (b *boundedLoads) decide(seen *view) choice {
	b.loads.observe(seen)
	if !seen.serversChanged && !seen.first && seen.now-b.last < reviewEvery {
		return choice{}
	}
	b.last = seen.now
	room, count := b.room(seen)
	if count == 0 {
		return choice{}
	}
	wanted := make([]int, len(seen.shards))
	for position, known := range seen.shards {
		wanted[position] = noServer
		stays := !seen.serversChanged && known.owner != noServer && room[known.owner] >= b.loads[known.id]
		if stays {
			wanted[position] = known.owner
			room[known.owner] -= b.loads[known.id]
		}
	}
	for position, known := range seen.shards {
		if wanted[position] == noServer {
			wanted[position] = b.walk(known, room)
			room[wanted[position]] -= b.loads[known.id]
		}
	}
	return place(seen, func(position int) int { return wanted[position] })
}

// room is the bound of each server that accepts; others have none.
func (b *boundedLoads) room(seen *view) (room map[int]float64, count int) {
	total := 0.0
	for _, known := range seen.shards {
		total += b.loads[known.id]
	}
	servers := seen.accepting()
	room = make(map[int]float64, len(servers))
	for _, server := range servers {
		room[server] = loadBound*total/float64(len(servers)) + 1e-9
	}
	return room, len(servers)
}

// walk follows the ring to the first server with room, or else to the first
// that accepts.
func (b *boundedLoads) walk(known shardView, room map[int]float64) int {
	start := state.HashKey(fmt.Sprintf("shard-%d", known.id))
	begin, _ := slices.BinarySearchFunc(b.ring, start, func(point ringPoint, hash uint64) int { return cmp.Compare(point.hash, hash) })
	fallback := noServer
	for step := range b.ring {
		server := b.ring[(begin+step)%len(b.ring)].server
		left, accepts := room[server]
		if !accepts {
			continue
		}
		if left >= b.loads[known.id] {
			return server
		}
		if fallback == noServer {
			fallback = server
		}
	}
	return fallback
}
