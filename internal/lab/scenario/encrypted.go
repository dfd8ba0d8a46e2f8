package scenario

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
	"github.com/thorntiller/thorntiller/internal/state"
)

func encryptedScenarios() []Scenario {
	return []Scenario{{
		Name: "encrypted-fleet", Proves: "only operators with the right change anything, also while certificates are replaced",
		shape: shape{encrypted: true, duration: 16 * time.Second}, steps: encryptedFleet,
	}}
}

// encryptedFleet replaces certificates under load, restarts the leader and
// checks who may act.
func encryptedFleet(ctx context.Context, r *run) error {
	if err := r.refusesStrangers(ctx); err != nil {
		return err
	}
	for _, node := range append(r.Fleet.Controllers, r.Fleet.Routers...) {
		if _, err := r.Fleet.Certificates(node.Name); err != nil {
			return err
		}
	}
	r.Say("every certificate is replaced")
	// The processes look at their files every five seconds.
	if err := r.sleep(ctx, 6*time.Second); err != nil {
		return err
	}
	if err := r.KillLeader(ctx); err != nil {
		return err
	}
	if err := r.RestartDead(ctx); err != nil {
		return err
	}
	return within(ctx, func(ctx context.Context) error { return r.MoveKey(ctx, "ledger-view", trial.HotKey(paylink())) })
}

// refusesStrangers demands that a certificate without rights may read only, and
// that a caller without a certificate gets nothing.
func (r *run) refusesStrangers(ctx context.Context) error {
	certificates, err := r.Fleet.Certificates("visitor")
	if err != nil {
		return err
	}
	visitor, err := intentapi.NewClient(intentapi.ClientConfig{Endpoints: r.Fleet.Endpoints(), Certificates: certificates})
	if err != nil {
		return err
	}
	defer visitor.Close()
	if _, err := visitor.Services(ctx); err != nil {
		return eris.Wrap(err, "a visitor with a certificate reads the services")
	}
	_, err = visitor.Plan(ctx, state.Intent{ID: "visit", Operator: "lab", Kind: state.IntentRebalance, Rebalance: &state.Rebalance{Service: "ledger-view"}})
	planned := 1.0
	if fault.Is(err, fault.Unauthorized) {
		planned = 0
	}
	nobody, err := intentapi.NewClient(intentapi.ClientConfig{Endpoints: r.Fleet.Endpoints()})
	if err != nil {
		return err
	}
	defer nobody.Close()
	brief, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	read := 0.0
	if _, err := nobody.Services(brief); err == nil {
		read = 1
	}
	r.bounds = append(r.bounds, atMost("plans_without_right", planned, 0), atMost("reads_without_certificate", read, 0))
	return nil
}
