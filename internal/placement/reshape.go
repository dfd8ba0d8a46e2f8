package placement

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// splitUtilization is the utilization, as a multiple of the mean, above which
	// a server's large shards are split.
	splitUtilization = 1.1
	// minSplitShare is the lowest load at which a shard is split, as a share of
	// the mean load of a server.
	minSplitShare = 0.2
	// dominantShare is the share of a shard's load from which on its busiest key
	// is split off instead of halving the range.
	dominantShare = 0.5
	// minSplitWidth is the width up to which a shard is not split, as a share of
	// the mean width: a narrow shard is as cheap to move as a whole, and a single
	// busy key cannot be split.
	minSplitWidth = 1.0 / 1024
	// maxSplits bounds the splits of one decision.
	maxSplits = 4
)

// findSplits proposes splits of the large shards of servers that are still too hot
// after the planned moves. A split changes no owner, but lets the parts move
// separately.
func (s *search) findSplits() []Split {
	var splits []Split
	for _, zone := range s.layout.zones {
		for index := len(zone.hosts) - 1; index >= 0; index-- {
			if zone.hosts[index].utilization() <= splitUtilization*s.layout.meanUtilization() {
				break
			}
			splits = s.appendSplits(splits, zone.hosts[index])
		}
	}
	return splits
}

// appendSplits appends splits of a server's large shards, the busiest first.
func (s *search) appendSplits(splits []Split, owner *host) []Split {
	meanServerLoad := s.layout.total / float64(s.layout.accepting)
	minWidth := minSplitWidth / float64(len(s.layout.positions))
	var large []int
	for _, position := range owner.shards {
		shard := &s.layout.records[position]
		if shard.Load >= minSplitShare*meanServerLoad && !shard.pinned && !shard.Moving && shard.Range.Width() > minWidth {
			large = append(large, position)
		}
	}
	slices.SortFunc(large, func(a, b int) int {
		return compareLoads(s.layout.records[a].Shard, s.layout.records[b].Shard)
	})
	for _, position := range large {
		if len(splits) == maxSplits || !s.canAddShard() {
			break
		}
		shard := &s.layout.records[position]
		splits = append(splits, Split{Shard: shard.ID, Epoch: shard.Epoch, Part: partToSplitOff(shard.Shard)})
		shard.pinned = true
		s.splitting = append(s.splitting, position)
	}
	return splits
}

// partToSplitOff returns the busiest key if it dominates the load, else the upper
// half of the range.
func partToSplitOff(shard Shard) state.KeyRange {
	if shard.HotShare >= dominantShare && shard.Range.Contains(shard.HotHash) {
		return state.KeyRange{First: shard.HotHash, Last: shard.HotHash}
	}
	middle := shard.Range.First + (shard.Range.Last-shard.Range.First)/2
	return state.KeyRange{First: middle + 1, Last: shard.Range.Last}
}
