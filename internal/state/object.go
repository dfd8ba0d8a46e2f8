package state

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// HashKey returns the 64-bit hash that is a key's position in its service's key space.
func HashKey(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Contains reports whether the hash lies in the range.
func (r KeyRange) Contains(hash uint64) bool {
	return r.First <= hash && hash <= r.Last
}

// keySpace is the number of key hashes.
const keySpace = float64(1<<63) * 2

// Width returns the fraction (0 to 1) of the key space that the range covers.
func (r KeyRange) Width() float64 {
	return (float64(r.Last-r.First) + 1) / keySpace
}

// Key returns the identifier of the object, unique in the cluster.
func (o Object) Key() string {
	switch {
	case o.Service != nil:
		return "service/" + string(o.Service.Name)
	case o.Server != nil:
		return "server/" + string(o.Server.ID)
	case o.Shard != nil:
		return "shard/" + strconv.FormatUint(uint64(o.Shard.ID), 10)
	case o.Router != nil:
		return "router/" + string(o.Router.ID)
	case o.Partition != nil:
		return "partition/" + strconv.Itoa(o.Partition.Number)
	default:
		return ""
	}
}

// Revision returns the revision of the object's last change.
func (o Object) Revision() Revision {
	switch {
	case o.Service != nil:
		return o.Service.Revision
	case o.Server != nil:
		return o.Server.Revision
	case o.Shard != nil:
		return o.Shard.Revision
	case o.Router != nil:
		return o.Router.Revision
	case o.Partition != nil:
		return o.Partition.Revision
	default:
		return 0
	}
}
