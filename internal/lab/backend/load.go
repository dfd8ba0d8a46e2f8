package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// maxCountedShards bounds the shards that one counter tells apart.
const maxCountedShards = 65_536

// keyCounters is how many keys of a shard are counted at the same time.
const keyCounters = 8

// keyCount counts one key. Its true count lies between count - excess and
// count, as in the space-saving algorithm.
type keyCount struct {
	hash          uint64
	count, excess uint64
}

// shardCount counts the requests of one shard and finds its busiest key.
type shardCount struct {
	requests uint64
	keys     []keyCount
}

func (c *shardCount) add(hash uint64) {
	c.requests++
	least := 0
	for position := range c.keys {
		if c.keys[position].hash == hash {
			c.keys[position].count++
			return
		}
		if c.keys[position].count < c.keys[least].count {
			least = position
		}
	}
	if len(c.keys) < keyCounters {
		c.keys = append(c.keys, keyCount{hash: hash, count: 1})
		return
	}
	replaced := c.keys[least].count
	c.keys[least] = keyCount{hash: hash, count: replaced + 1, excess: replaced}
}

// busiest returns the key that was certainly requested most often.
func (c *shardCount) busiest() (hash, requests uint64) {
	for _, key := range c.keys {
		if certain := key.count - key.excess; certain > requests {
			hash, requests = key.hash, certain
		}
	}
	return hash, requests
}

// shardCounter counts the executed requests of each shard between two reports.
type shardCounter map[uint64]*shardCount

func (c shardCounter) add(shard, hash uint64) {
	known := c[shard]
	if known == nil {
		if len(c) == maxCountedShards {
			return
		}
		known = &shardCount{}
		c[shard] = known
	}
	known.add(hash)
}

// take returns the busiest shards, ordered, and starts again at zero.
func (c shardCounter) take() []backendapi.ShardLoad {
	loads := make([]backendapi.ShardLoad, 0, len(c))
	for shard, counted := range c {
		load := backendapi.ShardLoad{Shard: shard, Requests: counted.requests}
		load.HotHash, load.HotRequests = counted.busiest()
		loads = append(loads, load)
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
