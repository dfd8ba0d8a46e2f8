package capacity

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/state"
)

func newCoordinator(view *state.State) *coordinator.Coordinator {
	settings := config.DefaultController().Lease
	core := coordinator.New(coordinator.Config{
		LeaseDuration: settings.Duration, RenewInterval: settings.RenewInterval,
		ClockRateBound: settings.ClockRateBound, Margin: settings.Margin,
		RoundInterval: coordinator.DefaultRoundInterval, MaxBatch: coordinator.DefaultMaxBatch,
	})
	core.Lead(0, 1, view)
	return core
}

// tickInterval is that of the replica.
const tickInterval = 10 * time.Millisecond

// drive runs ticks in virtual time, answers every message at once, and returns
// the mean time of a tick with its answers. Proposals are left open.
func drive(core *coordinator.Coordinator, view *state.State, from time.Duration, ticks int) time.Duration {
	spent := time.Duration(0)
	for number := range ticks {
		now := from + time.Duration(number)*tickInterval
		var actions coordinator.Actions
		spent += timed(func() { actions = core.Tick(now, view) })
		for _, send := range actions.Sends {
			answer := answerTo(send, view, now)
			spent += timed(func() { core.Answered(now, send.Server, send.Request.Fence.Sequence, answer) })
		}
		if actions.Round != 0 {
			spent += timed(func() { core.RoundConfirmed(now, actions.Round) })
		}
	}
	return spent / time.Duration(ticks)
}

// answerTo is what a server answers that holds all it should.
func answerTo(send coordinator.Send, view *state.State, now time.Duration) backendapi.LeaseAnswer {
	server, _ := view.Server(send.Server)
	return backendapi.LeaseAnswer{
		Server: string(send.Server), Incarnation: server.Session.Incarnation, Accepted: true, Fence: send.Request.Fence,
		Session: uint64(server.Session.Number), ClockNs: int64(now) + 1, Version: uint64(view.AssignmentVersion(send.Server)),
	}
}

// measureTick returns the mean time of a tick, in microseconds, once every
// server holds a lease. Servers are contacted spread over the renew interval.
func measureTick(view *state.State) float64 {
	core := newCoordinator(view)
	const warmUp, measured = 60, 120
	drive(core, view, 0, warmUp)
	return float64(drive(core, view, warmUp*tickInterval, measured).Nanoseconds()) / float64(time.Microsecond)
}

// measureUnownedTick returns the time of a tick, in milliseconds, that assigns
// a first batch of shards.
func measureUnownedTick(view *state.State) float64 {
	core := newCoordinator(view)
	const warmUp = 2
	drive(core, view, 0, warmUp)
	// The first batch is still open, so that only the look at all shards counts.
	return milliseconds(drive(core, view, warmUp*tickInterval, 1))
}
