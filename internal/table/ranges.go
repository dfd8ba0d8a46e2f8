package table

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// rangeIndex holds the shards of one service ordered by the first hash of
// their ranges, in sealed chunks. Versions share the chunks that did not change.
type rangeIndex struct {
	// firsts holds the first hash of each chunk.
	firsts []uint64
	chunks []*chunk
}

// chunkOf returns the chunk that holds, or would hold, the hash.
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

// lookup returns the entry whose range contains the hash, and the range's end.
func (r *rangeIndex) lookup(hash uint64) (*entry, uint64, bool) {
	if len(r.chunks) == 0 {
		return nil, 0, false
	}
	holder := r.chunks[chunkOf(r.firsts, hash)]
	at := holder.position(hash)
	if at < 0 {
		return nil, 0, false
	}
	last := holder.end(at)
	return &holder.entries[at], last, hash <= last
}

// holds reports whether the shard's range begins at the hash.
func (r *rangeIndex) holds(first uint64, shard state.ShardID) bool {
	found, _, _ := r.lookup(first)
	return found != nil && found.first == first && found.shard == shard
}

// find calls visit for each wanted shard with the first hash of its range. It
// looks only into chunks that may hold one, by the bounds of their identifiers.
func (r *rangeIndex) find(wanted map[state.ShardID]struct{}, visit func(uint64, state.ShardID)) {
	low, high := bounds(wanted)
	for _, holder := range r.chunks {
		if holder.high < low || holder.low > high {
			continue
		}
		for at := range holder.entries {
			item := &holder.entries[at]
			if _, found := wanted[item.shard]; found {
				visit(item.first, item.shard)
			}
		}
	}
}

func bounds(wanted map[state.ShardID]struct{}) (low, high state.ShardID) {
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
	// open marks the chunks that this edit may change in place.
	open map[*chunk]struct{}
	// former is an index whose chunks are taken over where they are equal; nil
	// for none.
	former *rangeIndex
}

func (r *rangeIndex) edit() *rangeEdit {
	return &rangeEdit{
		firsts: slices.Clone(r.firsts), chunks: slices.Clone(r.chunks), open: make(map[*chunk]struct{}),
	}
}

func (e *rangeEdit) finish() *rangeIndex {
	for changed := range e.open {
		changed.seal()
	}
	if e.former != nil {
		for index := range e.chunks {
			e.takeOver(index)
		}
	}
	return &rangeIndex{firsts: slices.Clip(e.firsts), chunks: slices.Clip(e.chunks)}
}

// takeOver replaces a sealed chunk by the former one, if it is equal.
func (e *rangeEdit) takeOver(index int) {
	at, found := slices.BinarySearch(e.former.firsts, e.firsts[index])
	if found && e.former.chunks[at].equal(e.chunks[index]) {
		e.chunks[index] = e.former.chunks[at]
	}
}

// complete seals the last chunk, behind which another one begins.
func (e *rangeEdit) complete() {
	index := len(e.chunks) - 1
	if index < 0 {
		return
	}
	if _, open := e.open[e.chunks[index]]; !open {
		return
	}
	delete(e.open, e.chunks[index])
	e.chunks[index].seal()
	if e.former != nil {
		e.takeOver(index)
	}
}

// own returns a chunk that this edit may change in place.
func (e *rangeEdit) own(index int) *chunk {
	present := e.chunks[index]
	if _, open := e.open[present]; open {
		return present
	}
	copied := present.opened()
	e.chunks[index] = copied
	e.open[copied] = struct{}{}
	return copied
}

// put inserts the entry, or replaces and returns the one with the same first
// hash.
func (e *rangeEdit) put(added entry, last uint64) (replaced entry, found bool) {
	index := chunkOf(e.firsts, added.first)
	if e.beginsChunk(index, added.first) {
		e.appendChunk(added, last)
		return entry{}, false
	}
	holder := e.own(index)
	at, found := holder.search(added.first)
	if found {
		replaced = holder.entries[at]
		holder.entries[at] = added
		holder.lasts[at] = last
		return replaced, true
	}
	holder.insert(at, added, last)
	e.firsts[index] = holder.entries[0].first
	e.split(index)
	return entry{}, false
}

// beginsChunk reports whether an entry goes behind all others into a chunk of
// its own: the last chunk is full, or the former index has a chunk there.
func (e *rangeEdit) beginsChunk(index int, first uint64) bool {
	if len(e.chunks) == 0 {
		return true
	}
	entries := e.chunks[index].entries
	if index+1 < len(e.chunks) || first <= entries[len(entries)-1].first {
		return false
	}
	if len(entries) >= chunkSize || e.former == nil {
		return len(entries) >= chunkSize
	}
	_, boundary := slices.BinarySearch(e.former.firsts, first)
	return boundary
}

// appendChunk adds a chunk behind all others.
func (e *rangeEdit) appendChunk(added entry, last uint64) {
	e.complete()
	created := newChunk(chunkSize)
	created.insert(0, added, last)
	e.open[created] = struct{}{}
	e.chunks = append(e.chunks, created)
	e.firsts = append(e.firsts, added.first)
}

// split halves a chunk that grew beyond its bound.
func (e *rangeEdit) split(index int) {
	holder := e.chunks[index]
	if len(holder.entries) <= chunkSize {
		return
	}
	upper := holder.halve()
	e.open[upper] = struct{}{}
	e.chunks = slices.Insert(e.chunks, index+1, upper)
	e.firsts = slices.Insert(e.firsts, index+1, upper.entries[0].first)
}

// remove deletes the shard whose range begins at the hash and returns its
// entry, if it is there.
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
		e.drop(index)
		return removed, true
	}
	holder := e.own(index)
	holder.remove(at)
	e.firsts[index] = holder.entries[0].first
	return removed, true
}

// drop forgets a chunk of which nothing would be left.
func (e *rangeEdit) drop(index int) {
	delete(e.open, e.chunks[index])
	e.chunks = slices.Delete(e.chunks, index, index+1)
	e.firsts = slices.Delete(e.firsts, index, index+1)
}
