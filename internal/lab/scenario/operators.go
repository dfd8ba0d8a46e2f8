package scenario

import (
	"context"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/scenario/faultproxy"
	"github.com/thorntiller/thorntiller/internal/state"
)

func operatorScenarios() []Scenario {
	return []Scenario{
		{Name: "race-operators", Proves: "operators who race with equal numbers and resend after a lost answer get one outcome",
			shape: shape{duration: 14 * time.Second}, steps: raceOperators},
		{Name: "config-under-faults", Proves: "an accepted configuration is in force everywhere within seconds and never reverts",
			shape: shape{duration: 16 * time.Second}, steps: configUnderFaults},
	}
}

const (
	// operatorName stands in the links of operators.
	operatorName = "operator"
	// racers is how many operators act at the same time.
	racers = 8
	// changedService is the service whose settings operators change.
	changedService state.ServiceName = "ledger-view"
	// firstQueueLimit is the queue limit that numbered changes count up from.
	firstQueueLimit = 64
)

// update returns an intent that sets the queue limit of the changed service to
// firstQueueLimit and the number.
func (r *run) update(ctx context.Context, id string, number int) (state.Intent, error) {
	settings, err := r.settingsOf(ctx, changedService)
	if err != nil {
		return state.Intent{}, err
	}
	settings.QueueLimit = firstQueueLimit + number
	return state.Intent{
		ID: state.IntentID(id), Operator: operatorName, Kind: state.IntentUpdateService,
		UpdateService: &state.UpdateService{Name: changedService, Settings: settings},
	}, nil
}

// settingsOf returns the settings of a service that are in force.
func (r *run) settingsOf(ctx context.Context, name state.ServiceName) (state.ServiceSettings, error) {
	services, err := r.Fleet.Client().Services(ctx)
	if err != nil {
		return state.ServiceSettings{}, err
	}
	for _, service := range services {
		if service.Name == name {
			return state.ServiceSettings{
				DefaultTimeoutMs: service.DefaultTimeout.Milliseconds(), QueueLimit: service.QueueLimit,
				RequestLimit: service.RequestLimit, RetryRatio: service.RetryRatio, MaxMoves: service.MaxMoves, Weights: service.Weights,
			}, nil
		}
	}
	return state.ServiceSettings{}, eris.Errorf("service %q is not known", name)
}

// changeOften makes numbered changes one after the other and returns the last.
func (r *run) changeOften(ctx context.Context, changes int) (state.UpdateService, error) {
	intent, err := r.update(ctx, "", 0)
	if err != nil {
		return state.UpdateService{}, err
	}
	for range changes {
		r.changed++
		number := r.changed
		change := *intent.UpdateService
		change.Settings.QueueLimit = firstQueueLimit + number
		intent.ID = state.IntentID(fmt.Sprintf("change-%d", number))
		intent.UpdateService = &change
		plan, err := fleet.Execute(ctx, r.Fleet.Client(), intent)
		if err != nil {
			return state.UpdateService{}, eris.Wrapf(err, "change %d", number)
		}
		r.Accept(plan)
	}
	return *intent.UpdateService, nil
}

// snapshotCount counts the snapshot files in the controllers' data folders.
func (r *run) snapshotCount() (int, error) {
	count := 0
	for _, controller := range r.Fleet.Controllers {
		folder := filepath.Join(controller.DataFolder, "snapshots")
		err := filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() {
				count++
			}
			return err
		})
		if err != nil {
			return 0, eris.Wrap(err, "count the snapshots")
		}
	}
	return count, nil
}

// raceOperators lets operators race in three ways, over links that lose every
// second answer. Bounds: a resent intent has one plan, one acceptance; of two
// contents under one identifier one wins; of racing plans for one service one is
// accepted, and it is the one in force.
func raceOperators(ctx context.Context, r *run) error {
	client, err := r.lossyClient()
	if err != nil {
		return err
	}
	defer client.Close()
	for _, race := range []func(context.Context, *run, *intentapi.Client) error{raceResends, raceContents, racePlans} {
		err := within(ctx, func(ctx context.Context) error { return race(ctx, r, client) })
		if err != nil {
			return err
		}
	}
	return nil
}

