package table

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// rangeIndex holds the shards of one service ordered by the first hash of
// their ranges, in sealed chunks. Versions share the unchanged chunks.
type rangeIndex struct {
	// firsts holds the first hash of each chunk.
	firsts []uint64
	chunks []*chunk
}

// chunkOf returns the index of the chunk that holds, or would hold, the hash,
// given the first hash of each chunk.
func chunkOf(firsts []uint64, hash uint64) int {
	low, high := 0, len(firsts)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if firsts[middle] <= hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return max(low-1, 0)
}

// lookup returns the entry whose range contains the hash, and the last hash of
// that range. If it returns false and an entry, that is the preceding one.
func (r *rangeIndex) lookup(hash uint64) (*entry, uint64, bool) {
	if len(r.chunks) == 0 {
		return nil, 0, false
	}
	c := r.chunks[chunkOf(r.firsts, hash)]
	at := c.floorIndex(hash)
	if at < 0 {
		return nil, 0, false
	}
	last := c.end(at)
	return &c.entries[at], last, hash <= last
}

// hasShardAt reports whether the index holds the shard with a range that begins
// at the hash.
func (r *rangeIndex) hasShardAt(first uint64, shard state.ShardID) bool {
	found, _, _ := r.lookup(first)
	return found != nil && found.first == first && found.shard == shard
}

// find calls visit for each wanted shard with the first hash of its range. It
// skips chunks whose bounds of shard IDs exclude all wanted shards.
func (r *rangeIndex) find(wanted map[state.ShardID]struct{}, visit func(uint64, state.ShardID)) {
	low, high := shardIDBounds(wanted)
	for _, c := range r.chunks {
		if c.maxShard < low || c.minShard > high {
			continue
		}
		for at := range c.entries {
			item := &c.entries[at]
			if _, found := wanted[item.shard]; found {
				visit(item.first, item.shard)
			}
		}
	}
}

func shardIDBounds(wanted map[state.ShardID]struct{}) (low, high state.ShardID) {
	low = ^state.ShardID(0)
	for shard := range wanted {
		low, high = min(low, shard), max(high, shard)
	}
	return low, high
}

// rangeEdit collects changes that become the next version of a rangeIndex.
type rangeEdit struct {
	firsts []uint64
	chunks []*chunk
	// unsealed holds the chunks that this edit may change in place.
	unsealed map[*chunk]struct{}
	// previous is an index whose chunks are reused where they are equal; may be nil.
	previous *rangeIndex
}

func (r *rangeIndex) edit() *rangeEdit {
	return &rangeEdit{
		firsts: slices.Clone(r.firsts), chunks: slices.Clone(r.chunks), unsealed: make(map[*chunk]struct{}),
	}
}

func (e *rangeEdit) finish() *rangeIndex {
	for changed := range e.unsealed {
		changed.seal()
	}
	if e.previous != nil {
		for index := range e.chunks {
			e.reuseEqualChunk(index)
		}
	}
	return &rangeIndex{firsts: slices.Clip(e.firsts), chunks: slices.Clip(e.chunks)}
}

// reuseEqualChunk replaces a sealed chunk by an equal one of the previous index,
// if there is one.
func (e *rangeEdit) reuseEqualChunk(index int) {
	at, found := slices.BinarySearch(e.previous.firsts, e.firsts[index])
	if found && e.previous.chunks[at].equal(e.chunks[index]) {
		e.chunks[index] = e.previous.chunks[at]
	}
}

// sealLastChunk seals the last chunk before another one is appended.
func (e *rangeEdit) sealLastChunk() {
	index := len(e.chunks) - 1
	if index < 0 {
		return
	}
	if _, unsealed := e.unsealed[e.chunks[index]]; !unsealed {
		return
	}
	delete(e.unsealed, e.chunks[index])
	e.chunks[index].seal()
	if e.previous != nil {
		e.reuseEqualChunk(index)
	}
}

// mutableChunk returns the chunk at an index, replaced by an unsealed copy if this
// edit may not change it in place.
func (e *rangeEdit) mutableChunk(index int) *chunk {
	current := e.chunks[index]
	if _, unsealed := e.unsealed[current]; unsealed {
		return current
	}
	copied := current.mutableCopy()
	e.chunks[index] = copied
	e.unsealed[copied] = struct{}{}
	return copied
}

// put inserts the entry, or replaces and returns the one with the same first
// hash. The last hash of the entry's range is last.
func (e *rangeEdit) put(added entry, last uint64) (replaced entry, found bool) {
	index := chunkOf(e.firsts, added.first)
	if e.startsNewChunk(index, added.first) {
		e.appendChunk(added, last)
		return entry{}, false
	}
	c := e.mutableChunk(index)
	at, found := c.search(added.first)
	if found {
		replaced = c.entries[at]
		c.entries[at] = added
		c.ends[at] = last
		return replaced, true
	}
	c.insert(at, added, last)
	e.firsts[index] = c.entries[0].first
	e.split(index)
	return entry{}, false
}

// startsNewChunk reports whether an entry is to be appended in a new chunk: it
// sorts after all others, and the last chunk is full or a chunk of the previous
// index begins at its hash.
func (e *rangeEdit) startsNewChunk(index int, first uint64) bool {
	if len(e.chunks) == 0 {
		return true
	}
	entries := e.chunks[index].entries
	if index+1 < len(e.chunks) || first <= entries[len(entries)-1].first {
		return false
	}
	if len(entries) >= chunkSize || e.previous == nil {
		return len(entries) >= chunkSize
	}
	_, boundary := slices.BinarySearch(e.previous.firsts, first)
	return boundary
}

// appendChunk appends a chunk that holds one entry.
func (e *rangeEdit) appendChunk(added entry, last uint64) {
	e.sealLastChunk()
	created := newChunk(chunkSize)
	created.insert(0, added, last)
	e.unsealed[created] = struct{}{}
	e.chunks = append(e.chunks, created)
	e.firsts = append(e.firsts, added.first)
}

// split halves a chunk that holds more than chunkSize entries.
func (e *rangeEdit) split(index int) {
	c := e.chunks[index]
	if len(c.entries) <= chunkSize {
		return
	}
	upper := c.halve()
	e.unsealed[upper] = struct{}{}
	e.chunks = slices.Insert(e.chunks, index+1, upper)
	e.firsts = slices.Insert(e.firsts, index+1, upper.entries[0].first)
}

// remove deletes the shard if its range begins at the hash, and returns its entry.
func (e *rangeEdit) remove(first uint64, shard state.ShardID) (entry, bool) {
	if len(e.chunks) == 0 {
		return entry{}, false
	}
	index := chunkOf(e.firsts, first)
	at, found := e.chunks[index].search(first)
	if !found || e.chunks[index].entries[at].shard != shard {
		return entry{}, false
	}
	removed := e.chunks[index].entries[at]
	if len(e.chunks[index].entries) == 1 {
		e.removeChunk(index)
		return removed, true
	}
	c := e.mutableChunk(index)
	c.remove(at)
	e.firsts[index] = c.entries[0].first
	return removed, true
}

// removeChunk removes a chunk whose only entry is deleted.
func (e *rangeEdit) removeChunk(index int) {
	delete(e.unsealed, e.chunks[index])
	e.chunks = slices.Delete(e.chunks, index, index+1)
	e.firsts = slices.Delete(e.firsts, index, index+1)
}
