package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// batchesAhead bounds the assignments that are chosen at a time, in batches.
// After a large loss they go out server by server, so that each server gets its
// new set once rather than with every batch.
const batchesAhead = 16

// assignShards proposes the next batch of owners for shards without one.
func (c *Coordinator) assignShards(planner *planner, view *state.State, actions *Actions) {
	if c.awaitsClosures(planner.now, view) {
		return
	}
	if len(c.assignments) == 0 {
		c.assignments = c.chooseOwners(planner, view)
	}
	batch := c.assignments[:min(len(c.assignments), c.config.MaxBatch)]
	c.assignments = c.assignments[len(batch):]
	batch = slices.DeleteFunc(slices.Clone(batch), func(chosen state.ShardAssignment) bool {
		return !c.stillGood(chosen, view)
	})
	if len(batch) > 0 {
		c.pendingAssign = c.propose(actions, state.Command{AssignShards: &state.AssignShards{Assignments: batch}})
	}
}

// chooseOwners chooses service by service. A service without servers holds up
// no other.
func (c *Coordinator) chooseOwners(planner *planner, view *state.State) []state.ShardAssignment {
	var chosen []state.ShardAssignment
	limit := batchesAhead * c.config.MaxBatch
	for _, service := range view.UnownedServices() {
		if len(chosen) == limit {
			break
		}
		if !planner.hasTakers(service) || c.awaitsServers(planner.now, service, view) {
			continue
		}
		for _, shard := range view.UnownedShards(service, limit-len(chosen)) {
			target, found := planner.choose(shard)
			if !found {
				continue
			}
			chosen = append(chosen, state.ShardAssignment{
				Shard: shard.ID, Epoch: shard.Epoch, Server: target.ID, Session: target.Session.Number,
			})
		}
	}
	if len(chosen) > c.config.MaxBatch {
		slices.SortStableFunc(chosen, func(a, b state.ShardAssignment) int { return cmp.Compare(a.Server, b.Server) })
	}
	return chosen
}

// awaitsClosures reports whether shards without an owner wait for those of many
// more servers that are about to be lost. Together each new owner takes one set
// of shards, and routers a few large changes; one by one the last shard waits
// for all of them.
func (c *Coordinator) awaitsClosures(now time.Duration, view *state.State) bool {
	if c.ending == 0 || len(view.UnownedServices()) == 0 {
		c.gatheringSince = -1
		return false
	}
	if c.gatheringSince < 0 {
		if c.ending < manyClosures {
			return false
		}
		c.gatheringSince = now
	}
	return now-c.gatheringSince < c.config.RenewInterval+2*closurePace
}

// foundingWait bounds the wait for the servers of a new service.
const foundingWait = time.Second

// awaitsServers reports whether a service whose shards never had an owner waits
// for more of its servers to answer: the first one would get everything.
func (c *Coordinator) awaitsServers(now time.Duration, service state.ServiceName, view *state.State) bool {
	first := view.UnownedShards(service, 1)
	if len(first) == 0 || first[0].Epoch != 0 {
		return false
	}
	since, found := c.founding[service]
	if !found {
		since = now
		c.founding[service] = now
	}
	if now-since >= foundingWait {
		return false
	}
	return slices.ContainsFunc(view.ServersOf(service), func(server state.Server) bool {
		return server.Intent == state.ServerActive && !server.Withdrawn() && !server.Session.Open
	})
}

// stillGood reports whether nothing changed since the owner was chosen. What is
// left out is chosen anew.
func (c *Coordinator) stillGood(chosen state.ShardAssignment, view *state.State) bool {
	shard, found := view.Shard(chosen.Shard)
	if !found || shard.Phase != state.ShardUnowned || shard.Epoch != chosen.Epoch {
		return false
	}
	server, found := view.Server(chosen.Server)
	return found && server.Session.Number == chosen.Session && takesShards(server, c.contacts[server.ID])
}
