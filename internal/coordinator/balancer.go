package coordinator

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// reviewInterval is the time between two looks at the loads of a service.
	reviewInterval = 5 * time.Second
	// reviewChunk bounds the shards, or their loads, that are taken over in one
	// tick, so that a large service does not hold up the leader.
	reviewChunk = 2048
	// maxParts bounds the new shards of one command that inherit a load.
	maxParts = 64
)

// balancer keeps the layouts of the services whose policy lets the controllers
// move shards for the sake of balance. It lasts for one term of leadership.
type balancer struct {
	services map[state.ServiceName]*balanced
}

func newBalancer() *balancer {
	return &balancer{services: make(map[state.ServiceName]*balanced)}
}

// balanced is one such service.
type balanced struct {
	layout    *placement.Layout
	estimator *placement.Estimator
	// accounts counts since begin what servers report; reviewed is the account
	// of the interval before, of which queue holds the servers still to look at.
	accounts account
	reviewed account
	begin    time.Duration
	queue    []state.ServerID
	// merging holds merged shards that their owners have yet to confirm.
	merging []state.ShardEpoch
	// perRequest is the smoothed time that a request keeps a slot busy, in
	// seconds; zero until a server told of busy slots.
	perRequest float64
	// filled is true once the layout holds every shard; until then it holds those
	// of hashes below filledTo.
	filled   bool
	filledTo uint64
}

// load returns a shard's smoothed load in busy slots, or zero when the service
// is not balanced or the load not known.
func (b *balancer) load(service state.ServiceName, shard state.ShardID) float64 {
	known := b.services[service]
	if known == nil {
		return 0
	}
	load, _ := known.estimator.ShardLoad(shard)
	return load
}

func (b *balancer) serverLoad(service state.ServiceName, server state.ServerID) float64 {
	known := b.services[service]
	if known == nil {
		return 0
	}
	return known.layout.ServerLoad(server)
}

// follow begins or ends the balancing of a service as its policy says.
func (c *Coordinator) follow(now time.Duration, service state.Service, view *state.State) {
	wanted := service.Placement.Automatic && service.Keyed && service.Mode != state.ModeObserved
	known := c.balancer.services[service.Name]
	switch {
	case !wanted:
		delete(c.balancer.services, service.Name)
	case known == nil:
		c.balancer.services[service.Name] = c.newBalanced(now, service, view)
	default:
		known.layout.SetPolicy(service.Weights, limitsOf(service, view))
	}
}

// limitsOf takes the bounds from the service. A service that was created with
// many shards may have twice as many before splits stop. Where merges bring
// their number down again, the least number takes the place of the present one.
func limitsOf(service state.Service, view *state.State) placement.Limits {
	limits := placement.DefaultLimits()
	limits.MaxMoves = service.MaxMoves
	wanted := view.ShardCount(service.Name)
	if service.Placement.Merge {
		wanted = service.Placement.MinShards
		limits.MinShards = wanted
	}
	if servers := len(view.ServersOf(service.Name)); servers > 0 {
		limits.ShardsPerServer = max(limits.ShardsPerServer, wanted/servers+1)
	}
	return limits
}

func (c *Coordinator) newBalanced(now time.Duration, service state.Service, view *state.State) *balanced {
	created := &balanced{
		layout:    placement.NewLayout(service.Weights, limitsOf(service, view)),
		estimator: placement.NewEstimator(placement.DefaultEstimatorConfig()),
		accounts:  make(account), begin: now,
	}
	c.noteTakers(service.Name, created, view)
	return created
}

// fill takes some more of the service's shards into the layout, in the order of
// their ranges, until it holds them all. What changes meanwhile comes by put.
func (b *balanced) fill(now time.Duration, service state.ServiceName, view *state.State) {
	for range reviewChunk {
		shard, found := view.ShardAt(service, b.filledTo)
		if !found {
			b.filled = true
			return
		}
		b.layout.PutShard(now, placed(shard))
		b.filledTo = shard.Range.Last + 1
		if b.filledTo == 0 {
			b.filled = true
			return
		}
	}
}

// placed returns a shard as placement sees it.
func placed(shard state.Shard) placement.Shard {
	return placement.Shard{
		ID: shard.ID, Range: shard.Range, Owner: shard.Owner, Epoch: shard.Epoch,
		Moving: shard.Phase == state.ShardRevoking || shard.Target != "",
	}
}

