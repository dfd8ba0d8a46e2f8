package scenario

import (
	"context"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/state"
)

func placementScenarios() []Scenario {
	return []Scenario{{
		Name:   "automatic-placement",
		Proves: "shards move for the sake of balance only once an operator confirmed that policy, and a hot key then moves alone",
		shape:  shape{rate: 400, duration: 38 * time.Second}, steps: automaticPlacement,
	}}
}

// placedService is the service whose hot key is to move.
const placedService state.ServiceName = "ledger-view"

// automaticPlacement lets one server lose its shards and come back empty,
// confirms the policy, and waits until a hot key has a shard of its own and
// another owner. Bounds: nothing moves before the policy, a hot key moves within
// four looks at the loads, and no more than a tenth of the key space changes its
// owner.
func automaticPlacement(ctx context.Context, r *run) error {
	const watched, limit = 8 * time.Second, 20 * time.Second
	if err := r.comeBackEmpty(ctx); err != nil {
		return err
	}
	before, err := r.Fleet.Client().Shards(ctx, placedService)
	if err != nil {
		return err
	}
	if err := r.sleep(ctx, watched); err != nil {
		return err
	}
	unchanged, err := r.Fleet.Client().Shards(ctx, placedService)
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atMost("moves_without_policy", changes(before, unchanged), 0))
	r.Say("confirming automatic placement for %s", placedService)
	if err := r.allowMoves(ctx); err != nil {
		return err
	}
	began := clock.BootTime()
	var after []state.Shard
	err = fleet.WaitFor(ctx, "a hot key to move alone", func() bool {
		after, err = r.Fleet.Client().Shards(ctx, placedService)
		return err == nil && movedAlone(unchanged, after)
	})
	if err != nil {
		return err
	}
	const most = 0.1
	r.bounds = append(r.bounds,
		atMost("hot_key_moves_ms", milliseconds(clock.BootTime()-began), milliseconds(limit)),
		atMost("churn", churn(unchanged, after), most))
	return r.sleep(ctx, settle)
}

// comeBackEmpty kills a server and starts it again once its shards have other
// owners.
func (r *run) comeBackEmpty(ctx context.Context) error {
	const lost state.ServerID = "ledger-view-1"
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	r.Say("killing %s, which comes back empty", lost)
	if err := r.KillBackEnd(lost); err != nil {
		return err
	}
	if err := r.sleep(ctx, 2*newOwnerLimit); err != nil {
		return err
	}
	if err := within(ctx, r.RestartDead); err != nil {
		return err
	}
	return r.sleep(ctx, settle)
}

// allowMoves confirms the policy as an operator.
func (r *run) allowMoves(ctx context.Context) error {
	for _, service := range paylink().Services {
		if service.Name != placedService {
			continue
		}
		settings := service.Settings
		settings.Placement.Automatic = true
		return within(ctx, func(ctx context.Context) error {
			return r.Execute(ctx, state.Intent{
				ID: "allow-moves", Operator: operatorName, Kind: state.IntentUpdateService,
				UpdateService: &state.UpdateService{Name: service.Name, Settings: settings},
			})
		})
	}
	return nil
}

// changes counts the shards whose epoch or range differ.
func changes(before, after []state.Shard) float64 {
	known := make(map[state.ShardID]state.Shard, len(before))
	for _, shard := range before {
		known[shard.ID] = shard
	}
	count := 0
	for _, shard := range after {
		if known[shard.ID].Epoch != shard.Epoch || known[shard.ID].Range != shard.Range {
			count++
		}
	}
	return float64(count)
}

// movedAlone reports whether some key has a shard of its own and another owner.
func movedAlone(before, after []state.Shard) bool {
	return slices.ContainsFunc(after, func(shard state.Shard) bool {
		alone := shard.Range.First == shard.Range.Last && shard.Phase == state.ShardOwned
		return alone && shard.Owner != holder(before, shard.Range.First).Owner
	})
}

func holder(shards []state.Shard, hash uint64) state.Shard {
	for _, shard := range shards {
		if shard.Range.Contains(hash) {
			return shard
		}
	}
	return state.Shard{}
}

// churn is the share of the key space whose owner differs.
func churn(before, after []state.Shard) float64 {
	share := 0.0
	for _, shard := range after {
		if holder(before, shard.Range.First).Owner != shard.Owner {
			share += shard.Range.Width()
		}
	}
	return share
}
