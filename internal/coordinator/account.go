package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// account sums up the reports of one interval by server.
type account map[state.ServerID]*serverAccount

// serverAccount is one server's part: the requests that it counted over the
// covered time, and its word on the slots that are busy.
type serverAccount struct {
	executed uint64
	covered  time.Duration
	busy     float64
	reports  int
	// loads are the entries of its reports for shards that it owns.
	loads []backendapi.ShardLoad
}

// byShard sums up the entries.
func (s *serverAccount) byShard() map[state.ShardID]backendapi.ShardLoad {
	sums := make(map[state.ShardID]backendapi.ShardLoad, len(s.loads))
	for _, load := range s.loads {
		sum := sums[state.ShardID(load.Shard)]
		sum.Requests += load.Requests
		sum.HotHash, sum.HotRequests = load.HotHash, min(load.HotRequests, load.Requests)
		sums[state.ShardID(load.Shard)] = sum
	}
	return sums
}

// rate is the requests a second of which some were counted.
func (s *serverAccount) rate(executed uint64) float64 {
	return float64(executed) / s.covered.Seconds()
}

// wantsLoads reports whether the next message to a server should ask for the
// loads of its shards.
func (b *balancer) wantsLoads(now time.Duration, known *contact) bool {
	return b.services[known.service] != nil && (known.loadAt < 0 || now-known.loadAt >= reviewInterval)
}

// count takes a server's report. Only shards that the server owns count, so
// that it can mislead about no others. The first counts after an election reach
// back to an unknown moment and are left out.
func (b *balancer) count(now time.Duration, server *contact, report backendapi.LoadReport) {
	known := b.services[server.service]
	if known == nil {
		return
	}
	own := known.accounts[server.server]
	if own == nil {
		own = &serverAccount{}
		known.accounts[server.server] = own
	}
	own.reports++
	own.busy += float64(max(report.Running, 0))
	if !server.asked {
		return
	}
	since := server.loadAt
	server.asked, server.loadAt = false, now
	if since < 0 || now <= since {
		return
	}
	own.covered += now - since
	for _, load := range report.ShardLoads[:min(len(report.ShardLoads), backendapi.MaxShardLoads)] {
		if shard, found := known.layout.Shard(state.ShardID(load.Shard)); found && shard.Owner == server.server {
			own.loads = append(own.loads, load)
			own.executed += load.Requests
		}
	}
}
