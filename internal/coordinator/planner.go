package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

// planner chooses owners for shards within one tick. Its pools count the shards
// that it has assigned, so that a batch is spread over the servers.
type planner struct {
	now      time.Duration
	view     *state.State
	trackers map[state.ServerID]*serverTracker
	balancer *balancer
	pools    map[state.ServiceName]*placement.Pool
}

func (c *Coordinator) newPlanner(now time.Duration, view *state.State) *planner {
	return &planner{
		now: now, view: view, trackers: c.trackers, balancer: c.balancer, pools: make(map[state.ServiceName]*placement.Pool),
	}
}

// choose returns the shard's target, if that accepts shards, or else the server
// with the lowest load relative to its slots.
func (p *planner) choose(shard state.Shard) (state.Server, bool) {
	if target, found := p.view.Server(shard.Target); found && target.Service == shard.Service && p.acceptsShards(target) {
		return target, true
	}
	orphan := placement.Orphan{Shard: shard.ID, Load: p.balancer.shardLoad(shard.Service, shard.ID), Except: shard.Owner}
	chosen, found := p.ensurePool(shard.Service).Assign(orphan)
	if !found {
		return state.Server{}, false
	}
	return p.view.Server(chosen)
}

// hasCandidates reports whether any server of the service accepts shards.
func (p *planner) hasCandidates(service state.ServiceName) bool {
	return p.ensurePool(service).Len() > 0
}

func (p *planner) ensurePool(service state.ServiceName) *placement.Pool {
	if pool, found := p.pools[service]; found {
		return pool
	}
	var candidates []placement.Target
	for _, server := range p.view.ServersOf(service) {
		tracker := p.trackers[server.ID]
		if tracker == nil || !p.acceptsShards(server) {
			continue
		}
		candidates = append(candidates, placement.Target{
			Server: placementServer(server, tracker, true),
			Load:   p.balancer.serverLoad(service, server.ID),
			Shards: p.view.OwnedCount(server.ID),
		})
	}
	pool := placement.NewPool(p.now, placement.DefaultLimits(), candidates, 0, 0)
	p.pools[service] = pool
	return pool
}

// placementServer converts a server for the placement package.
func placementServer(server state.Server, tracker *serverTracker, accepts bool) placement.Server {
	return placement.Server{
		ID: server.ID, Zone: server.Zone, Slots: server.Slots, Accepts: accepts, ReadyAt: tracker.readyAt,
	}
}

func (p *planner) acceptsShards(server state.Server) bool {
	return acceptsShards(server, p.trackers[server.ID])
}

// acceptsShards reports whether shards can be assigned to a server: the last
// answer came from the process of its open session, the server is not leaving, and
// the end of the session has not been proposed.
func acceptsShards(server state.Server, tracker *serverTracker) bool {
	if tracker == nil || tracker.incarnation != server.Session.Incarnation {
		return false
	}
	return server.Session.Open && !isLeaving(server, tracker) && tracker.closingSession != server.Session.Number
}