// put takes over the shards that one command changed.
func (b *balancer) put(now time.Duration, objects []state.Object) {
	if len(b.services) == 0 {
		return
	}
	var kept, created, gone []state.Shard
	for _, object := range objects {
		if object.Shard == nil || b.services[object.Shard.Service] == nil {
			continue
		}
		if object.Deleted {
			gone = append(gone, *object.Shard)
			continue
		}
		if _, found := b.services[object.Shard.Service].layout.Shard(object.Shard.ID); found {
			kept = append(kept, *object.Shard)
		} else {
			created = append(created, *object.Shard)
		}
	}
	for _, shard := range gone {
		b.services[shard.Service].absorb(kept, shard)
	}
	// A command that cuts shards makes few; others that come are not filled in yet.
	for _, shard := range created[:min(len(created), maxParts)] {
		b.services[shard.Service].inherit(kept, shard)
	}
	for _, shard := range slices.Concat(kept, created) {
		known := b.services[shard.Service]
		known.layout.PutShard(now, placed(shard))
		load, _ := known.estimator.ShardLoad(shard.ID)
		known.layout.SetLoad(shard.ID, load, 0, 0)
	}
}

// inherit gives a part that was cut off its share of the load of the shard that
// held its keys.
func (b *balanced) inherit(kept []state.Shard, created state.Shard) {
	for _, option := range kept {
		before, found := b.layout.Shard(option.ID)
		if found && option.Service == created.Service && before.Range.Contains(created.Range.First) {
			part := created.Range.Width() / before.Range.Width()
			if before.HotShare > 0 && created.Range.Contains(before.HotHash) {
				part = max(part, before.HotShare)
			}
			b.estimator.Split(option.ID, created.ID, min(part, 1))
			return
		}
	}
}

// absorb gives the load of a shard that is gone to the one that took its keys.
func (b *balanced) absorb(kept []state.Shard, gone state.Shard) {
	before, found := b.layout.Shard(gone.ID)
	if !found {
		return
	}
	for _, option := range kept {
		if option.Service == gone.Service && option.Range.Contains(before.Range.First) {
			b.estimator.Merge(option.ID, gone.ID)
			b.layout.MergeShard(option.ID, gone.ID)
			return
		}
	}
	b.estimator.Forget(gone.ID)
	b.layout.RemoveShard(gone.ID)
}

// close ends the interval and begins to review it.
func (b *balanced) close(now time.Duration) {
	b.reviewed = b.accounts
	b.accounts = make(account)
	b.begin = now
	b.learnTime()
	b.queue = b.queue[:0]
	for server, own := range b.reviewed {
		if own.covered > 0 {
			b.queue = append(b.queue, server)
		}
	}
	slices.Sort(b.queue)
}

const (
	// lowTime is what a request counts, in seconds, while no server told of busy
	// slots: so little that the reserve for the loss of a zone asks for nothing.
	lowTime = 1e-4
	// timeShare is the weight of the newest interval in the time of a request.
	timeShare = 0.2
	// enoughBusy is the number of busy slots, summed over the reports of an
	// interval, from which a server's word on them is more than noise.
	enoughBusy = 64
)

// learnTime takes the time of a request from the interval: the median of the
// servers' words, which a minority of wrong ones cannot move far.
func (b *balanced) learnTime() {
	times := make([]float64, 0, len(b.reviewed))
	for _, own := range b.reviewed {
		if own.executed > 0 && own.covered > 0 && own.busy > 0 {
			times = append(times, own.busy/float64(own.reports)/own.rate(own.executed))
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	median := times[len(times)/2]
	if b.perRequest == 0 {
		b.perRequest = median
	}
	b.perRequest += timeShare * (median - b.perRequest)
}

// take takes over the loads of some of the servers.
func (b *balanced) take(now time.Duration) {
	for taken := 0; taken < reviewChunk && len(b.queue) > 0; {
		server := b.queue[0]
		b.queue = b.queue[1:]
		taken += b.takeServer(now, server, b.reviewed[server]) + 1
	}
}

// takeServer takes over the loads of one server's shards and returns how many
// there are. Those that it did not name executed nothing.
func (b *balanced) takeServer(now time.Duration, server state.ServerID, own *serverAccount) int {
	shards := b.layout.Owned(server)
	counted := own.byShard()
	observations := make([]placement.Observation, 0, len(shards))
	for _, shard := range shards {
		observations = append(observations, b.observation(shard.ID, counted[shard.ID].Requests, own))
	}
	b.estimator.Observe(now, observations)
	for _, shard := range shards {
		load, _ := b.estimator.ShardLoad(shard.ID)
		counts := counted[shard.ID]
		b.layout.SetLoad(shard.ID, load, counts.HotHash, float64(counts.HotRequests)/float64(max(counts.Requests, 1)))
	}
	return len(shards)
}

// observation checks the two words of a server against each other: its counted
// executions, at the time that a request takes on all servers, bound what it
// says of its busy slots.
func (b *balanced) observation(id state.ShardID, executed uint64, own *serverAccount) placement.Observation {
	observation := placement.Observation{Shard: id, Routed: own.rate(executed) * max(b.perRequest, lowTime), RoutedKnown: true}
	if own.executed > 0 && own.busy >= enoughBusy {
		observation.Reported = float64(executed) / float64(own.executed) * own.busy / float64(own.reports)
		observation.ReportedKnown = true
	}
	return observation
}
