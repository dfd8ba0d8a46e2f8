package placement

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// bulkInsert is the number of new shards from which the order is sorted as a
// whole rather than by single insertions.
const bulkInsert = 64

// insertFresh brings new shards into the order of the ranges.
func (l *Layout) insertFresh() {
	if len(l.fresh) == 0 {
		return
	}
	if len(l.fresh) > bulkInsert {
		l.order = append(l.order, l.fresh...)
		slices.SortFunc(l.order, l.compareRanges)
	} else {
		for _, position := range l.fresh {
			place, _ := slices.BinarySearchFunc(l.order, position, l.compareRanges)
			l.order = slices.Insert(l.order, place, position)
		}
	}
	l.fresh = l.fresh[:0]
}

// unorder takes a shard out of the order. Its range must be the one that it was
// inserted with.
func (l *Layout) unorder(position int) {
	if place := slices.Index(l.fresh, int32(position)); place >= 0 {
		l.fresh = slices.Delete(l.fresh, place, place+1)
		return
	}
	place, found := slices.BinarySearchFunc(l.order, int32(position), l.compareRanges)
	if found && l.order[place] == int32(position) {
		l.order = slices.Delete(l.order, place, place+1)
		return
	}
	// Ranges overlap for the time of a change that comes in several parts.
	if place := slices.Index(l.order, int32(position)); place >= 0 {
		l.order = slices.Delete(l.order, place, place+1)
	}
}

// remember applies moves of the past to the shards that hold their keys now.
func (l *Layout) remember(history []RecentMove) {
	l.insertFresh()
	for _, move := range history {
		for _, position := range l.overlapping(move.Range) {
			l.records[position].depart(move.At, move.From)
		}
		l.recent.add(move.At, move.Range.Width())
	}
}

// overlapping returns the shards that share a key with the range.
func (l *Layout) overlapping(keys state.KeyRange) []int32 {
	first, _ := slices.BinarySearchFunc(l.order, keys.First, func(position int32, hash uint64) int {
		return cmp.Compare(l.records[position].Range.Last, hash)
	})
	last := first
	for last < len(l.order) && l.records[l.order[last]].Range.First <= keys.Last {
		last++
	}
	return l.order[first:last]
}

// compareRanges orders positions by range.
func (l *Layout) compareRanges(a, b int32) int {
	return cmp.Compare(l.records[a].Range.First, l.records[b].Range.First)
}
