package table

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// chunkSize bounds the entries that one change copies.
const chunkSize = 512

// spareShare is the part of a chunk, one in so many, that may be unused memory.
const spareShare = 8

// chunk holds neighbouring shards of one service, ordered by the first hash of
// their ranges; never none. A sealed chunk is never changed.
type chunk struct {
	entries []entry
	// lasts holds the ends of the ranges. A sealed chunk whose ranges follow each
	// other without a gap needs only the last one.
	lasts []uint64
	last  uint64
	// low and high bound the shard identifiers of a sealed chunk.
	low, high state.ShardID
}

func newChunk(capacity int) *chunk {
	return &chunk{entries: make([]entry, 0, capacity), lasts: make([]uint64, 0, capacity)}
}

// position returns the last entry that begins at or before the hash, or -1.
func (c *chunk) position(hash uint64) int {
	low, high := 0, len(c.entries)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if c.entries[middle].first <= hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low - 1
}

// search returns the place of the entry that begins at the hash, and whether
// there is one.
func (c *chunk) search(first uint64) (int, bool) {
	at := c.position(first)
	if at >= 0 && c.entries[at].first == first {
		return at, true
	}
	return at + 1, false
}

// end returns the last hash of an entry's range.
func (c *chunk) end(at int) uint64 {
	switch {
	case c.lasts != nil:
		return c.lasts[at]
	case at+1 < len(c.entries):
		return c.entries[at+1].first - 1
	default:
		return c.last
	}
}

// opened returns a copy that may be changed until it is sealed.
func (c *chunk) opened() *chunk {
	copied := newChunk(len(c.entries))
	copied.entries = append(copied.entries, c.entries...)
	for at := range c.entries {
		copied.lasts = append(copied.lasts, c.end(at))
	}
	return copied
}

// seal ends the changes and drops what the sealed form does not need.
func (c *chunk) seal() {
	c.low, c.high = c.entries[0].shard, c.entries[0].shard
	followed := true
	for at := range c.entries {
		shard := c.entries[at].shard
		c.low, c.high = min(c.low, shard), max(c.high, shard)
		followed = followed && (at == 0 || c.lasts[at-1]+1 == c.entries[at].first)
	}
	c.last = c.lasts[len(c.lasts)-1]
	if followed {
		c.lasts = nil
	}
	if cap(c.entries)-len(c.entries) > len(c.entries)/spareShare {
		c.entries = append(make([]entry, 0, len(c.entries)), c.entries...)
	}
}

// equal reports whether two sealed chunks hold the same shards.
func (c *chunk) equal(other *chunk) bool {
	return c.last == other.last && slices.Equal(c.entries, other.entries) && slices.Equal(c.lasts, other.lasts)
}

// insert adds an entry at a place of an open chunk.
func (c *chunk) insert(at int, added entry, last uint64) {
	c.entries = slices.Insert(c.entries, at, added)
	c.lasts = slices.Insert(c.lasts, at, last)
}

// remove takes an entry out of an open chunk.
func (c *chunk) remove(at int) {
	c.entries = slices.Delete(c.entries, at, at+1)
	c.lasts = slices.Delete(c.lasts, at, at+1)
}

// halve moves the upper half of an open chunk to a new one.
func (c *chunk) halve() *chunk {
	half := len(c.entries) / 2
	upper := newChunk(len(c.entries) - half)
	upper.entries = append(upper.entries, c.entries[half:]...)
	upper.lasts = append(upper.lasts, c.lasts[half:]...)
	c.entries = c.entries[:half]
	c.lasts = c.lasts[:half]
	return upper
}
