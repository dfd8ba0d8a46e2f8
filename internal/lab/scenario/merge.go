package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
	"github.com/thorntiller/thorntiller/internal/state"
)

func mergeScenarios() []Scenario {
	return []Scenario{{
		Name:   "split-and-merge",
		Proves: "a hot key that was split off comes back and its shard is merged again under load, and no request fails",
		shape:  shape{rate: 400, duration: 18 * time.Second}, steps: splitAndMerge,
	}}
}

// splitAndMerge splits the hot key off twice, brings it back and merges the
// three parts again. Bounds: as many shards as before, no request that fails,
// and none that waits for 1 s.
func splitAndMerge(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	before, err := r.Fleet.Client().Shards(ctx, keyedService)
	if err != nil {
		return err
	}
	whole := span{from: clock.BootTime()}
	for round := range 2 {
		if err := r.splitOffAndBack(ctx, round); err != nil {
			return err
		}
		if err := r.mergeAroundHotKey(ctx, round); err != nil {
			return err
		}
		if err := r.sleep(ctx, settle); err != nil {
			return err
		}
	}
	whole.to = clock.BootTime()
	after, err := r.Fleet.Client().Shards(ctx, keyedService)
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atMost("shards_left", float64(len(after)-len(before)), 0))
	r.checks = append(r.checks,
		func(attempts []record.Attempt) Bound { return atMost("failed", float64(failed(attempts, whole)), 0) },
		func(attempts []record.Attempt) Bound {
			return atMost("slowest_ms", milliseconds(latencyAt(attempts, whole, 1)), milliseconds(newOwnerLimit))
		})
	return nil
}

// splitOffAndBack moves the hot key alone to another server, and back.
func (r *run) splitOffAndBack(ctx context.Context, round int) error {
	owner, err := r.hotOwner(ctx)
	if err != nil {
		return err
	}
	if err := within(ctx, r.moveHotKey); err != nil {
		return err
	}
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	r.Say("moving the hot key back to %s", owner)
	return within(ctx, func(ctx context.Context) error {
		err := r.Execute(ctx, state.Intent{
			ID: state.IntentID(fmt.Sprintf("back-%d", round)), Operator: operatorName, Kind: state.IntentMoveKey,
			MoveKey: &state.MoveKey{Service: keyedService, Key: trial.HotKey(paylink()), To: owner},
		})
		if err != nil {
			return err
		}
		return fleet.WaitFor(ctx, "the hot key to be back", func() bool {
			now, err := r.hotOwner(ctx)
			return err == nil && now == owner && r.Fleet.WaitOwned(ctx) == nil
		})
	})
}

// mergeAroundHotKey merges the hot key's shard with the one before it, and that
// with the one behind.
func (r *run) mergeAroundHotKey(ctx context.Context, round int) error {
	for _, step := range []struct {
		name   string
		behind bool
	}{{"before", false}, {"behind", true}} {
		first, second, err := r.aroundHotKey(ctx, step.behind)
		if err != nil {
			return err
		}
		r.Say("merging shards %d and %d", first, second)
		err = within(ctx, func(ctx context.Context) error {
			return r.Execute(ctx, state.Intent{
				ID: state.IntentID(fmt.Sprintf("merge-%s-%d", step.name, round)), Operator: operatorName, Kind: state.IntentMergeShards,
				MergeShards: &state.MergeNeighbours{Service: keyedService, First: first, Second: second},
			})
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// aroundHotKey returns the hot key's shard and its neighbour, in the order of
// their keys.
func (r *run) aroundHotKey(ctx context.Context, behind bool) (state.ShardID, state.ShardID, error) {
	shards, err := r.Fleet.Client().Shards(ctx, keyedService)
	if err != nil {
		return 0, 0, err
	}
	hash := state.HashKey(trial.HotKey(paylink()))
	for position, shard := range shards {
		switch {
		case !shard.Range.Contains(hash):
		case behind && position+1 < len(shards):
			return shard.ID, shards[position+1].ID, nil
		case !behind && position > 0:
			return shards[position-1].ID, shard.ID, nil
		}
	}
	return 0, 0, eris.New("the hot key's shard has no neighbour")
}

// failed counts the attempts that were sent within a span and did not end with
// an answer of the service.
func failed(attempts []record.Attempt, within span) int {
	count := 0
	for _, done := range attempts {
		if within.contains(done.SentNs) && done.Outcome != fault.Completed {
			count++
		}
	}
	return count
}
