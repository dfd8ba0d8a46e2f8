package placement

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// bulkInsert is the number of new shards above which the whole order is sorted
// instead of inserting the shards one by one.
const bulkInsert = 64

// completeOrder inserts new shards into the order of the ranges.
func (l *Layout) completeOrder() {
	if len(l.notInOrder) == 0 {
		return
	}
	if len(l.notInOrder) > bulkInsert {
		l.order = append(l.order, l.notInOrder...)
		slices.SortFunc(l.order, l.compareRanges)
	} else {
		for _, position := range l.notInOrder {
			index, _ := slices.BinarySearchFunc(l.order, position, l.compareRanges)
			l.order = slices.Insert(l.order, index, position)
		}
	}
	l.notInOrder = l.notInOrder[:0]
}

// removeFromOrder removes a shard from the order. Its range must be the one that it
// was inserted with.
func (l *Layout) removeFromOrder(position int) {
	if index := slices.Index(l.notInOrder, int32(position)); index >= 0 {
		l.notInOrder = slices.Delete(l.notInOrder, index, index+1)
		return
	}
	index, found := slices.BinarySearchFunc(l.order, int32(position), l.compareRanges)
	if found && l.order[index] == int32(position) {
		l.order = slices.Delete(l.order, index, index+1)
		return
	}
	// Ranges may overlap while a change of several shards is applied one by one.
	if index := slices.Index(l.order, int32(position)); index >= 0 {
		l.order = slices.Delete(l.order, index, index+1)
	}
}

// applyHistory records past moves at the shards that hold their keys now.
func (l *Layout) applyHistory(history []RecentMove) {
	l.completeOrder()
	for _, move := range history {
		for _, position := range l.overlapping(move.Range) {
			l.records[position].recordDeparture(move.At, move.From)
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
