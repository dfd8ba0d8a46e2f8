package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// maxMergedShare bounds the load of a merged shard, as a share of the mean load
	// of a shard. It is far below the load at which a shard is split.
	maxMergedShare = 0.5
	// maxMerges bounds the merges of one decision, and its reunions.
	maxMerges = 64
	// maxMergeScan bounds the pairs of neighbours that one decision compares. The
	// next one continues after them.
	maxMergeScan = 4096
)

// mergeProposals is the result of the search for mergeable neighbours.
type mergeProposals struct {
	merges []Merge
	// reunions are moves of narrow shards to the owners of their neighbours, so
	// that the two can be merged later.
	reunions []Move
}

// merge proposes merges of cold neighbours with the same owner while there are more
// shards than shardCountTarget. If there are no such neighbours and no other moves,
// it proposes to move narrow shards to their neighbours' owners. While no load is
// known, no shard counts as cold.
func (s *search) merge(decision *Decision) {
	excess := len(s.layout.positions) - s.layout.shardCountTarget()
	if excess <= 0 || len(s.layout.order) < 2 || s.layout.total == 0 {
		return
	}
	proposals := s.findMerges(min(excess, maxMerges))
	decision.Merges = proposals.merges
	if len(proposals.merges) > 0 || len(decision.Moves) > 0 {
		return
	}
	for _, move := range proposals.reunions[:min(len(proposals.reunions), max(s.layout.freeMoves(), 0))] {
		decision.Moves = append(decision.Moves, move)
		decision.Churn += move.Range.Width()
	}
}

// findMerges searches for mergeable neighbours from mergeCursor on, until it has
// found limit merges.
func (s *search) findMerges(limit int) mergeProposals {
	layout := s.layout
	var proposals mergeProposals
	for scanned := 0; scanned < min(maxMergeScan, len(layout.order)) && len(proposals.merges) < limit; scanned++ {
		layout.mergeCursor++
		if layout.mergeCursor >= len(layout.order) {
			layout.mergeCursor = 0
			continue
		}
		first := &layout.records[layout.order[layout.mergeCursor-1]]
		second := &layout.records[layout.order[layout.mergeCursor]]
		switch {
		case !layout.mergeableNeighbours(first, second):
		case first.Owner == second.Owner:
			proposals.merges = append(proposals.merges, Merge{First: first.ID, Second: second.ID})
			layout.mergeCursor++
		case len(proposals.reunions) < maxMerges:
			proposals.reunions = s.reunite(proposals.reunions, first, second)
		}
	}
	return proposals
}

// reunite appends the move of the narrower of two neighbours to the owner of the
// other, if MinShards is set and the shard is so narrow that the move causes almost
// no churn. As with every move, a shard does not return to a server that it left
// recently.
func (s *search) reunite(moves []Move, first, second *record) []Move {
	narrow, wide := first, second
	if second.Range.Width() < first.Range.Width() {
		narrow, wide = second, first
	}
	maxWidth := minSplitWidth / float64(len(s.layout.positions))
	owner := s.layout.hosts[wide.Owner]
	if s.layout.limits.MinShards == 0 || narrow.Range.Width() > maxWidth || owner == nil || !owner.Accepts {
		return moves
	}
	if s.layout.excludedFromBalance(narrow) || s.layout.leftRecently(narrow, wide.Owner) ||
		slices.ContainsFunc(moves, func(m Move) bool { return m.Shard == narrow.ID }) {
		return moves
	}
	return append(moves, Move{
		Shard: narrow.ID, Epoch: narrow.Epoch, From: narrow.Owner, To: wide.Owner,
		Range: narrow.Range, Load: narrow.Load, Reason: ReasonReunite, Cost: s.moveCost(narrow.Shard),
	})
}

// shardCountTarget returns the number of shards down to which shards are merged.
func (l *Layout) shardCountTarget() int {
	if l.limits.MinShards > 0 {
		return l.limits.MinShards
	}
	return l.limits.ShardsPerServer * l.accepting
}

// coldLoad returns the maximum load of a merged shard.
func (l *Layout) coldLoad() float64 {
	return maxMergedShare * l.total / float64(max(len(l.positions), 1))
}

// mergeableNeighbours reports whether two shards may be merged if they have the same
// owner.
func (l *Layout) mergeableNeighbours(first, second *record) bool {
	return first.Owner != "" && second.Owner != "" &&
		first.Range.Last+1 == second.Range.First && first.Load+second.Load <= l.coldLoad() &&
		l.coldLongEnough(first) && l.coldLongEnough(second)
}

// coldLongEnough reports whether a shard is neither moving nor part of the present
// decision, and has been cold, and not been split, for MergeRest.
func (l *Layout) coldLongEnough(shard *record) bool {
	return !shard.Moving && !shard.pinned && l.now-shard.warmAt >= l.limits.MergeRest
}

// assumeCold assumes that the shards have had their present loads for MergeRest.
func (l *Layout) assumeCold(now time.Duration) {
	for position := range l.records {
		l.records[position].warmAt = now - l.limits.MergeRest
	}
}

// MergeShard removes a shard that was merged into its neighbour, and adds its load
// and its recent moves to the neighbour. PutShard sets the neighbour's new range.
func (l *Layout) MergeShard(into, gone state.ShardID) {
	position, intoFound := l.positions[into]
	from, goneFound := l.positions[gone]
	if !intoFound || !goneFound {
		l.RemoveShard(gone)
		return
	}
	source := l.records[from]
	l.RemoveShard(gone)
	l.records[position].inherit(source)
	l.addLoad(position, source.Load)
}

// inherit takes over the recent moves of another shard, and the later of the two
// values of warmAt.
func (r *record) inherit(source record) {
	r.warmAt = max(r.warmAt, source.warmAt)
	r.moved = r.moved || source.moved
	r.movedAt = max(r.movedAt, source.movedAt)
	r.departures = append(r.departures, source.departures...)
	slices.SortStableFunc(r.departures, func(a, b departure) int { return cmp.Compare(a.at, b.at) })
	r.departures = slices.Delete(r.departures, 0, max(len(r.departures)-maxDepartures, 0))
}
