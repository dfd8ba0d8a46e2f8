package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// maxCountedShards bounds the shards that one counter tells apart.
const maxCountedShards = 65_536

// shardCounter counts the executed requests of each shard between two reports.
type shardCounter map[uint64]uint64

func (c shardCounter) add(shard uint64) {
	if _, known := c[shard]; known || len(c) < maxCountedShards {
		c[shard]++
	}
}

// take returns the busiest shards, ordered, and starts again at zero.
func (c shardCounter) take() []backendapi.ShardLoad {
	loads := make([]backendapi.ShardLoad, 0, len(c))
	for shard, requests := range c {
		loads = append(loads, backendapi.ShardLoad{Shard: shard, Requests: requests})
	}
	clear(c)
	slices.SortFunc(loads, func(a, b backendapi.ShardLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Shard, b.Shard))
	})
	return loads[:min(len(loads), backendapi.MaxShardLoads)]
}

// laggingLoad holds a report back so that it is up to lag old.
type laggingLoad struct {
	lag    time.Duration
	taken  bool
	at     time.Duration
	report backendapi.LoadReport
}

// get returns the held report, or a fresh one once the held one is too old.
func (l *laggingLoad) get(now time.Duration, fresh func() backendapi.LoadReport) backendapi.LoadReport {
	if !l.taken || now-l.at >= l.lag {
		l.taken = true
		l.at = now
		l.report = fresh()
	}
	return l.report
}

// distort multiplies the counts by the factor of a lie.
func distort(report backendapi.LoadReport, factor float64) backendapi.LoadReport {
	report.Running = int(float64(report.Running) * factor)
	report.Queued = int(float64(report.Queued) * factor)
	return report
}
