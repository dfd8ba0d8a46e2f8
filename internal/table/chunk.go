package table

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// chunkSize is the maximum number of entries in a chunk, and so of those that
// one change copies.
const chunkSize = 512

// spareDivisor limits the unused capacity of a sealed chunk to 1/spareDivisor of
// its length.
const spareDivisor = 8

// chunk holds consecutive shards of one service, ordered by the first hash of
// their ranges. It is never empty once it is in an index. A sealed chunk is
// immutable.
type chunk struct {
	entries []entry
	// ends holds the last hash of each entry's range. It is nil in a sealed chunk
	// whose ranges are contiguous, where lastEnd is enough.
	ends    []uint64
	lastEnd uint64
	// minShard and maxShard bound the shard IDs of a sealed chunk.
	minShard, maxShard state.ShardID
}

func newChunk(capacity int) *chunk {
	return &chunk{entries: make([]entry, 0, capacity), ends: make([]uint64, 0, capacity)}
}

// floorIndex returns the index of the last entry whose range begins at or before
// the hash, or -1.
func (c *chunk) floorIndex(hash uint64) int {
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

// search returns the index of the entry whose range begins at the hash and true,
// or the index at which to insert one and false.
func (c *chunk) search(first uint64) (int, bool) {
	at := c.floorIndex(first)
	if at >= 0 && c.entries[at].first == first {
		return at, true
	}
	return at + 1, false
}

// end returns the last hash of the range of the entry at an index.
func (c *chunk) end(at int) uint64 {
	switch {
	case c.ends != nil:
		return c.ends[at]
	case at+1 < len(c.entries):
		return c.entries[at+1].first - 1
	default:
		return c.lastEnd
	}
}

// mutableCopy returns an unsealed copy, which may be changed until it is sealed.
func (c *chunk) mutableCopy() *chunk {
	copied := newChunk(len(c.entries))
	copied.entries = append(copied.entries, c.entries...)
	for at := range c.entries {
		copied.ends = append(copied.ends, c.end(at))
	}
	return copied
}

// seal makes the chunk immutable and frees the memory that a sealed chunk does
// not need.
func (c *chunk) seal() {
	c.minShard, c.maxShard = c.entries[0].shard, c.entries[0].shard
	contiguous := true
	for at := range c.entries {
		shard := c.entries[at].shard
		c.minShard, c.maxShard = min(c.minShard, shard), max(c.maxShard, shard)
		contiguous = contiguous && (at == 0 || c.ends[at-1]+1 == c.entries[at].first)
	}
	c.lastEnd = c.ends[len(c.ends)-1]
	if contiguous {
		c.ends = nil
	}
	if cap(c.entries)-len(c.entries) > len(c.entries)/spareDivisor {
		c.entries = append(make([]entry, 0, len(c.entries)), c.entries...)
	}
}

// equal reports whether two sealed chunks hold the same shards.
func (c *chunk) equal(other *chunk) bool {
	return c.lastEnd == other.lastEnd && slices.Equal(c.entries, other.entries) && slices.Equal(c.ends, other.ends)
}

// insert inserts an entry into an unsealed chunk at an index.
func (c *chunk) insert(at int, added entry, last uint64) {
	c.entries = slices.Insert(c.entries, at, added)
	c.ends = slices.Insert(c.ends, at, last)
}

// remove deletes the entry at an index of an unsealed chunk.
func (c *chunk) remove(at int) {
	c.entries = slices.Delete(c.entries, at, at+1)
	c.ends = slices.Delete(c.ends, at, at+1)
}

// halve moves the upper half of an unsealed chunk to a new chunk.
func (c *chunk) halve() *chunk {
	half := len(c.entries) / 2
	upper := newChunk(len(c.entries) - half)
	upper.entries = append(upper.entries, c.entries[half:]...)
	upper.ends = append(upper.ends, c.ends[half:]...)
	c.entries = c.entries[:half]
	c.ends = c.ends[:half]
	return upper
}
