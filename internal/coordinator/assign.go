package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// maxChosenBatches bounds the assignments that are chosen at a time, in batches.
// After the loss of many servers the assignments are proposed in the order of
// their new owners, so that each owner's set changes about once instead of with
// every batch.
const maxChosenBatches = 16

// assignShards proposes the next batch of owners for unowned shards.
func (c *Coordinator) assignShards(planner *planner, view *state.State, actions *Actions) {
	if c.awaitsClosures(planner.now, view) {
		return
	}
	if len(c.queuedAssignments) == 0 {
		c.queuedAssignments = c.chooseOwners(planner, view)
	}
	batch := c.queuedAssignments[:min(len(c.queuedAssignments), c.config.MaxBatch)]
	c.queuedAssignments = c.queuedAssignments[len(batch):]
	batch = slices.DeleteFunc(slices.Clone(batch), func(chosen state.ShardAssignment) bool {
		return !c.stillValid(chosen, view)
	})
	if len(batch) > 0 {
		c.pendingAssign = c.propose(actions, state.Command{AssignShards: &state.AssignShards{Assignments: batch}})
	}
}

// chooseOwners chooses owners for unowned shards, service by service. A service
// that has no server to assign to does not delay the others.
func (c *Coordinator) chooseOwners(planner *planner, view *state.State) []state.ShardAssignment {
	var chosen []state.ShardAssignment
	limit := maxChosenBatches * c.config.MaxBatch
	for _, service := range view.UnownedServices() {
		if len(chosen) == limit {
			break
		}
		if !planner.hasCandidates(service) || c.awaitsServers(planner.now, service, view) {
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

// awaitsClosures reports whether the assignment of unowned shards is delayed
// until the sessions of many more silent servers have ended. If all these shards
// are assigned together, each new owner gets one new set, and routers get a few
// large changes. Assigned session by session, the last shard would wait for a
// change per session. The delay is bounded.
func (c *Coordinator) awaitsClosures(now time.Duration, view *state.State) bool {
	if c.endingSoon == 0 || len(view.UnownedServices()) == 0 {
		c.assignmentsDelayedSince = -1
		return false
	}
	if c.assignmentsDelayedSince < 0 {
		if c.endingSoon < manyClosures {
			return false
		}
		c.assignmentsDelayedSince = now
	}
	return now-c.assignmentsDelayedSince < c.config.RenewInterval+2*closureInterval
}

// newServiceWait bounds the wait for the servers of a new service.
const newServiceWait = time.Second

// awaitsServers reports whether the assignment of a new service's shards, which
// never had an owner, waits for more of its servers to answer. Otherwise the
// first server that answers would get all of them.
func (c *Coordinator) awaitsServers(now time.Duration, service state.ServiceName, view *state.State) bool {
	first := view.UnownedShards(service, 1)
	if len(first) == 0 || first[0].Epoch != 0 {
		return false
	}
	since, found := c.newServiceSince[service]
	if !found {
		since = now
		c.newServiceSince[service] = now
	}
	if now-since >= newServiceWait {
		return false
	}
	return slices.ContainsFunc(view.ServersOf(service), func(server state.Server) bool {
		return server.Intent == state.ServerActive && !server.Withdrawn() && !server.Session.Open
	})
}

// stillValid reports whether a chosen assignment can still be made. Owners of
// shards whose assignment is dropped are chosen again later.
func (c *Coordinator) stillValid(chosen state.ShardAssignment, view *state.State) bool {
	shard, found := view.Shard(chosen.Shard)
	if !found || shard.Phase != state.ShardUnowned || shard.Epoch != chosen.Epoch {
		return false
	}
	server, found := view.Server(chosen.Server)
	return found && server.Session.Number == chosen.Session && acceptsShards(server, c.trackers[server.ID])
}
