package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

// planner chooses owners for shards within one tick. Its pools count what it
// gave away, so that a batch spreads over the servers.
type planner struct {
	now      time.Duration
	view     *state.State
	contacts map[state.ServerID]*contact
	balancer *balancer
	pools    map[state.ServiceName]*placement.Pool
}

func (c *Coordinator) newPlanner(now time.Duration, view *state.State) *planner {
	return &planner{
		now: now, view: view, contacts: c.contacts, balancer: c.balancer, pools: make(map[state.ServiceName]*placement.Pool),
	}
}

// choose returns the shard's target, if it can take shards, or else the server
// that carries least for its slots.
func (p *planner) choose(shard state.Shard) (state.Server, bool) {
	if target, found := p.view.Server(shard.Target); found && target.Service == shard.Service && p.takesShards(target) {
		return target, true
	}
	orphan := placement.Orphan{Shard: shard.ID, Load: p.balancer.load(shard.Service, shard.ID), Except: shard.Owner}
	chosen, found := p.poolOf(shard.Service).Take(orphan)
	if !found {
		return state.Server{}, false
	}
	return p.view.Server(chosen)
}

// hasTakers reports whether some server of the service can take shards.
func (p *planner) hasTakers(service state.ServiceName) bool {
	return p.poolOf(service).Len() > 0
}

func (p *planner) poolOf(service state.ServiceName) *placement.Pool {
	if known, found := p.pools[service]; found {
		return known
	}
	var takers []placement.Taker
	for _, server := range p.view.ServersOf(service) {
		known := p.contacts[server.ID]
		if known == nil || !p.takesShards(server) {
			continue
		}
		takers = append(takers, placement.Taker{
			Server: described(server, known, true),
			Load:   p.balancer.serverLoad(service, server.ID),
			Shards: p.view.OwnedCount(server.ID),
		})
	}
	pool := placement.NewPool(p.now, placement.DefaultLimits(), takers, 0, 0)
	p.pools[service] = pool
	return pool
}

// described returns a server as placement sees it.
func described(server state.Server, known *contact, accepts bool) placement.Server {
	return placement.Server{
		ID: server.ID, Zone: server.Zone, Slots: server.Slots, Accepts: accepts, ReadyAt: known.readyAt,
	}
}

func (p *planner) takesShards(server state.Server) bool {
	return takesShards(server, p.contacts[server.ID])
}

// takesShards reports whether a server can be given shards.
func takesShards(server state.Server, known *contact) bool {
	if known == nil || known.incarnation != server.Session.Incarnation {
		return false
	}
	return server.Session.Open && !leaves(server, known) && known.closing != server.Session.Number
}
