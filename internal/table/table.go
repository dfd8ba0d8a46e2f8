package table

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

const objectBuckets = 128

// Table is one immutable version of the routing table.
type Table struct {
	cluster  message.ClusterID
	revision state.Revision
	digest   uint64

	services   map[state.ServiceName]*serviceView
	servers    bucketMap[state.ServerID, *state.Server]
	routers    bucketMap[state.RouterID, *state.Router]
	partitions bucketMap[int, *state.RecordPartition]
	// shards is how many shards there are, newest the highest identifier that any
	// had.
	shards int
	newest state.ShardID
	// owners are the names that shards refer to by number.
	owners []string
	names  *nameIndex
}

// serviceView is a service with what belongs to it.
type serviceView struct {
	// service is nil while only servers or shards of it are known.
	service *state.Service
	// servers are ordered by identifier.
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

// Summary describes a table in a few numbers.
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
		servers:    newBucketMap[state.ServerID, *state.Server](objectBuckets, hashName[state.ServerID]),
		routers:    newBucketMap[state.RouterID, *state.Router](objectBuckets, hashName[state.RouterID]),
		partitions: newBucketMap[int, *state.RecordPartition](objectBuckets, func(n int) uint64 { return uint64(n) }),
		names:      newNameIndex(),
	}
}

func hashName[N ~string](name N) uint64 {
	return xxhash.Sum64String(string(name))
}

// Cluster returns the group of controllers that the table came from.
func (t *Table) Cluster() message.ClusterID { return t.cluster }

// Revision returns the revision of the table; zero before the first snapshot.
func (t *Table) Revision() state.Revision { return t.revision }

// Digest returns the exclusive-or of the digests of all objects.
func (t *Table) Digest() uint64 { return t.digest }

// Summary returns the numbers of objects, the revision and the digest.
func (t *Table) Summary() Summary {
	return Summary{
		Cluster: t.cluster, Revision: t.revision, Digest: t.digest,
		Services: len(t.services), Servers: t.servers.length, Shards: t.shards,
		Routers: t.routers.length, Partitions: t.partitions.length,
	}
}

// Service returns the configuration of a service. The result is shared and
// must not be changed, as with every pointer that a Table gives out.
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

// Servers returns the servers of a service, ordered by identifier.
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
		Phase: item.phase(), Owner: state.ServerID(t.owners[item.owner()]),
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