// lossyClient returns a client of the intent API whose answers are often lost.
func (r *run) lossyClient() (*intentapi.Client, error) {
	const share, someBytes, callTimeout = 0.5, 20, time.Second
	var endpoints []string
	for _, controller := range r.Fleet.Controllers {
		endpoint, err := r.network.Address(operatorName, controller.Name, controller.AdminAddress)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	lossy := faultproxy.Toxic{
		Name: "lost-answers", Type: faultproxy.ToxicLimitData, Direction: faultproxy.Downstream, Toxicity: share,
		Attributes: faultproxy.Attributes{Bytes: someBytes},
	}
	err := r.network.Add(lossy, func(link faultproxy.Link) bool { return link.From == operatorName })
	if err != nil {
		return nil, err
	}
	return intentapi.NewClient(intentapi.ClientConfig{Endpoints: endpoints, CallTimeout: callTimeout})
}

// outcome is what one racing operator was told.
type outcome struct {
	plan state.Plan
	err  error
}

// race lets the operators act at the same time.
func race(act func(number int) (state.Plan, error)) []outcome {
	running := pool.NewWithResults[outcome]().WithMaxGoroutines(racers)
	for number := range racers {
		running.Go(func() outcome {
			plan, err := act(number)
			return outcome{plan: plan, err: err}
		})
	}
	return running.Wait()
}

// raceResends sends one intent many times at once and confirms it each time.
func raceResends(ctx context.Context, r *run, client *intentapi.Client) error {
	intent, err := r.update(ctx, "resent", 1)
	if err != nil {
		return err
	}
	r.Say("%d operators send the same intent and confirm it", racers)
	ends := race(func(int) (state.Plan, error) { return fleet.Execute(ctx, client, intent) })
	plans, accepted := make(map[state.PlanID]bool), make(map[state.Revision]bool)
	for _, end := range ends {
		if end.err != nil {
			return eris.Wrap(end.err, "a resent intent")
		}
		plans[end.plan.ID] = true
		accepted[end.plan.Accepted] = true
		r.Accept(end.plan)
	}
	r.bounds = append(r.bounds, atMost("plans_of_one_intent", float64(len(plans)), 1),
		atMost("acceptances_of_one_intent", float64(len(accepted)), 1))
	return nil
}

// raceContents sends different contents under one identifier.
func raceContents(ctx context.Context, r *run, client *intentapi.Client) error {
	r.Say("%d operators use one identifier for different intents", racers)
	base, err := r.update(ctx, "equal", 0)
	if err != nil {
		return err
	}
	ends := race(func(number int) (state.Plan, error) {
		intent, change := base, *base.UpdateService
		change.Settings.QueueLimit = firstQueueLimit + 100 + number
		intent.UpdateService = &change
		return client.Plan(ctx, intent)
	})
	won := 0
	for _, end := range ends {
		switch {
		case end.err == nil:
			won++
		case fault.KindOf(end.err) != fault.Conflict:
			return eris.Wrap(end.err, "an intent with an equal number")
		}
	}
	r.bounds = append(r.bounds, atMost("contents_of_one_intent", float64(won), 1), atLeast("one_content_won", float64(won), 1))
	return nil
}

// racePlans confirms different plans for the settings of one service at once.
func racePlans(ctx context.Context, r *run, client *intentapi.Client) error {
	r.Say("%d operators confirm different plans for one service", racers)
	plans := make([]state.Plan, racers)
	for number := range plans {
		intent, err := r.update(ctx, fmt.Sprintf("racing-%d", number), 200+number)
		if err != nil {
			return err
		}
		if plans[number], err = client.Plan(ctx, intent); err != nil {
			return err
		}
	}
	ends := race(func(number int) (state.Plan, error) {
		plan := plans[number]
		return client.Confirm(ctx, plan.ID, intentapi.ConfirmRequest{Operator: operatorName, Digest: plan.Digest})
	})
	won, limit := 0, 0
	for _, end := range ends {
		switch {
		case end.err == nil:
			won++
			limit = end.plan.Intent.UpdateService.Settings.QueueLimit
			r.Accept(end.plan)
		case fault.KindOf(end.err) != fault.StalePlan:
			return eris.Wrap(end.err, "a racing plan")
		}
	}
	kept, err := r.settingsOf(ctx, changedService)
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atMost("racing_plans_accepted", float64(won), 1), atLeast("racing_plan_won", float64(won), 1),
		atMost("accepted_not_in_force", float64(max(limit-kept.QueueLimit, kept.QueueLimit-limit)), 0))
	return nil
}

// configUnderFaults changes the configuration while the leader is killed, a
// router is cut off from control and comes back, and a router restarts.
func configUnderFaults(ctx context.Context, r *run) error {
	const changes = 20
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	cut := r.Fleet.Routers[0]
	fromRouter := func(link faultproxy.Link) bool { return link.From == cut.Name }
	if err := r.network.Add(faultproxy.Silence(faultproxy.Downstream), fromRouter); err != nil {
		return err
	}
	r.Say("%s hears nothing from control; changing the configuration %d times", cut.Name, changes)
	if _, err := r.changeOften(ctx, changes); err != nil {
		return err
	}
	r.Say("killing the leading controller")
	if err := within(ctx, r.KillLeader); err != nil {
		return err
	}
	if err := r.sleep(ctx, staleAfter); err != nil {
		return err
	}
	r.Say("healing the network and starting what died")
	r.network.Heal()
	if err := within(ctx, r.RestartDead); err != nil {
		return err
	}
	if err := within(ctx, r.moveHotKey); err != nil {
		return err
	}
	return within(ctx, func(ctx context.Context) error { return r.StopRouter(ctx, r.Fleet.Routers[1]) })
}
