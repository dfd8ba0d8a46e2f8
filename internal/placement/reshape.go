package placement

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// splitAbove is the utilization, as a multiple of the mean, from which a
	// server's large shards are split.
	splitAbove = 1.1
	// splitShare is the least load of a shard that is split, as a share of the
	// mean load of a server.
	splitShare = 0.2
	// dominantShare is the share of a shard's load from which its busiest key
	// is split off rather than the range halved.
	dominantShare = 0.5
	// mergeShare bounds the load of a merged shard, as a share of the mean load
	// of a shard.
	mergeShare = 0.5
	// maxSplits and maxMerges bound one decision.
	maxSplits = 4
	maxMerges = 64
)

// splits proposes cuts through the large shards of servers that stay too hot.
// A cut changes no owner; the parts can then move by themselves.
func (s *search) splits() []Split {
	var splits []Split
	perServer := s.layout.total / float64(len(s.layout.accepting))
	for _, known := range s.layout.accepting {
		if known.utilization() <= splitAbove*s.layout.mean() {
			continue
		}
		for _, index := range known.shards {
			shard := s.layout.shards[index]
			if s.layout.pinned[index] || shard.Range.First == shard.Range.Last || shard.Load < splitShare*perServer {
				continue
			}
			if len(splits) == maxSplits || !s.mayGrow() {
				return splits
			}
			splits = append(splits, Split{Shard: shard.ID, Epoch: shard.Epoch, Part: cut(shard)})
		}
	}
	return splits
}

// cut returns the part to split off: the busiest key when it dominates, else
// the upper half.
func cut(shard Shard) state.KeyRange {
	if shard.HotShare >= dominantShare && shard.Range.Contains(shard.HotHash) {
		return state.KeyRange{First: shard.HotHash, Last: shard.HotHash}
	}
	middle := shard.Range.First + (shard.Range.Last-shard.Range.First)/2
	return state.KeyRange{First: middle + 1, Last: shard.Range.Last}
}

// merges proposes to join cold neighbours with the same owner while there are
// more shards than wanted.
func (s *search) merges(decision Decision) []Merge {
	excess := len(s.problem.Shards) - s.problem.Limits.ShardsPerServer*len(s.layout.accepting)
	if excess <= 0 {
		return nil
	}
	busy := touched(decision)
	bound := mergeShare * s.layout.total / float64(len(s.problem.Shards))
	ordered := slices.Clone(s.problem.Shards)
	slices.SortFunc(ordered, func(a, b Shard) int { return cmp.Compare(a.Range.First, b.Range.First) })
	var merges []Merge
	for index := 1; index < len(ordered) && len(merges) < min(excess, maxMerges); index++ {
		first, second := ordered[index-1], ordered[index]
		if busy[first.ID] || busy[second.ID] || !mergeable(first, second, bound) {
			continue
		}
		merges = append(merges, Merge{First: first.ID, Second: second.ID})
		index++
	}
	return merges
}

func mergeable(first, second Shard, bound float64) bool {
	return first.Owner != "" && first.Owner == second.Owner && !first.Moving && !second.Moving &&
		first.Range.Last+1 == second.Range.First && first.Load+second.Load <= bound
}

// touched returns the shards that the decision moves or splits.
func touched(decision Decision) map[state.ShardID]bool {
	busy := make(map[state.ShardID]bool, len(decision.Moves)+len(decision.Splits))
	for _, move := range decision.Moves {
		busy[move.Shard] = true
	}
	for _, split := range decision.Splits {
		busy[split.Shard] = true
	}
	return busy
}
