package table

import (
	"slices"
	"sort"

	"github.com/thorntiller/thorntiller/internal/state"
)

// chunkSize bounds the entries that one change copies.
const chunkSize = 512

// phase is a compact form of state.ShardPhase.
type phase uint8

const (
	phaseUnowned phase = iota
	phaseOwned
	phaseRevoking
)

// entry is the compact form of one shard. Half a million of them must fit a
// router's memory, so that names are kept as indexes.
type entry struct {
	shard  state.ShardID
	span   state.KeyRange
	epoch  state.Epoch
	digest uint64
	owner  uint32
	phase  phase
}

// rangeIndex holds the shards of one service ordered by the first hash of
// their ranges, in chunks that are never changed once published.
type rangeIndex struct {
	chunks [][]entry
}

// newRangeIndex takes ownership of the entries.
func newRangeIndex(entries []entry) *rangeIndex {
	slices.SortFunc(entries, func(a, b entry) int {
		return compareHash(a.span.First, b.span.First)
	})
	index := &rangeIndex{}
	for part := range slices.Chunk(entries, chunkSize) {
		index.chunks = append(index.chunks, slices.Clip(part))
	}
	return index
}

func compareHash(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// chunkOf returns the chunk that holds, or would hold, the hash.
func (r *rangeIndex) chunkOf(hash uint64) int {
	after := sort.Search(len(r.chunks), func(i int) bool {
		return r.chunks[i][0].span.First > hash
	})
	return max(after-1, 0)
}

// lookup returns the entry whose range contains the hash.
func (r *rangeIndex) lookup(hash uint64) (entry, bool) {
	if len(r.chunks) == 0 {
		return entry{}, false
	}
	chunk := r.chunks[r.chunkOf(hash)]
	after := sort.Search(len(chunk), func(i int) bool {
		return chunk[i].span.First > hash
	})
	if after == 0 || !chunk[after-1].span.Contains(hash) {
		return entry{}, false
	}
	return chunk[after-1], true
}

// rangeEdit collects changes that become the next version of a rangeIndex.
type rangeEdit struct {
	chunks [][]entry
	// owned marks, by the first element's address, chunks made by this edit.
	owned map[*entry]bool
}

func (r *rangeIndex) edit() *rangeEdit {
	return &rangeEdit{chunks: slices.Clone(r.chunks), owned: make(map[*entry]bool)}
}

func (e *rangeEdit) finish() *rangeIndex {
	return &rangeIndex{chunks: e.chunks}
}

func (e *rangeEdit) chunkOf(hash uint64) int {
	index := rangeIndex{chunks: e.chunks}
	return index.chunkOf(hash)
}

// own returns a chunk that this edit may change in place.
func (e *rangeEdit) own(index int) []entry {
	chunk := e.chunks[index]
	if e.owned[&chunk[0]] {
		return chunk
	}
	copied := slices.Clone(chunk)
	e.set(index, copied)
	return copied
}

func (e *rangeEdit) set(index int, chunk []entry) {
	e.chunks[index] = chunk
	e.owned[&chunk[0]] = true
}

// put inserts the entry or replaces the one with the same first hash.
func (e *rangeEdit) put(added entry) {
	if len(e.chunks) == 0 {
		e.chunks = [][]entry{nil}
		e.set(0, []entry{added})
		return
	}
	index := e.chunkOf(added.span.First)
	chunk := e.own(index)
	at, found := search(chunk, added.span.First)
	if found {
		chunk[at] = added
		return
	}
	chunk = slices.Insert(chunk, at, added)
	e.set(index, chunk)
	e.split(index)
}

// split halves a chunk that grew beyond its bound.
func (e *rangeEdit) split(index int) {
	chunk := e.chunks[index]
	if len(chunk) <= chunkSize {
		return
	}
	half := len(chunk) / 2
	tail := slices.Clone(chunk[half:])
	e.set(index, slices.Clone(chunk[:half]))
	e.chunks = slices.Insert(e.chunks, index+1, nil)
	e.set(index+1, tail)
}

// remove deletes the shard whose range begins at the hash, if it is there.
func (e *rangeEdit) remove(first uint64, shard state.ShardID) {
	if len(e.chunks) == 0 {
		return
	}
	index := e.chunkOf(first)
	at, found := search(e.chunks[index], first)
	if !found || e.chunks[index][at].shard != shard {
		return
	}
	if len(e.chunks[index]) == 1 {
		e.chunks = slices.Delete(e.chunks, index, index+1)
		return
	}
	e.set(index, slices.Delete(e.own(index), at, at+1))
}

func search(chunk []entry, first uint64) (int, bool) {
	return slices.BinarySearchFunc(chunk, first, func(item entry, hash uint64) int {
		return compareHash(item.span.First, hash)
	})
}
