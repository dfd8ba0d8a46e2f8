package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
	"github.com/thorntiller/thorntiller/internal/state"
)

func adoptionScenarios() []Scenario {
	return []Scenario{{
		Name: "adopt-service", Proves: "services go from their scripts to thorntiller and back, one at a time, without stopping traffic",
		shape: shape{deployments: []fleet.Deployment{observedPaylink()}, duration: 14 * time.Second}, steps: adoptService,
	}}
}

// observedPaylink returns the deployment as it is before adoption.
func observedPaylink() fleet.Deployment {
	deployment := paylink()
	for number := range deployment.Services {
		deployment.Services[number].Observed = true
	}
	return deployment
}

// adoptService takes services over one by one, moves a hot key, and gives one
// back, all under load. Bounds: every change within the time that a
// configuration has to be in force everywhere.
func adoptService(ctx context.Context, r *run) error {
	hot := trial.HotKey(observedPaylink())
	steps := []func() error{
		func() error { return r.switchMode(ctx, "ledger-view", state.ModeManaged) },
		func() error { return r.MoveKey(ctx, "ledger-view", hot) },
		func() error { return r.switchMode(ctx, "transfer-core", state.ModeManaged) },
		func() error { return r.switchMode(ctx, "payout-batcher", state.ModeManaged) },
		func() error { return r.switchMode(ctx, "ledger-view", state.ModeObserved) },
	}
	for _, act := range steps {
		if err := r.sleep(ctx, time.Second); err != nil {
			return err
		}
		if err := act(); err != nil {
			return err
		}
	}
	return nil
}

// switchMode changes the authority over a service and waits until every server
// of it serves under the new one.
func (r *run) switchMode(ctx context.Context, service state.ServiceName, mode state.ServiceMode) error {
	r.Say("switching %s to %s", service, mode)
	err := r.Execute(ctx, state.Intent{
		ID: state.IntentID("switch-" + string(service) + "-" + string(mode)), Operator: operatorName,
		Kind: state.IntentSetMode, SetMode: &state.SetMode{Service: service, Mode: mode},
	})
	if err != nil {
		return err
	}
	return within(ctx, func(ctx context.Context) error {
		return fleet.WaitFor(ctx, "the servers of "+string(service)+" to be "+string(mode), func() bool {
			return r.leaderSees(ctx, func(status intentapi.Status) bool { return servesUnder(status, service, mode) })
		})
	})
}

// leaderSees reports whether a current status satisfies a condition.
func (r *run) leaderSees(ctx context.Context, holds func(intentapi.Status) bool) bool {
	for _, endpoint := range r.Fleet.Endpoints() {
		status, err := r.Fleet.Client().Status(ctx, endpoint)
		if err == nil && status.Current && holds(status) {
			return true
		}
	}
	return false
}

func servesUnder(status intentapi.Status, service state.ServiceName, mode state.ServiceMode) bool {
	for _, server := range status.Servers {
		if server.Service != service {
			continue
		}
		observed := mode == state.ModeObserved
		if server.Observed != observed || server.Open == observed || !server.InForce {
			return false
		}
	}
	return true
}
