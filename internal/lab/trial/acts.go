package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/state"
)

// operator is the name that a trial's intents bear.
const operator = "lab"

func intentID(name string) state.IntentID {
	return state.IntentID(fmt.Sprintf("%s-%d", name, clock.BootTime().Nanoseconds()))
}

// Execute plans an intent, shows the plan, and confirms it. The accepted
// revision must then be in force in time and never revert.
func (t *Trial) Execute(ctx context.Context, intent state.Intent) error {
	plan, err := fleet.Execute(ctx, t.Fleet.Client(), intent)
	if err != nil {
		return err
	}
	for _, reason := range plan.Reasons[:min(len(plan.Reasons), 3)] {
		t.Say("  plan: %s", reason)
	}
	t.Accept(plan)
	return nil
}

// Accept records that an operator was told that a plan is accepted.
func (t *Trial) Accept(plan state.Plan) {
	t.observer.accept(plan)
}

// MoveKey moves a key to a server that placement chooses, and waits until the
// move is complete.
func (t *Trial) MoveKey(ctx context.Context, service state.ServiceName, key string) error {
	before, err := t.shardOf(ctx, service, key)
	if err != nil {
		return err
	}
	err = t.Execute(ctx, state.Intent{
		ID: intentID("move"), Operator: operator, Kind: state.IntentMoveKey,
		MoveKey: &state.MoveKey{Service: service, Key: key},
	})
	if err != nil {
		return err
	}
	return fleet.WaitFor(ctx, "the move of "+key, func() bool {
		after, err := t.shardOf(ctx, service, key)
		return err == nil && after.Phase == state.ShardOwned && after.Epoch > before.Epoch && after.Owner != before.Owner
	})
}

func (t *Trial) shardOf(ctx context.Context, service state.ServiceName, key string) (state.Shard, error) {
	shards, err := t.Fleet.Client().Shards(ctx, service)
	if err != nil {
		return state.Shard{}, err
	}
	hash := state.HashKey(key)
	for _, shard := range shards {
		if shard.Range.Contains(hash) {
			return shard, nil
		}
	}
	return state.Shard{}, eris.Errorf("no shard of %s holds key %q", service, key)
}

// Retire retires a server and waits until it owns nothing.
func (t *Trial) Retire(ctx context.Context, server state.ServerID) error {
	err := t.Execute(ctx, state.Intent{
		ID: intentID("retire"), Operator: operator, Kind: state.IntentRetireServer,
		RetireServer: &state.RetireServer{Server: server},
	})
	if err != nil {
		return err
	}
	if err := t.MarkDrain(server); err != nil {
		return err
	}
	return fleet.WaitFor(ctx, "the retirement of "+string(server), func() bool {
		servers, err := t.Fleet.Client().Servers(ctx)
		if err != nil {
			return false
		}
		for _, known := range servers {
			if known.ID == server {
				return known.Intent == state.ServerRetired
			}
		}
		return false
	})
}

// KillBackEnd kills a back end without warning.
func (t *Trial) KillBackEnd(server state.ServerID) error {
	backEnd, found := t.Fleet.BackEnd(server)
	if !found {
		return eris.Errorf("the fleet has no back end %q", server)
	}
	backEnd.Process.Kill()
	return nil
}

// KillLeader kills the leading controller and waits for its successor.
func (t *Trial) KillLeader(ctx context.Context) error {
	leader, err := t.Fleet.Leader(ctx)
	if err != nil {
		return err
	}
	t.Say("  %s led", leader.Name)
	leader.Process.Kill()
	return t.Fleet.WaitLeader(ctx)
}

// RestartDead starts every process that was killed, and waits until the
// routers are ready and every shard has an owner.
func (t *Trial) RestartDead(ctx context.Context) error {
	for _, controller := range t.Fleet.Controllers {
		if !controller.Process.Running() {
			if err := t.Fleet.StartController(controller); err != nil {
				return err
			}
		}
	}
	for _, router := range t.Fleet.Routers {
		if !router.Process.Running() {
			if err := t.Fleet.StartRouter(router); err != nil {
				return err
			}
		}
	}
	for _, backEnd := range t.Fleet.BackEnds {
		if !backEnd.Process.Running() {
			if err := t.Fleet.StartBackEnd(backEnd); err != nil {
				return err
			}
		}
	}
	if err := t.Fleet.WaitRouters(ctx); err != nil {
		return err
	}
	return t.Fleet.WaitOwned(ctx)
}

// StopRouter stops a router as an operator would, records the span, and starts
// it again.
func (t *Trial) StopRouter(ctx context.Context, router *fleet.Node) error {
	const patience = 20 * time.Second
	from := clock.BootTime()
	if err := router.Process.Stop(patience); err != nil {
		return err
	}
	if err := t.MarkPlannedStop("", router.Address, from); err != nil {
		return err
	}
	if err := t.Fleet.StartRouter(router); err != nil {
		return err
	}
	return t.Fleet.WaitRouters(ctx)
}
