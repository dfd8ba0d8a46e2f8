package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/placement"
	"github.com/thorntiller/thorntiller/internal/state"
)

// tickBalance reviews the loads of the services whose policy allows automatic
// moves, and proposes what the placement package decides. Assignments of unowned
// shards take precedence.
func (c *Coordinator) tickBalance(now time.Duration, view *state.State, actions *Actions) {
	for _, name := range slices.Sorted(maps.Keys(c.balancer.services)) {
		balanced := c.balancer.services[name]
		switch {
		case !balanced.layoutComplete:
			balanced.fillLayout(now, name, view)
		case len(balanced.serversToReview) > 0:
			balanced.applyNextLoads(now)
			if len(balanced.serversToReview) == 0 {
				c.proposeChanges(now, name, balanced, view, actions)
			}
		case now-balanced.intervalStart >= reviewInterval:
			balanced.closeInterval(now)
		}
	}
}

func (c *Coordinator) proposeChanges(now time.Duration, name state.ServiceName, balanced *balancedService, view *state.State, actions *Actions) {
	if c.pendingBalance != 0 || c.pendingRevoke != 0 || c.pendingAssign != 0 {
		return
	}
	c.updateLayoutServers(name, balanced, view)
	decision := balanced.layout.Decide(now)
	moves, parts := c.validMoves(decision, view)
	if len(moves) > 0 {
		c.pendingBalance = c.propose(actions, state.Command{RevokeShards: &state.RevokeShards{Moves: moves}})
	}
	if len(parts) == 0 && len(moves) == 0 {
		parts = splitParts(decision.Splits)
	}
	if len(parts) > 0 {
		c.pendingBalance = c.propose(actions, state.Command{SplitShards: &state.SplitShards{Parts: parts}})
	}
	if len(parts) == 0 && len(moves) == 0 {
		c.proposeMerges(name, balanced, decision.Merges, view, actions)
	}
}

// updateLayoutServers updates which servers of the layout accept shards.
func (c *Coordinator) updateLayoutServers(name state.ServiceName, balanced *balancedService, view *state.State) {
	for _, server := range view.ServersOf(name) {
		if tracker := c.trackers[server.ID]; tracker != nil {
			balanced.layout.PutServer(placementServer(server, tracker, acceptsShards(server, tracker)))
		}
	}
}

// validMoves returns the moves whose target still accepts shards: those of whole
// shards, and those of single keys, which are split off first. It skips moves off
// servers that are leaving: revokeShards starts those, whatever the policy.
func (c *Coordinator) validMoves(decision placement.Decision, view *state.State) ([]state.MoveShard, []state.ShardPart) {
	var moves []state.MoveShard
	var parts []state.ShardPart
	for _, move := range decision.Moves {
		target, found := view.Server(move.To)
		switch {
		case move.Reason == placement.ReasonEvacuate || !found || !acceptsShards(target, c.trackers[target.ID]):
		case move.Isolate:
			parts = append(parts, state.ShardPart{Shard: move.Shard, Epoch: move.Epoch, Range: move.Range, To: move.To})
		default:
			moves = append(moves, state.MoveShard{Shard: move.Shard, Epoch: move.Epoch, From: move.From, To: move.To})
		}
	}
	return moves, parts
}

func splitParts(splits []placement.Split) []state.ShardPart {
	parts := make([]state.ShardPart, 0, len(splits))
	for _, split := range splits {
		parts = append(parts, state.ShardPart{Shard: split.Shard, Epoch: split.Epoch, Range: split.Part})
	}
	return parts
}

// updateLayouts updates the layouts with the objects that a command changed.
// Changes of policies are applied at the next tick, because they need the whole
// state.
func (c *Coordinator) updateLayouts(now time.Duration, objects []state.Object) {
	for _, object := range objects {
		if object.Service != nil {
			c.changedServices = append(c.changedServices, object.Service.Name)
		}
	}
	c.balancer.applyChanges(now, objects)
}

// applyChangedPolicies starts and stops the balancing of services that changed.
func (c *Coordinator) applyChangedPolicies(now time.Duration, view *state.State) {
	for _, name := range c.changedServices {
		if service, found := view.Service(name); found {
			c.applyPolicy(now, service, view)
		} else {
			delete(c.balancer.services, name)
		}
	}
	c.changedServices = c.changedServices[:0]
}
