package sim

import (
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/planner"
	"github.com/thorntiller/thorntiller/internal/state"
)

// intentCall is one call of the intent API.
type intentCall struct {
	action checker.IntentAction
	intent state.Intent
	digest string
}

// intentAnswer is its answer. Refused tells that the call was turned down
// before it could take effect.
type intentAnswer struct {
	plan    *state.Plan
	index   uint64
	err     error
	refused bool
}

// handleIntent serves a call as internal/controller does.
func (c *controller) handleIntent(call intentCall, answer func(intentAnswer)) {
	if c.replica == nil || !c.replica.driver.Leading() {
		answer(intentAnswer{refused: true, err: fault.New(fault.NotLeader, "this replica does not lead")})
		return
	}
	r := c.replica
	switch call.action {
	case checker.ActionConfirm:
		r.proposePlan(state.Command{ConfirmPlan: &state.ConfirmPlan{
			Plan: state.PlanID(call.intent.ID), Digest: call.digest, Operator: call.intent.Operator,
		}}, answer)
	case checker.ActionGet:
		r.readRevision(func(state.Revision) { answer(r.getPlan(state.PlanID(call.intent.ID))) })
	default:
		r.readRevision(func(state.Revision) { r.plan(call.intent, answer) })
	}
}

func (r *replica) getPlan(id state.PlanID) intentAnswer {
	plan, found := r.state.Plan(id)
	if !found || r.sim.planted.forgetPlans {
		return intentAnswer{err: fault.New(fault.NotFound, "no such plan")}
	}
	return intentAnswer{plan: &plan}
}

// plan stores a new plan, or asks for the one that is stored already.
func (r *replica) plan(intent state.Intent, answer func(intentAnswer)) {
	id := state.PlanID(intent.ID)
	if _, found := r.state.Plan(id); found {
		r.proposePlan(state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: id, Intent: intent}}}, answer)
		return
	}
	built, err := planner.Build(r.state, r.coordinator.Handovers(), intent)
	if err != nil {
		answer(intentAnswer{err: err, refused: true})
		return
	}
	r.proposePlan(state.Command{StorePlan: &state.StorePlan{Plan: built}}, answer)
}

func (r *replica) proposePlan(command state.Command, answer func(intentAnswer)) {
	r.driver.Propose(driver.Proposal{Command: command, Done: func(end driver.Outcome) {
		answer(intentAnswer{
			index: end.Index, err: end.Err, plan: end.Result.Plan,
			refused: fault.Is(end.Err, fault.NotLeader) || fault.Is(end.Err, fault.QueueFull),
		})
	}})
}
