package scenario

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/httpclient"
	"github.com/thorntiller/thorntiller/internal/lab/platform"
	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/platformapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// keyedService is the service with keys whose servers most scenarios act on.
const keyedService state.ServiceName = "ledger-view"

func backEndScenarios() []Scenario {
	return []Scenario{
		{Name: "kill-backend", Proves: "servers come and go: a new owner within 1 s of a loss, nothing runs twice", steps: killBackEnd},
		{Name: "deadly-request", Proves: "a request that crashes the servers that run it reaches few of them, over all routers",
			shape: shape{duration: 14 * time.Second}, steps: deadlyRequest},
		{Name: "freeze-backend", Proves: "a server that freezes past its lease with a full queue and comes back owns nothing: one owner at any time",
			shape: shape{rate: 300, duration: 12 * time.Second}, steps: freezeBackEnd},
		{Name: "cut-backend", Proves: "a server that is cut off in silence, in either direction, and heard again: one owner at any time",
			shape: shape{duration: 14 * time.Second}, steps: cutBackEnd},
		{Name: "misleading-signals", Proves: "health, load and machine lists that lag or mislead break no guarantee", steps: misleadingSignals},
	}
}

// killBackEnd kills the owner of the hot key under load, and starts it
// again. Bound: no request fails or is held up later than 1 s after the loss.
func killBackEnd(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	victim, err := r.hotOwner(ctx)
	if err != nil {
		return err
	}
	err = r.recoversWithin(ctx, "recovery", newOwnerLimit, 4*time.Second, func() error {
		r.Say("killing %s", victim)
		return r.KillBackEnd(victim)
	})
	if err != nil {
		return err
	}
	r.Say("starting %s again", victim)
	return within(ctx, r.RestartDead)
}

// Of a request that crashes servers: deadlyCrashes must have ended before the bound holds, from
// deadlyContact after the last of them, on mostDeadlyRepeats at most.
const (
	deadlyCrashes     = 3
	deadlyContact     = 3 * time.Second
	mostDeadlyRepeats = 3
	deadlyPause       = 250 * time.Millisecond
)

// deadlyRequest sends one request again and again, in turn by the routers, under which each server ends
// that runs it. Servers that ended are started again. Bound: the number of servers that end later than
// deadlyContact after the third.
func deadlyRequest(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	var crashes []time.Time
	end := time.Now().Add(11 * time.Second)
	for number := 0; time.Now().Before(end); number++ {
		r.sendDeadly(r.Fleet.Routers[number%len(r.Fleet.Routers)].Address)
		if err := r.sleep(ctx, deadlyPause); err != nil {
			return err
		}
		ended, err := r.startEnded()
		if err != nil {
			return err
		}
		for range ended {
			crashes = append(crashes, time.Now())
		}
	}
	late := 0
	for index, at := range crashes {
		if index >= deadlyCrashes && at.Sub(crashes[deadlyCrashes-1]) > deadlyContact {
			late++
		}
	}
	r.Say("%d servers ended, %d of them later than %s after the third", len(crashes), late, deadlyContact)
	r.bounds = append(r.bounds, atMost("late_crashes", float64(late), mostDeadlyRepeats))
	return within(ctx, r.RestartDead)
}

// sendDeadly sends the request once. What it is answered does not matter.
func (r *run) sendDeadly(router string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + router + "/" + string(keyedService) + "/" + backend.DeadlyRequest)
	request.Header.Set(callerapi.HeaderKey, "deadly")
	if err := httpclient.Default.DoTimeout(request, response, faultTimeout); err == nil {
		r.Say("status %d: %.100s", response.StatusCode(), response.Body())
	}
}

// startEnded starts the back ends again that have ended, and returns how many did.
func (r *run) startEnded() (int, error) {
	ended := 0
	for _, backEnd := range r.Fleet.BackEnds {
		if backEnd.Process.Running() {
			continue
		}
		ended++
		if err := r.Fleet.StartBackEnd(backEnd); err != nil {
			return ended, err
		}
	}
	return ended, nil
}

// freezeBackEnd fills the queue of the hot key's owner, freezes it for two leases, which is
// less than requests wait, and thaws it. Bounds: its keys have a new owner within
// 1 s; the thawed server refuses what waited in its queue.
func freezeBackEnd(ctx context.Context, r *run) error {
	const slow, fill, frozenFor = 60, 600 * time.Millisecond, 1400 * time.Millisecond
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	victim, err := r.hotOwner(ctx)
	if err != nil {
		return err
	}
	frozen, err := r.backEnd(victim)
	if err != nil {
		return err
	}
	r.Say("slowing %s until its queue is full", victim)
	if err := r.setFault(victim, backend.Fault{SlowFactor: slow}); err != nil {
		return err
	}
	if err := r.sleep(ctx, fill); err != nil {
		return err
	}
	err = r.recoversWithin(ctx, "recovery", newOwnerLimit, 3*time.Second, func() error {
		r.Say("freezing %s", victim)
		frozen.Process.Freeze()
		defer frozen.Process.Thaw()
		return r.sleep(ctx, frozenFor)
	})
	if err != nil {
		return err
	}
	if err := r.setFault(victim, backend.Fault{}); err != nil {
		return err
	}
	r.checks = append(r.checks, func([]record.Attempt) Bound {
		return atLeast("refused_by_lease", float64(leaseRefusals(frozen.RecordFile)), 1)
	})
	return within(ctx, r.Fleet.WaitOwned)
}

