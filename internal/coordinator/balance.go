package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

// balance reviews the loads of the services whose policy allows automatic
// moves, and proposes what placement decides. Shards without an owner go first.
func (c *Coordinator) balance(now time.Duration, view *state.State, actions *Actions) {
	for _, name := range slices.Sorted(maps.Keys(c.balancer.services)) {
		known := c.balancer.services[name]
		switch {
		case !known.filled:
			known.fill(now, name, view)
		case len(known.queue) > 0:
			known.take(now)
			if len(known.queue) == 0 {
				c.decide(now, name, known, view, actions)
			}
		case now-known.begin >= reviewInterval:
			known.close(now)
		}
	}
}

func (c *Coordinator) decide(now time.Duration, name state.ServiceName, known *balanced, view *state.State, actions *Actions) {
	if c.pendingBalance != 0 || c.pendingRevoke != 0 || c.pendingAssign != 0 {
		return
	}
	c.noteTakers(name, known, view)
	decision := known.layout.Decide(now)
	moves, parts := c.chosenMoves(decision, view)
	if len(moves) > 0 {
		c.pendingBalance = c.propose(actions, state.Command{RevokeShards: &state.RevokeShards{Moves: moves}})
	}
	if len(parts) == 0 && len(moves) == 0 {
		parts = partsOf(decision.Splits)
	}
	if len(parts) > 0 {
		c.pendingBalance = c.propose(actions, state.Command{SplitShards: &state.SplitShards{Parts: parts}})
	}
	if len(parts) == 0 && len(moves) == 0 {
		c.merge(name, known, decision.Merges, view, actions)
	}
}

// noteTakers tells the layout which servers take shards now.
func (c *Coordinator) noteTakers(name state.ServiceName, known *balanced, view *state.State) {
	for _, server := range view.ServersOf(name) {
		if contact := c.contacts[server.ID]; contact != nil {
			known.layout.PutServer(described(server, contact, takesShards(server, contact)))
		}
	}
}

// chosenMoves takes the moves whose target can still take shards: those of
// whole shards, and those of single keys that are cut off first. Those off
// servers that are leaving are begun elsewhere, with or without a policy.
func (c *Coordinator) chosenMoves(decision placement.Decision, view *state.State) ([]state.MoveShard, []state.ShardPart) {
	var moves []state.MoveShard
	var parts []state.ShardPart
	for _, move := range decision.Moves {
		target, found := view.Server(move.To)
		switch {
		case move.Reason == placement.ReasonEvacuate || !found || !takesShards(target, c.contacts[target.ID]):
		case move.Isolate:
			parts = append(parts, state.ShardPart{Shard: move.Shard, Epoch: move.Epoch, Range: move.Range, To: move.To})
		default:
			moves = append(moves, state.MoveShard{Shard: move.Shard, Epoch: move.Epoch, From: move.From, To: move.To})
		}
	}
	return moves, parts
}

func partsOf(splits []placement.Split) []state.ShardPart {
	parts := make([]state.ShardPart, 0, len(splits))
	for _, split := range splits {
		parts = append(parts, state.ShardPart{Shard: split.Shard, Epoch: split.Epoch, Range: split.Part})
	}
	return parts
}

// noteLayouts tells the layouts what a command changed. Policies are followed
// at the next tick, which has the whole state at hand.
func (c *Coordinator) noteLayouts(now time.Duration, objects []state.Object) {
	for _, object := range objects {
		if object.Service != nil {
			c.changedServices = append(c.changedServices, object.Service.Name)
		}
	}
	c.balancer.put(now, objects)
}

// followPolicies begins and ends the balancing of services that changed.
func (c *Coordinator) followPolicies(now time.Duration, view *state.State) {
	for _, name := range c.changedServices {
		if service, found := view.Service(name); found {
			c.follow(now, service, view)
		} else {
			delete(c.balancer.services, name)
		}
	}
	c.changedServices = c.changedServices[:0]
}
