package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

func stopScenarios() []Scenario {
	return []Scenario{
		{Name: "planned-stop", Proves: "a planned stop of a router, a back end and the leading controller cuts off no request",
			shape: shape{duration: 16 * time.Second}, steps: plannedStop},
		{Name: "retire-backend", Proves: "a back end that is leaving gets no new work after a few seconds",
			shape: shape{duration: 15 * time.Second}, steps: retireBackEnd},
	}
}

// plannedStop stops each role under load as an operator would, one after the
// other. Bounds: no request is cut off, and the stop of the leading controller
// holds no request up for longer than 1 s.
func plannedStop(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	r.Say("stopping router-1")
	err := within(ctx, func(ctx context.Context) error { return r.StopRouter(ctx, r.Fleet.Routers[0]) })
	if err != nil {
		return err
	}
	owner, err := r.hotOwner(ctx)
	if err != nil {
		return err
	}
	r.Say("stopping %s and payout-batcher-2", owner)
	if err := r.stopLeaving(ctx, owner); err != nil {
		return err
	}
	if err := r.stopLeaving(ctx, "payout-batcher-2"); err != nil {
		return err
	}
	leading, err := r.leader(ctx)
	if err != nil {
		return err
	}
	return r.recoversWithin(ctx, "recovery_controller", failoverLimit, 3*time.Second, func() error {
		r.Say("stopping %s, which leads", leading.Name)
		from := clock.BootTime()
		if err := leading.Process.Stop(stepTimeout); err != nil {
			return err
		}
		r.Say("  stopped in %d ms", (clock.BootTime() - from).Milliseconds())
		return nil
	})
}

// retireBackEnd retires a server with keys and one without under load, and
// keeps the load up for longer than the limit. Bound: late_to_drained is zero.
func retireBackEnd(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	owner, err := r.hotOwner(ctx)
	if err != nil {
		return err
	}
	r.Say("retiring %s", owner)
	if err := within(ctx, func(ctx context.Context) error { return r.Retire(ctx, owner) }); err != nil {
		return err
	}
	r.Say("retiring payout-batcher-1")
	if err := within(ctx, func(ctx context.Context) error { return r.Retire(ctx, "payout-batcher-1") }); err != nil {
		return err
	}
	return r.sleep(ctx, record.DefaultDrainLimit+2*settle)
}
