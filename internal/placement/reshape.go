package placement

import (
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
	// narrowest is the width from which a shard is not halved any more, as a
	// share of the mean: what is left is as cheap to move whole, and one busy key
	// cannot be halved.
	narrowest = 1.0 / 1024
	// maxSplits bounds one decision.
	maxSplits = 4
)

// splits proposes cuts through the large shards of servers that stay too hot.
// A cut changes no owner; the parts can then move by themselves.
func (s *search) splits() []Split {
	var splits []Split
	for _, option := range s.layout.zones {
		for place := len(option.hosts) - 1; place >= 0; place-- {
			if option.hosts[place].utilization() <= splitAbove*s.layout.mean() {
				break
			}
			splits = s.splitsOf(splits, option.hosts[place])
		}
	}
	return splits
}

// splitsOf adds cuts through a server's shards, the busiest first.
func (s *search) splitsOf(splits []Split, owner *host) []Split {
	perServer := s.layout.total / float64(s.layout.accepting)
	width := narrowest / float64(len(s.layout.positions))
	var large []int
	for _, position := range owner.shards {
		known := &s.layout.records[position]
		if known.Load >= splitShare*perServer && !known.pinned && !known.Moving && known.Range.Width() > width {
			large = append(large, position)
		}
	}
	slices.SortFunc(large, func(a, b int) int {
		return compareLoads(s.layout.records[a].Shard, s.layout.records[b].Shard)
	})
	for _, position := range large {
		if len(splits) == maxSplits || !s.mayGrow() {
			break
		}
		known := &s.layout.records[position]
		splits = append(splits, Split{Shard: known.ID, Epoch: known.Epoch, Part: cut(known.Shard)})
		known.pinned = true
		s.cutting = append(s.cutting, position)
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
