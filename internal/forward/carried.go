package forward

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests after which a connection is not used again, which bounds the memory of their
// identifiers to 4 KiB a connection.
const maxCarried = 1024

// carriedIDs remembers the identifiers of all requests that a connection has carried, by a hash. Two identifiers with
// the same hash count as one, which costs a connection.
type carriedIDs struct{ hashes []uint32 }

var carriedSeed = maphash.MakeSeed()

func hashOf(id string) uint32 { return uint32(maphash.String(carriedSeed, id)) }

func (c *carriedIDs) add(id string) { c.hashes = append(c.hashes, hashOf(id)) }

func (c *carriedIDs) has(id string) bool { return slices.Contains(c.hashes, hashOf(id)) }

func (c *carriedIDs) full() bool { return len(c.hashes) >= maxCarried }
