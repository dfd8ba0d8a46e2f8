package room

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// maxPoolSize is the size to which the pools of one service in one zone are divided, each with one
// keeper: 32 servers with two slots that take 200 ms are some 300 requests per second, whose
// messages take 30 KB/s of the keeper's link.
const maxPoolSize = 32

// Pool is a group of servers of one service that have the same keeper. Requests without a key may
// go to any of them.
type Pool struct {
	// Name identifies the pool.
	Name    string
	Keeper  string
	Zone    string
	Servers []directory.Instance
}

// Pools divides the servers of a service among keepers. The servers of a zone get a keeper in that
// zone, if it has one.
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
		parts := uint64(1 + (zones[server.Zone]-1)/maxPoolSize)
		key := poolKey{zone: server.Zone, part: xxhash.Sum64String(string(server.ID)) % parts}
		position, ok := positions[key]
		if !ok {
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

// KeeperOf returns the address of the keeper of a server that alone may serve its keys; empty if
// there are no keepers.
func KeeperOf(server directory.Instance, keepers []directory.Keeper) string {
	return keeperOf(string(server.ID), server.Zone, keepers)
}

// keeperOf chooses by rendezvous hashing, so that when a keeper is lost only the names assigned to
// it move.
func keeperOf(name, zone string, keepers []directory.Keeper) string {
	var best directory.Keeper
	bestWeight := uint64(0)
	for _, keeper := range keepers {
		weight := hashWeight(name, keeper.Address)
		local, bestLocal := keeper.Zone == zone, best.Zone == zone
		if best.Address == "" || local && !bestLocal || local == bestLocal && weight > bestWeight {
			best, bestWeight = keeper, weight
		}
	}
	return best.Address
}

func hashWeight(name, keeper string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(name) // never fails
	_, _ = hash.WriteString(keeper)
	return hash.Sum64()
}
