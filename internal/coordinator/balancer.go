package coordinator

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// reviewInterval is the time between two reviews of a service's loads.
	reviewInterval = 5 * time.Second
	// reviewChunk bounds the shards or shard loads of a service that are copied
	// into its layout in one tick, so that a large service does not block the
	// leader.
	reviewChunk = 2048
	// maxLoadSplits bounds the new shards of one command that get a share of the
	// load of the shard that they were split from.
	maxLoadSplits = 64
)

// balancer holds the services whose policy lets the controllers move shards to
// balance load. It lasts for one term of leadership.
type balancer struct {
	services map[state.ServiceName]*balancedService
}

func newBalancer() *balancer {
	return &balancer{services: make(map[state.ServiceName]*balancedService)}
}

// balancedService holds the layout and the loads of one such service.
type balancedService struct {
	layout    *placement.Layout
	estimator *placement.Estimator
	// current sums up the load reports since intervalStart. previous holds the
	// totals of the interval before, of which the loads of serversToReview are
	// yet to be applied.
	current         loadTotals
	previous        loadTotals
	intervalStart   time.Duration
	serversToReview []state.ServerID
	// unconfirmedMerges are merged shards that their owners have not confirmed.
	unconfirmedMerges []state.ShardEpoch
	// requestSeconds is the smoothed time for which a request occupies a slot, in
	// seconds; zero until a server has reported busy slots.
	requestSeconds float64
	// layoutComplete is true once the layout holds every shard; until then it
	// holds those of hashes below layoutEnd.
	layoutComplete bool
	layoutEnd      uint64
}

// shardLoad returns a shard's smoothed load in busy slots, or zero if the
// service is not balanced or the load is unknown.
func (b *balancer) shardLoad(service state.ServiceName, shard state.ShardID) float64 {
	balanced := b.services[service]
	if balanced == nil {
		return 0
	}
	load, _ := balanced.estimator.ShardLoad(shard)
	return load
}

func (b *balancer) serverLoad(service state.ServiceName, server state.ServerID) float64 {
	balanced := b.services[service]
	if balanced == nil {
		return 0
	}
	return balanced.layout.ServerLoad(server)
}

// applyPolicy starts or stops the balancing of a service according to its policy.
func (c *Coordinator) applyPolicy(now time.Duration, service state.Service, view *state.State) {
	wanted := service.Placement.Automatic && service.Keyed && service.Mode != state.ModeObserved
	balanced := c.balancer.services[service.Name]
	switch {
	case !wanted:
		delete(c.balancer.services, service.Name)
	case balanced == nil:
		c.balancer.services[service.Name] = c.newBalanced(now, service, view)
	default:
		balanced.layout.SetPolicy(service.Weights, placementLimits(service, view))
	}
}

// placementLimits returns the placement limits of a service. A service that was
// created with many shards may double their number before splits stop. If its
// policy allows merges, which reduce the number again, the limit is derived from
// the minimum number of shards instead of the present one.
func placementLimits(service state.Service, view *state.State) placement.Limits {
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

func (c *Coordinator) newBalanced(now time.Duration, service state.Service, view *state.State) *balancedService {
	created := &balancedService{
		layout:    placement.NewLayout(service.Weights, placementLimits(service, view)),
		estimator: placement.NewEstimator(placement.DefaultEstimatorConfig()),
		current:   make(loadTotals), intervalStart: now,
	}
	c.updateLayoutServers(service.Name, created, view)
	return created
}

// fillLayout adds the next chunk of the service's shards to the layout, in the
// order of their ranges. Shards that change meanwhile are updated by applyChanges.
func (b *balancedService) fillLayout(now time.Duration, service state.ServiceName, view *state.State) {
	for range reviewChunk {
		shard, found := view.ShardAt(service, b.layoutEnd)
		if !found {
			b.layoutComplete = true
			return
		}
		b.layout.PutShard(now, placementShard(shard))
		b.layoutEnd = shard.Range.Last + 1
		if b.layoutEnd == 0 {
			b.layoutComplete = true
			return
		}
	}
}

// placementShard converts a shard for the placement package.
func placementShard(shard state.Shard) placement.Shard {
	return placement.Shard{
		ID: shard.ID, Range: shard.Range, Owner: shard.Owner, Epoch: shard.Epoch,
		Moving: shard.Phase == state.ShardRevoking || shard.Target != "",
	}
}

// applyChanges updates the layouts with the shards that one command changed.
func (b *balancer) applyChanges(now time.Duration, objects []state.Object) {
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
		b.services[shard.Service].mergeLoad(kept, shard)
	}
	// A command that splits shards creates few of them. Other new shards belong to
	// ranges that fillLayout has not reached.
	for _, shard := range created[:min(len(created), maxLoadSplits)] {
		b.services[shard.Service].splitLoad(kept, shard)
	}
	for _, shard := range slices.Concat(kept, created) {
		balanced := b.services[shard.Service]
		balanced.layout.PutShard(now, placementShard(shard))
		load, _ := balanced.estimator.ShardLoad(shard.ID)
		balanced.layout.SetLoad(shard.ID, load, 0, 0)
	}
}

