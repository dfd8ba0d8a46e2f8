// Package table holds the routing table of one router: an immutable snapshot
// of services, servers, shards, routers and record partitions that is replaced
// as a whole at each change. Readers load the current Table without a lock and
// hold it for as long as they need a consistent view.
//
// A shard takes 32 bytes and contains no pointer. A change copies only the buckets
// and chunks that it touches, so its cost hardly grows with the number of shards.
package table
