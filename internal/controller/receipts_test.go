package controller

import (
	"fmt"
	"testing"

	"github.com/sourcegraph/conc/pool"

	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestForgottenIntentIsAnsweredAsTheFirstTime evicts a confirmed plan by adding others and then resends its
// intent and its confirmation: to the same leader, to a new leader, and after a restart of all controllers
// from their snapshots and logs.
func TestForgottenIntentIsAnsweredAsTheFirstTime(t *testing.T) {
	g := newGroup(t)
	first := g.create(serviceName(0))
	const workers = 64
	workload := pool.New().WithErrors().WithMaxGoroutines(workers)
	for number := range state.MaxPlans + 1 {
		workload.Go(func() error {
			_, err := g.client.Plan(g.context(), state.Intent{
				ID: state.IntentID(fmt.Sprint("other-", number)), Operator: "o", Kind: state.IntentUpdateService,
				UpdateService: &state.UpdateService{Name: first.Intent.CreateService.Name, Settings: first.Intent.CreateService.Settings},
			})
			return err
		})
	}
	if err := workload.Wait(); err != nil {
		t.Fatal(err)
	}
	g.wantAnsweredAgain("by the same leader", first)
	g.stop(g.leader())
	g.wantAnsweredAgain("by a new leader", first)
	for number := range g.processes {
		g.stop(number)
	}
	for number := range g.processes {
		g.start(number)
	}
	g.leader()
	g.wantAnsweredAgain("after a restart", first)
}

func (g *group) wantAnsweredAgain(what string, first state.Plan) {
	g.t.Helper()
	again, err := g.client.Plan(g.context(), first.Intent)
	if err != nil || !again.Forgotten || again.Status != state.PlanConfirmed || again.Accepted != first.Accepted || again.Digest != first.Digest {
		g.t.Errorf("resent intent, %s: %+v, %v", what, again, err)
	}
	again, err = g.client.Confirm(g.context(), first.ID, intentapi.ConfirmRequest{Operator: "o", Digest: first.Digest})
	if err != nil || !again.Forgotten || again.Accepted != first.Accepted {
		g.t.Errorf("resent confirmation, %s: %+v, %v", what, again, err)
	}
	g.wantServices(1)
}
