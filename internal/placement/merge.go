package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// mergeShare bounds the load of a merged shard, as a share of the mean load
	// of a shard. It lies far below the load from which a shard is split.
	mergeShare = 0.5
	// maxMerges bounds one decision.
	maxMerges = 64
	// mergeScan bounds the neighbours that one decision compares; the next one
	// goes on behind them.
	mergeScan = 4096
)

// joins is what the search for cold neighbours found.
type joins struct {
	merges []Merge
	// reunions bring a narrow shard to the owner of its neighbour, so that the
	// two can be merged later.
	reunions []Move
}

// merge proposes to join cold neighbours with the same owner while there are
// more shards than wanted; where there are none and nothing else is to move, it
// brings narrow ones to their neighbours' owners. While no load is known, none
// is known to be cold.
func (s *search) merge(decision *Decision) {
	excess := len(s.layout.positions) - s.layout.mergeFloor()
	if excess <= 0 || len(s.layout.order) < 2 || s.layout.total == 0 {
		return
	}
	found := s.joins(min(excess, maxMerges))
	decision.Merges = found.merges
	if len(found.merges) > 0 || len(decision.Moves) > 0 {
		return
	}
	for _, move := range found.reunions[:min(len(found.reunions), max(s.layout.room(), 0))] {
		decision.Moves = append(decision.Moves, move)
		decision.Churn += move.Range.Width()
	}
}

func (s *search) joins(limit int) joins {
	layout := s.layout
	var found joins
	for scanned := 0; scanned < min(mergeScan, len(layout.order)) && len(found.merges) < limit; scanned++ {
		layout.mergeCursor++
		if layout.mergeCursor >= len(layout.order) {
			layout.mergeCursor = 0
			continue
		}
		first := &layout.records[layout.order[layout.mergeCursor-1]]
		second := &layout.records[layout.order[layout.mergeCursor]]
		switch {
		case !layout.coldNeighbours(first, second):
		case first.Owner == second.Owner:
			found.merges = append(found.merges, Merge{First: first.ID, Second: second.ID})
			layout.mergeCursor++
		case len(found.reunions) < maxMerges:
			found.reunions = s.reunite(found.reunions, first, second)
		}
	}
	return found
}

// reunite adds the move of the narrower of two neighbours to the owner of the
// other, if the caller set a least number of shards and it costs next to no
// churn. What left that owner lately stays away, as with every move.
func (s *search) reunite(moves []Move, first, second *record) []Move {
	narrow, wide := first, second
	if second.Range.Width() < first.Range.Width() {
		narrow, wide = second, first
	}
	bound := narrowest / float64(len(s.layout.positions))
	owner := s.layout.hosts[wide.Owner]
	if s.layout.limits.MinShards == 0 || narrow.Range.Width() > bound || owner == nil || !owner.Accepts {
		return moves
	}
	if s.layout.resting(narrow) || s.layout.hasLeft(narrow, wide.Owner) || slices.ContainsFunc(moves, func(m Move) bool { return m.Shard == narrow.ID }) {
		return moves
	}
	return append(moves, Move{
		Shard: narrow.ID, Epoch: narrow.Epoch, From: narrow.Owner, To: wide.Owner,
		Range: narrow.Range, Load: narrow.Load, Reason: ReasonReunite, Cost: s.price(narrow.Shard),
	})
}

// mergeFloor is the number of shards from which none are merged.
func (l *Layout) mergeFloor() int {
	if l.limits.MinShards > 0 {
		return l.limits.MinShards
	}
	return l.limits.ShardsPerServer * l.accepting
}

// coldLoad bounds the load of a merged shard.
func (l *Layout) coldLoad() float64 {
	return mergeShare * l.total / float64(max(len(l.positions), 1))
}

// coldNeighbours reports whether two shards may become one, but for their owners.
func (l *Layout) coldNeighbours(first, second *record) bool {
	return first.Owner != "" && second.Owner != "" &&
		first.Range.Last+1 == second.Range.First && first.Load+second.Load <= l.coldLoad() &&
		l.restsCold(first) && l.restsCold(second)
}

// restsCold reports whether a shard has stayed as it is, and cold, long enough
// to be merged.
func (l *Layout) restsCold(known *record) bool {
	return !known.Moving && !known.pinned && l.now-known.warmAt >= l.limits.MergeRest
}

// assumeCold takes the loads as those that the shards had for long.
func (l *Layout) assumeCold(now time.Duration) {
	for position := range l.records {
		l.records[position].warmAt = now - l.limits.MergeRest
	}
}

// MergeShard takes a shard that is gone into its neighbour, with its load and
// its past. The neighbour's new range comes by PutShard.
func (l *Layout) MergeShard(into, gone state.ShardID) {
	position, known := l.positions[into]
	from, found := l.positions[gone]
	if !known || !found {
		l.RemoveShard(gone)
		return
	}
	source := l.records[from]
	l.RemoveShard(gone)
	l.records[position].inherit(source)
	l.addLoad(position, source.Load)
}

// inherit takes over the moves that another shard made, and since when it has
// been cold.
func (r *record) inherit(source record) {
	r.warmAt = max(r.warmAt, source.warmAt)
	r.moved = r.moved || source.moved
	r.movedAt = max(r.movedAt, source.movedAt)
	r.left = append(r.left, source.left...)
	slices.SortStableFunc(r.left, func(a, b departure) int { return cmp.Compare(a.at, b.at) })
	r.left = slices.Delete(r.left, 0, max(len(r.left)-maxDepartures, 0))
}
