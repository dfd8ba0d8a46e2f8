package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// loadTotals holds the sums of one interval's load reports by server.
type loadTotals map[state.ServerID]*serverTotals

// serverTotals sums up one server's load reports. requests are those that the
// server counted for its shards during duration; busySlots is summed over the
// reports.
type serverTotals struct {
	requests  uint64
	duration  time.Duration
	busySlots float64
	reports   int
	// shardLoads are the reported loads of shards that the server owns.
	shardLoads []backendapi.ShardLoad
}

// byShard sums up the reported loads of each shard. The hot key is that of the
// last report.
func (s *serverTotals) byShard() map[state.ShardID]backendapi.ShardLoad {
	sums := make(map[state.ShardID]backendapi.ShardLoad, len(s.shardLoads))
	for _, load := range s.shardLoads {
		sum := sums[state.ShardID(load.Shard)]
		sum.Requests += load.Requests
		sum.HotHash, sum.HotRequests = load.HotHash, min(load.HotRequests, load.Requests)
		sums[state.ShardID(load.Shard)] = sum
	}
	return sums
}

// perSecond converts a count of requests within the interval to a rate.
func (s *serverTotals) perSecond(requests uint64) float64 {
	return float64(requests) / s.duration.Seconds()
}

// wantsShardLoads reports whether the next message to a server should ask for
// the loads of its shards.
func (b *balancer) wantsShardLoads(now time.Duration, tracker *serverTracker) bool {
	return b.services[tracker.service] != nil && (tracker.shardLoadsAt < 0 || now-tracker.shardLoadsAt >= reviewInterval)
}

// addReport adds a server's load report to the totals of the interval. Loads of
// shards that the server does not own are ignored, so that a faulty server cannot
// distort them. The first shard loads after an election are ignored, too, because
// the start of the time that they cover is unknown.
func (b *balancer) addReport(now time.Duration, tracker *serverTracker, report backendapi.LoadReport) {
	balanced := b.services[tracker.service]
	if balanced == nil {
		return
	}
	totals := balanced.current[tracker.server]
	if totals == nil {
		totals = &serverTotals{}
		balanced.current[tracker.server] = totals
	}
	totals.reports++
	totals.busySlots += float64(max(report.Running, 0))
	if !tracker.loadsRequested {
		return
	}
	previousAt := tracker.shardLoadsAt
	tracker.loadsRequested, tracker.shardLoadsAt = false, now
	if previousAt < 0 || now <= previousAt {
		return
	}
	totals.duration += now - previousAt
	for _, load := range report.ShardLoads[:min(len(report.ShardLoads), backendapi.MaxShardLoads)] {
		if shard, found := balanced.layout.Shard(state.ShardID(load.Shard)); found && shard.Owner == tracker.server {
			totals.shardLoads = append(totals.shardLoads, load)
			totals.requests += load.Requests
		}
	}
}
