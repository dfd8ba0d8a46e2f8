package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/caller"
	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

func resendScenarios() []Scenario {
	return []Scenario{{
		Name:   "resend-elsewhere",
		Proves: "a resend with the same Idempotency-Key through another router runs nothing twice: while the first runs, after its router died, after the key moved",
		shape:  shape{duration: 14 * time.Second, caller: eagerCallers}, steps: resendElsewhere,
	}}
}

// eagerCallers sends every third request that may not be repeated through two
// routers at the same time.
func eagerCallers(config *caller.Config) {
	config.Simultaneous = 1.0 / 3
}

// resendElsewhere slows the owner of the hot key down, so that duplicates meet
// requests that run; then kills a router that has such requests; then lets the
// owner drop its answers and moves the key before the callers resend. Bounds:
// each kind of resend took place. That nothing ran twice is judged by the records
// of the back ends.
func resendElsewhere(ctx context.Context, r *run) error {
	const slow, dropped = 40, 200
	owner, err := r.hotOwner(ctx)
	if err != nil {
		return err
	}
	r.Say("%s is slow", owner)
	if err := r.setFault(owner, backend.Fault{SlowFactor: slow}); err != nil {
		return err
	}
	if err := r.sleep(ctx, 2*settle); err != nil {
		return err
	}
	lost := r.Fleet.Routers[0]
	r.Say("killing %s", lost.Name)
	lost.Process.Kill()
	if err := r.sleep(ctx, 2*settle); err != nil {
		return err
	}
	if err := within(ctx, r.RestartDead); err != nil {
		return err
	}
	r.Say("%s drops its answers, and the hot key moves", owner)
	if err := r.setFault(owner, backend.Fault{DropAnswers: dropped}); err != nil {
		return err
	}
	if err := r.sleep(ctx, settle/2); err != nil {
		return err
	}
	if err := within(ctx, r.moveHotKey); err != nil {
		return err
	}
	moved := clock.BootTime().Nanoseconds()
	r.checks = append(r.checks,
		func(attempts []record.Attempt) Bound {
			return atLeast("resent_while_running", float64(resent(attempts, whileRunning)), 1)
		},
		func(attempts []record.Attempt) Bound {
			return atLeast("resent_after_router_died", float64(resent(attempts, afterLossOf(lost.Address))), 1)
		},
		func(attempts []record.Attempt) Bound {
			return atLeast("resent_after_move", float64(resent(attempts, afterMove(trial.HotKey(paylink()), moved))), 1)
		})
	return r.sleep(ctx, 2*settle)
}

// resent counts the attempts that a selector finds to be a resend of an earlier
// one of the same request, which may not be repeated, through another router.
func resent(attempts []record.Attempt, selects func(earlier, later record.Attempt) bool) int {
	byRequest := make(map[string][]record.Attempt)
	for _, done := range attempts {
		if !done.Repeatable {
			byRequest[done.Request] = append(byRequest[done.Request], done)
		}
	}
	count := 0
	for _, group := range byRequest {
		for _, later := range group {
			for _, earlier := range group {
				if earlier.SentNs < later.SentNs && earlier.Router != later.Router && selects(earlier, later) {
					count++
					break
				}
			}
		}
	}
	return count
}

func whileRunning(earlier, later record.Attempt) bool {
	return later.SentNs < earlier.ReceivedNs && earlier.Outcome == fault.Completed
}

func afterLossOf(router string) func(earlier, later record.Attempt) bool {
	return func(earlier, later record.Attempt) bool {
		return earlier.Router == router && earlier.Transport == record.TransportLost && later.SentNs > earlier.ReceivedNs
	}
}

func afterMove(key string, movedNs int64) func(earlier, later record.Attempt) bool {
	return func(earlier, later record.Attempt) bool {
		return earlier.Key == key && earlier.Outcome == fault.Unknown && earlier.ReceivedNs < movedNs && later.SentNs > movedNs
	}
}
