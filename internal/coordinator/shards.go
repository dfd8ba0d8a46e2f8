package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// tickShards proposes the next step for shards that need one: revoked shards are
// released, unowned shards assigned and moves started.
func (c *Coordinator) tickShards(now time.Duration, view *state.State, actions *Actions) {
	c.releaseShards(view, actions)
	planner := c.newPlanner(now, view)
	if c.pendingAssign == 0 {
		c.assignShards(planner, view, actions)
	}
	if c.pendingRevoke == 0 {
		c.revokeShards(planner, view, actions)
	}
	c.finishRetirements(view, actions)
}

// releaseShards proposes the release of revoked shards that their owner no longer
// holds and for which it executes no requests.
func (c *Coordinator) releaseShards(view *state.State, actions *Actions) {
	released := make(map[state.ServerID][]state.ShardEpoch)
	for _, shard := range view.RevokingShards() {
		tracker := c.trackers[shard.Owner]
		if tracker == nil || tracker.pendingRelease != 0 {
			continue
		}
		server, _ := view.Server(shard.Owner)
		if !c.answeredInSession(tracker, server) || tracker.assignmentVersion < shard.Revision || tracker.executesIn(shard.Range) {
			continue
		}
		released[shard.Owner] = append(released[shard.Owner], state.ShardEpoch{Shard: shard.ID, Epoch: shard.Epoch})
	}
	for _, server := range slices.Sorted(maps.Keys(released)) {
		tracker, shards := c.trackers[server], released[server]
		shards = shards[:min(len(shards), c.config.MaxBatch)]
		tracker.pendingRelease = c.proposeFor(tracker, actions, state.Command{ReleaseShards: &state.ReleaseShards{Server: server, Shards: shards}})
	}
}

// revokeShards begins moves within each service's MaxMoves: first those of shards
// whose target is chosen already, then those off servers that are leaving.
func (c *Coordinator) revokeShards(planner *planner, view *state.State, actions *Actions) {
	targeted := view.TargetedShards()
	if len(targeted) == 0 && len(c.leaving) == 0 {
		return
	}
	budget := newMoveBudget(view)
	var moves []state.MoveShard
	for _, shard := range targeted {
		moves = appendMove(moves, shard, planner, budget)
	}
	for _, tracker := range c.leaving {
		server, found := view.Server(tracker.server)
		if !found || !server.Session.Open || !isLeaving(server, tracker) {
			continue
		}
		for _, shard := range view.OwnedBy(tracker.server) {
			if shard.Phase == state.ShardOwned && shard.Target == "" {
				moves = appendMove(moves, shard, planner, budget)
			}
		}
	}
	if len(moves) > 0 {
		moves = moves[:min(len(moves), c.config.MaxBatch)]
		c.pendingRevoke = c.propose(actions, state.Command{RevokeShards: &state.RevokeShards{Moves: moves}})
	}
}

func appendMove(moves []state.MoveShard, shard state.Shard, planner *planner, budget *moveBudget) []state.MoveShard {
	if !budget.allows(shard.Service) {
		return moves
	}
	target, found := planner.choose(shard)
	if !found || target.ID == shard.Owner {
		return moves
	}
	budget.spend(shard.Service)
	return append(moves, state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: shard.Owner, To: target.ID})
}

// isLeaving reports whether a server is to give up its shards.
func isLeaving(server state.Server, tracker *serverTracker) bool {
	return server.Withdrawn() || server.Intent != state.ServerActive || tracker.draining
}

func (c *Coordinator) finishRetirements(view *state.State, actions *Actions) {
	for _, tracker := range c.leaving {
		server, found := view.Server(tracker.server)
		if !found || server.Intent != state.ServerRetiring || tracker.pendingRelease != 0 {
			continue
		}
		if view.OwnedCount(server.ID) > 0 {
			continue
		}
		tracker.pendingRelease = c.proposeFor(tracker, actions, state.Command{RetireServerDone: &state.RetireServerDone{Server: server.ID}})
	}
}

// moveBudget holds how many more moves of each service may begin now.
type moveBudget struct {
	left map[state.ServiceName]int
}

func newMoveBudget(view *state.State) *moveBudget {
	budget := &moveBudget{left: make(map[state.ServiceName]int)}
	for _, service := range view.Services() {
		budget.left[service.Name] = service.MaxMoves - view.UnownedCount(service.Name)
	}
	for _, shard := range view.RevokingShards() {
		budget.left[shard.Service]--
	}
	return budget
}

func (b *moveBudget) allows(service state.ServiceName) bool {
	return b.left[service] > 0
}

func (b *moveBudget) spend(service state.ServiceName) {
	b.left[service]--
}
