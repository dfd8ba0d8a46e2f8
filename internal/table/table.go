package table

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

const bucketCount = 128

// Table is one immutable version of the routing table.
type Table struct {
	cluster  message.ClusterID
	revision state.Revision
	digest   uint64

	services   map[state.ServiceName]*serviceView
	servers    bucketMap[state.ServerID, *state.Server]
	routers    bucketMap[state.RouterID, *state.Router]
	partitions bucketMap[int, *state.RecordPartition]
	shardCount int
	// maxShardID is the highest ID that any shard has had.
	maxShardID state.ShardID
	// ownerNames holds the owner names by the numbers that entries refer to.
	ownerNames []string
	names      *nameIndex
}

// serviceView is a service with its servers and shards.
type serviceView struct {
	// service is nil while only servers or shards of the service are known.
	service *state.Service
	// servers is sorted by ID.
	servers []*state.Server
	ranges  *rangeIndex
}

// Shard is the routing view of one shard.
type Shard struct {
	ID    state.ShardID
	Range state.KeyRange
	Phase state.ShardPhase
	// Owner is empty while the shard is unowned.
	Owner state.ServerID
	Epoch state.Epoch
}

// Summary holds the revision, the digest and the object counts of a table.
type Summary struct {
	Cluster    message.ClusterID `json:"cluster"`
	Revision   state.Revision    `json:"revision"`
	Digest     uint64            `json:"digest,string"`
	Services   int               `json:"services"`
	Servers    int               `json:"servers"`
	Shards     int               `json:"shards"`
	Routers    int               `json:"routers"`
	Partitions int               `json:"partitions"`
}

func emptyTable() *Table {
	return &Table{
		services:   make(map[state.ServiceName]*serviceView),
		servers:    newBucketMap[state.ServerID, *state.Server](bucketCount, hashName[state.ServerID]),
		routers:    newBucketMap[state.RouterID, *state.Router](bucketCount, hashName[state.RouterID]),
		partitions: newBucketMap[int, *state.RecordPartition](bucketCount, func(n int) uint64 { return uint64(n) }),
		names:      newNameIndex(),
	}
}

func hashName[N ~string](name N) uint64 {
	return xxhash.Sum64String(string(name))
}

// Cluster returns the controller cluster that the table came from.
func (t *Table) Cluster() message.ClusterID { return t.cluster }

// Revision returns the revision of the table; zero before the first snapshot.
func (t *Table) Revision() state.Revision { return t.revision }

// Digest returns the XOR of the digests of all objects.
func (t *Table) Digest() uint64 { return t.digest }

// Summary returns the revision, the digest and the object counts.
func (t *Table) Summary() Summary {
	return Summary{
		Cluster: t.cluster, Revision: t.revision, Digest: t.digest,
		Services: len(t.services), Servers: t.servers.length, Shards: t.shardCount,
		Routers: t.routers.length, Partitions: t.partitions.length,
	}
}

// Service returns the configuration of a service. The result is shared and must
// not be modified, like every pointer and slice that a Table returns.
func (t *Table) Service(name state.ServiceName) (*state.Service, bool) {
	view, found := t.services[name]
	if !found || view.service == nil {
		return nil, false
	}
	return view.service, true
}

// Server returns one server.
func (t *Table) Server(id state.ServerID) (*state.Server, bool) {
	return t.servers.get(id)
}

// Servers returns the servers of a service, sorted by ID.
func (t *Table) Servers(name state.ServiceName) []*state.Server {
	view, found := t.services[name]
	if !found {
		return nil
	}
	return view.servers
}

// EachServer calls visit for every server, in no fixed order.
func (t *Table) EachServer(visit func(*state.Server)) {
	t.servers.each(func(_ state.ServerID, server *state.Server) bool {
		visit(server)
		return true
	})
}

// Router returns one router.
func (t *Table) Router(id state.RouterID) (*state.Router, bool) {
	return t.routers.get(id)
}

// OpenRouters counts the routers with an open session.
func (t *Table) OpenRouters() int {
	open := 0
	t.routers.each(func(_ state.RouterID, router *state.Router) bool {
		if router.Session.Open {
			open++
		}
		return true
	})
	return open
}

// Partition returns one record partition.
func (t *Table) Partition(number int) (*state.RecordPartition, bool) {
	return t.partitions.get(number)
}

// Partitions returns the number of record partitions.
func (t *Table) Partitions() int { return t.partitions.length }

// Lookup returns the shard of a service that holds the key hash.
func (t *Table) Lookup(name state.ServiceName, keyHash uint64) (Shard, bool) {
	view, found := t.services[name]
	if !found {
		return Shard{}, false
	}
	item, last, found := view.ranges.lookup(keyHash)
	if !found {
		return Shard{}, false
	}
	return Shard{
		ID: item.shard, Range: state.KeyRange{First: item.first, Last: last}, Epoch: item.epoch(),
		Phase: item.phase(), Owner: state.ServerID(t.ownerNames[item.owner()]),
	}, true
}

// putServer replaces the server's earlier version, or adds the server.
func (v *serviceView) putServer(server *state.Server) {
	at, found := v.search(server.ID)
	if found {
		v.servers[at] = server
		return
	}
	v.servers = slices.Insert(v.servers, at, server)
}

func (v *serviceView) removeServer(id state.ServerID) {
	if at, found := v.search(id); found {
		v.servers = slices.Delete(v.servers, at, at+1)
	}
}

func (v *serviceView) search(id state.ServerID) (int, bool) {
	return slices.BinarySearchFunc(v.servers, id, func(server *state.Server, wanted state.ServerID) int {
		return cmp.Compare(server.ID, wanted)
	})
}