// splitLoad gives a new shard that was split off its share of the load of the
// shard that contained its range.
func (b *balancedService) splitLoad(kept []state.Shard, created state.Shard) {
	for _, candidate := range kept {
		before, found := b.layout.Shard(candidate.ID)
		if found && candidate.Service == created.Service && before.Range.Contains(created.Range.First) {
			share := created.Range.Width() / before.Range.Width()
			if before.HotShare > 0 && created.Range.Contains(before.HotHash) {
				share = max(share, before.HotShare)
			}
			b.estimator.Split(candidate.ID, created.ID, min(share, 1))
			return
		}
	}
}

// mergeLoad adds the load of a deleted shard to the one that took over its range.
func (b *balancedService) mergeLoad(kept []state.Shard, gone state.Shard) {
	before, found := b.layout.Shard(gone.ID)
	if !found {
		return
	}
	for _, candidate := range kept {
		if candidate.Service == gone.Service && candidate.Range.Contains(before.Range.First) {
			b.estimator.Merge(candidate.ID, gone.ID)
			b.layout.MergeShard(candidate.ID, gone.ID)
			return
		}
	}
	b.estimator.Forget(gone.ID)
	b.layout.RemoveShard(gone.ID)
}

// closeInterval ends the interval and starts its review.
func (b *balancedService) closeInterval(now time.Duration) {
	b.previous = b.current
	b.current = make(loadTotals)
	b.intervalStart = now
	b.updateRequestSeconds()
	b.serversToReview = b.serversToReview[:0]
	for server, totals := range b.previous {
		if totals.duration > 0 {
			b.serversToReview = append(b.serversToReview, server)
		}
	}
	slices.Sort(b.serversToReview)
}

const (
	// defaultRequestSeconds is the assumed time of a request while no server has
	// reported busy slots. It is so short that the capacity reserved for the loss of
	// a zone has no effect.
	defaultRequestSeconds = 1e-4
	// requestSecondsWeight is the weight of the newest interval in the smoothed
	// time of a request.
	requestSecondsWeight = 0.2
	// minBusySlots is the number of busy slots, summed over the reports of an
	// interval, below which a server's reports of them are treated as noise.
	minBusySlots = 64
)

// updateRequestSeconds updates the smoothed time of a request from the closed
// interval. It uses the median over the servers, which a minority of wrong reports
// cannot change much.
func (b *balancedService) updateRequestSeconds() {
	times := make([]float64, 0, len(b.previous))
	for _, totals := range b.previous {
		if totals.requests > 0 && totals.duration > 0 && totals.busySlots > 0 {
			times = append(times, totals.busySlots/float64(totals.reports)/totals.perSecond(totals.requests))
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	median := times[len(times)/2]
	if b.requestSeconds == 0 {
		b.requestSeconds = median
	}
	b.requestSeconds += requestSecondsWeight * (median - b.requestSeconds)
}

// applyNextLoads applies the loads of the next chunk of servers.
func (b *balancedService) applyNextLoads(now time.Duration) {
	for applied := 0; applied < reviewChunk && len(b.serversToReview) > 0; {
		server := b.serversToReview[0]
		b.serversToReview = b.serversToReview[1:]
		applied += b.applyServerLoads(now, server, b.previous[server]) + 1
	}
}

// applyServerLoads applies the loads of one server's shards and returns the number
// of these shards. Shards that the server did not report executed no requests.
func (b *balancedService) applyServerLoads(now time.Duration, server state.ServerID, totals *serverTotals) int {
	shards := b.layout.Owned(server)
	counted := totals.byShard()
	observations := make([]placement.Observation, 0, len(shards))
	for _, shard := range shards {
		observations = append(observations, b.observation(shard.ID, counted[shard.ID].Requests, totals))
	}
	b.estimator.Observe(now, observations)
	for _, shard := range shards {
		load, _ := b.estimator.ShardLoad(shard.ID)
		counts := counted[shard.ID]
		b.layout.SetLoad(shard.ID, load, counts.HotHash, float64(counts.HotRequests)/float64(max(counts.Requests, 1)))
	}
	return len(shards)
}

// observation returns the load of a shard from two sources, which the estimator
// checks against each other: the requests that its server counted, each at the
// time that a request takes on all servers, bound the server's own report of busy
// slots.
func (b *balancedService) observation(id state.ShardID, requests uint64, totals *serverTotals) placement.Observation {
	observation := placement.Observation{Shard: id, Routed: totals.perSecond(requests) * max(b.requestSeconds, defaultRequestSeconds), RoutedKnown: true}
	if totals.requests > 0 && totals.busySlots >= minBusySlots {
		observation.Reported = float64(requests) / float64(totals.requests) * totals.busySlots / float64(totals.reports)
		observation.ReportedKnown = true
	}
	return observation
}
