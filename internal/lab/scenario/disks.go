package scenario

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

func diskScenarios() []Scenario {
	return []Scenario{{
		Name: "full-disk", Proves: "a leading controller that can no longer write acknowledges nothing, and another one takes over",
		shape: shape{duration: 14 * time.Second}, steps: fullDisk,
	}, {
		Name: "slow-disk", Proves: "a controller whose disk is slow, and then stalls for longer than an election, holds up nobody and loses nothing",
		shape: shape{duration: 18 * time.Second, slowDisks: true, limits: trial.Limits{MaxUnavailable: slowDiskOutage}}, steps: slowDisk,
	}}
}

// fullDisk lets each write of the leader fail, changes the configuration, and
// starts the leader again once it has ended or could be stopped. Bounds: the
// changes are accepted by another leader, and every one is in force at the end.
func fullDisk(ctx context.Context, r *run) error {
	const changes = 20
	full, err := r.settledLeader(ctx)
	if err != nil {
		return err
	}
	err = r.recoversWithin(ctx, "recovery", failoverLimit, 4*time.Second, func() error {
		r.Say("the disk of %s, which leads, is full", full.Name)
		if err := full.Process.LimitFileSize(1); err != nil {
			return err
		}
		return within(ctx, func(ctx context.Context) error { return r.changeUnder(ctx, changes) })
	})
	if err != nil {
		return err
	}
	leading, err := r.leader(ctx)
	if err != nil {
		return err
	}
	if leading == full {
		return eris.Errorf("%s leads with a full disk", full.Name)
	}
	r.Say("%s leads; starting %s with room on its disk", leading.Name, full.Name)
	full.Process.Kill()
	return within(ctx, func(ctx context.Context) error { return r.returnsToGroup(ctx, full) })
}

// changeUnder makes numbered changes and demands that the last is in force.
func (r *run) changeUnder(ctx context.Context, changes int) error {
	last, err := r.changeOften(ctx, changes)
	if err != nil {
		return err
	}
	kept, err := r.settingsOf(ctx, last.Name)
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atMost("changes_lost", float64(last.Settings.QueueLimit-kept.QueueLimit), 0))
	return nil
}

// returnsToGroup starts a controller again and waits until it has applied what
// the leader has.
func (r *run) returnsToGroup(ctx context.Context, returning *fleet.Node) error {
	if err := r.RestartDead(ctx); err != nil {
		return err
	}
	return fleet.WaitFor(ctx, returning.Name+" to catch up", func() bool {
		leading, err := r.leader(ctx)
		if err != nil {
			return false
		}
		own, ownErr := r.Fleet.Client().Status(ctx, returning.AdminAddress)
		theirs, err := r.Fleet.Client().Status(ctx, leading.AdminAddress)
		return ownErr == nil && err == nil && own.Revision >= theirs.Revision
	})
}