// leaseRefusals counts the requests that a server refused since its lease had
// ended. A record that cannot be read proves none.
func leaseRefusals(file string) int {
	lines, err := record.ReadFile[record.Execution](file)
	if err != nil {
		return 0
	}
	count := 0
	for _, line := range lines {
		if line.Kind == record.ExecutionRefuse && line.Reason == string(backendapi.RefusalLeaseExpired) {
			count++
		}
	}
	return count
}

// cutBackEnd silences what the hot key's owner sends, then what its next owner
// is sent. Bound:
// its keys have a new owner within 1 s of each loss.
func cutBackEnd(ctx context.Context, r *run) error {
	cuts := []struct {
		name string
		cut  func(string) error
	}{
		{"recovery_sending", r.network.CutSending},
		{"recovery_receiving", r.network.CutReceiving},
	}
	for _, cut := range cuts {
		if err := r.sleep(ctx, settle); err != nil {
			return err
		}
		victim, err := r.hotOwner(ctx)
		if err != nil {
			return err
		}
		err = r.recoversWithin(ctx, cut.name, newOwnerLimit, 3*time.Second, func() error {
			r.Say("cutting off %s: %s", victim, cut.name)
			return cut.cut(string(victim))
		})
		if err != nil {
			return err
		}
		r.network.Heal()
		if err := within(ctx, r.Fleet.WaitOwned); err != nil {
			return err
		}
	}
	return nil
}

// misleadingSignals lets one server's health endpoint lie, another's load
// endpoint claim that it is idle, a third's health hang, and the platform's list
// call a live machine gone and take it back.
func misleadingSignals(ctx context.Context, r *run) error {
	faults := map[state.ServerID]backend.Fault{
		"ledger-view-1":   {HealthLie: true},
		"transfer-core-2": {LoadLie: 0.01},
		"transfer-core-3": {HangHealth: true},
	}
	for server, misbehaviour := range faults {
		if err := r.setFault(server, misbehaviour); err != nil {
			return err
		}
	}
	called, err := r.hotOwner(ctx)
	if err != nil {
		return err
	}
	for _, machine := range []platformapi.MachineState{platformapi.MachineGone, platformapi.MachineLive} {
		r.Say("the platform calls %s %s", called, machine)
		if err := r.announce(called, machine); err != nil {
			return err
		}
		if err := r.sleep(ctx, 3*time.Second); err != nil {
			return err
		}
	}
	for server := range faults {
		if err := r.setFault(server, backend.Fault{}); err != nil {
			return err
		}
	}
	return within(ctx, r.Fleet.WaitOwned)
}

// announce changes a machine in the platform's list.
func (r *run) announce(server state.ServerID, machine platformapi.MachineState) error {
	target, err := r.backEnd(server)
	if err != nil {
		return err
	}
	return platform.NewClient(r.Fleet.Platform.Address, faultTimeout).Change(platformapi.Machine{
		ID: string(server), Address: target.Spec.Address, Zone: target.Spec.Zone, State: machine,
	})
}

// ownsNothing waits until a server owns no shard.
func (r *run) ownsNothing(ctx context.Context, server state.ServerID, service state.ServiceName) error {
	return fleet.WaitFor(ctx, "the last shard of "+string(server)+" to leave", func() bool {
		shards, err := r.Fleet.Client().Shards(ctx, service)
		if err != nil {
			return false
		}
		for _, shard := range shards {
			if shard.Owner == server {
				return false
			}
		}
		return true
	})
}

// stopLeaving stops a back end as an operator would: the platform says that the
// machine leaves, and the process is asked to stop once it owns nothing.
func (r *run) stopLeaving(ctx context.Context, server state.ServerID) error {
	target, err := r.backEnd(server)
	if err != nil {
		return err
	}
	from := clock.BootTime()
	if err := r.announce(server, platformapi.MachineLeaving); err != nil {
		return err
	}
	if err := r.MarkDrain(server); err != nil {
		return err
	}
	err = within(ctx, func(ctx context.Context) error {
		return r.ownsNothing(ctx, server, target.Service.Name)
	})
	if err != nil {
		return err
	}
	// A service without keys has no shards to wait for: the table reaches the
	// routers meanwhile.
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	if err := target.Process.Stop(stepTimeout); err != nil {
		return err
	}
	return r.MarkPlannedStop(server, "", from)
}
