package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/record"
)

func copiesScenarios() []Scenario {
	return []Scenario{{
		Name: "both-copies-lost", Proves: "after the loss of both copies of records, keys that may have run never run, and new keys do soon",
		shape: shape{duration: 20 * time.Second, routers: 3}, steps: bothCopiesLost,
	}}
}

const (
	// copiesLimit is the time after which new keys run: the lost primary's lease
	// of 800 ms with its clock bound and margin, 10 s for clocks that differ, and
	// 500 ms for a call that still waits for a lost router.
	copiesLimit = 11400 * time.Millisecond
	// copiesTime is how long the run goes on after the loss.
	copiesTime = 15 * time.Second
)

// bothCopiesLost kills two of three routers at once, and with them both copies of
// some partitions. Bound: the time until every request that may not be repeated
// is answered through the third.
func bothCopiesLost(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, 2*settle); err != nil {
		return err
	}
	survivor := r.Fleet.Routers[2]
	within, err := r.during(ctx, copiesTime, func() error {
		r.Say("killing all routers but %s", survivor.Name)
		r.Fleet.Routers[0].Process.Kill()
		r.Fleet.Routers[1].Process.Kill()
		return nil
	})
	if err != nil {
		return err
	}
	throughSurvivor := func(done record.Attempt) bool { return !done.Repeatable && done.Router == survivor.Address }
	r.checks = append(r.checks, recoversIn("recovery_not_repeatable", copiesLimit, within, throughSurvivor),
		r.servesWithin(survivor.Address, "served_by_survivor", span{from: within.to - settle, to: within.to}))
	return r.RestartDead(ctx)
}
