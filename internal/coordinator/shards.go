package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// tickShards carries each shard that needs work one step on: a move begins, a
// revoked shard is released, an unowned shard is assigned.
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

// releaseShards proposes the release of revoked shards which their owner no
// longer holds and of which it executes nothing.
func (c *Coordinator) releaseShards(view *state.State, actions *Actions) {
	released := make(map[state.ServerID][]state.ShardEpoch)
	for _, shard := range view.RevokingShards() {
		known := c.contacts[shard.Owner]
		if known == nil || known.pendingRelease != 0 {
			continue
		}
		server, _ := view.Server(shard.Owner)
		if !c.answersFor(known, server) || known.version < shard.Revision || known.runs(shard.Range) {
			continue
		}
		released[shard.Owner] = append(released[shard.Owner], state.ShardEpoch{Shard: shard.ID, Epoch: shard.Epoch})
	}
	for _, server := range slices.Sorted(maps.Keys(released)) {
		known, shards := c.contacts[server], released[server]
		shards = shards[:min(len(shards), c.config.MaxBatch)]
		known.pendingRelease = c.proposeFor(known, actions, state.Command{ReleaseShards: &state.ReleaseShards{Server: server, Shards: shards}})
	}
}

// revokeShards begins moves within each service's bound: first those that a
// plan asked for, then those off servers that are leaving.
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
	for _, known := range c.leaving {
		server, found := view.Server(known.server)
		if !found || !server.Session.Open || !leaves(server, known) {
			continue
		}
		for _, shard := range view.OwnedBy(known.server) {
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

// leaves reports whether a server is to give up its shards.
func leaves(server state.Server, known *contact) bool {
	return server.Withdrawn() || server.Intent != state.ServerActive || known.draining
}

func (c *Coordinator) finishRetirements(view *state.State, actions *Actions) {
	for _, known := range c.leaving {
		server, found := view.Server(known.server)
		if !found || server.Intent != state.ServerRetiring || known.pendingRelease != 0 {
			continue
		}
		if view.OwnedCount(server.ID) > 0 {
			continue
		}
		known.pendingRelease = c.proposeFor(known, actions, state.Command{RetireServerDone: &state.RetireServerDone{Server: server.ID}})
	}
}

// moveBudget bounds the moves in flight of each service.
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
