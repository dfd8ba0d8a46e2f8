package room

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// largestPool bounds the servers of one service in one zone that a single keeper keeps: 32
// servers with two slots that take 200 ms are some 300 requests a second, whose messages take
// 30 KB/s of the keeper's link.
const largestPool = 32

// Pool is a group of servers of one service that have the same keeper. Requests without a
// key may go to any of them.
type Pool struct {
	// Name tells pools apart.
	Name    string
	Keeper  string
	Zone    string
	Servers []directory.Instance
}

// Pools divides the servers of a service among keepers: those of one zone to a keeper of
// that zone, where there is one.
func Pools(service string, servers []directory.Instance, keepers []directory.Keeper) []Pool {
	if len(keepers) == 0 {
		return nil
	}
	zones := make(map[string]int)
	for _, server := range servers {
		zones[server.Zone]++
	}
	var pools []Pool
	positions := make(map[poolKey]int)
	for _, server := range servers {
		parts := uint64(1 + (zones[server.Zone]-1)/largestPool)
		key := poolKey{zone: server.Zone, part: xxhash.Sum64String(string(server.ID)) % parts}
		position, met := positions[key]
		if !met {
			position = len(pools)
			positions[key] = position
			name := fmt.Sprintf("%s/%s/%d", service, server.Zone, key.part)
			pools = append(pools, Pool{Name: name, Zone: server.Zone, Keeper: keeperOf(name, server.Zone, keepers)})
		}
		pools[position].Servers = append(pools[position].Servers, server)
	}
	return pools
}

type poolKey struct {
	zone string
	part uint64
}

// KeeperOf returns the address of the keeper of a server whose keys it alone may serve; empty
// if there is none.
func KeeperOf(server directory.Instance, keepers []directory.Keeper) string {
	return keeperOf(string(server.ID), server.Zone, keepers)
}

// keeperOf is rendezvous hashing: when a keeper goes, only what it kept gets another one.
func keeperOf(name, zone string, keepers []directory.Keeper) string {
	var best directory.Keeper
	bestWeight := uint64(0)
	for _, keeper := range keepers {
		weight := weightOf(name, keeper.Address)
		near, bestNear := keeper.Zone == zone, best.Zone == zone
		if best.Address == "" || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestWeight = keeper, weight
		}
	}
	return best.Address
}

func weightOf(name, keeper string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(name) // never fails
	_, _ = hash.WriteString(keeper)
	return hash.Sum64()
}
