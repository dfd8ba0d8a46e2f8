package state

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// timedID returns an identifier generated at a time in Unix milliseconds.
func timedID(unixMs int) PlanID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(unixMs)<<16|timestampUUIDVersion<<12)
	binary.BigEndian.PutUint64(id[8:], 1<<63|uint64(unixMs))
	return PlanID(id.String())
}

func planOf(id PlanID, service ServiceName) Plan {
	return Plan{
		ID: id, Digest: "d-" + string(id),
		Intent: Intent{ID: IntentID(id), Operator: "first", Kind: IntentRebalance, Rebalance: &Rebalance{Service: service}},
	}
}

func (m *machine) store(plan Plan) Result {
	m.t.Helper()
	return m.apply(Command{StorePlan: &StorePlan{Plan: plan}})
}

// wantError requires that a command fails and changes nothing.
func (m *machine) wantError(what string, kind fault.Kind, command Command) {
	m.t.Helper()
	result := m.apply(command)
	if result.Err == nil || result.Err.Kind != kind || len(result.Changed) > 0 {
		m.t.Errorf("%s: %+v, want %s", what, result, kind)
	}
}

// TestForgottenPlansAreAnsweredByTheirReceipts confirms one plan, leaves another
// unconfirmed, and stores enough further plans to evict both. It checks the answers
// before and after a snapshot.
func TestForgottenPlansAreAnsweredByTheirReceipts(t *testing.T) {
	m := withService(t, 1)
	done, left := planOf("done", "s"), planOf("left", "s")
	m.store(done)
	confirm := Command{ConfirmPlan: &ConfirmPlan{Plan: done.ID, Digest: done.Digest, Operator: "second"}}
	first := m.apply(confirm)
	m.store(left)
	for number := range MaxPlans {
		m.store(planOf(timedID(1000+number), "s"))
	}
	m.wantReceipts(first.Plan, confirm, left)
	encoded, err := m.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if m.state, err = Decode(encoded); err != nil {
		t.Fatal(err)
	}
	again, err := m.state.Encode()
	if err != nil || string(again) != string(encoded) {
		t.Errorf("the state differs after a snapshot: %d and %d bytes, %v", len(encoded), len(again), err)
	}
	m.wantReceipts(first.Plan, confirm, left)
}

func (m *machine) wantReceipts(first *Plan, confirm Command, left Plan) {
	m.t.Helper()
	if _, whole := m.state.Plan(first.ID); whole {
		m.t.Fatal("the plan is still stored")
	}
	resent := planOf(first.ID, "s")
	resent.Intent.Operator = "another"
	for what, result := range map[string]Result{"the intent": m.store(resent), "the confirmation": m.apply(confirm)} {
		if result.Err != nil || len(result.Changed) > 0 || result.Plan.Status != PlanConfirmed || result.Plan.Accepted != first.Accepted ||
			result.Plan.Digest != first.Digest || result.Plan.ConfirmedBy != "second" || !result.Plan.Forgotten {
			m.t.Errorf("%s was sent again: %+v", what, result)
		}
	}
	m.wantError("other content", fault.Conflict, Command{StorePlan: &StorePlan{Plan: planOf(first.ID, "other")}})
	m.wantError("another digest", fault.Conflict, Command{ConfirmPlan: &ConfirmPlan{Plan: first.ID, Digest: "wrong"}})
	if result := m.store(left); result.Err != nil || result.Plan.Status != PlanStale || result.Plan.Digest != left.Digest {
		m.t.Errorf("an intent that was never confirmed was sent again: %+v", result)
	}
	m.wantError("a late confirmation", fault.StalePlan, Command{ConfirmPlan: &ConfirmPlan{Plan: left.ID, Digest: left.Digest}})
}

// TestForgottenIdentifiersAreRefused checks that identifiers with a timestamp are
// rejected once they may belong to receipts that were discarded.
func TestForgottenIdentifiersAreRefused(t *testing.T) {
	m := newMachine(t)
	const over = 10
	for number := range MaxPlans + MaxReceipts + over {
		m.store(planOf(timedID(1000+number), "s"))
	}
	if result := m.store(planOf("chosen", "s")); result.Err != nil {
		t.Errorf("an identifier without a timestamp, before any such was discarded: %v", result.Err)
	}
	if kept := len(m.state.receipts.order); kept != MaxReceipts || len(m.state.receipts.byPlan) != MaxReceipts {
		t.Errorf("%d receipts are kept", kept)
	}
	// Storing the plan with the chosen identifier evicted one more receipt.
	const lastForgotten = 1000 + over
	old := timedID(lastForgotten - 1)
	m.wantError("a discarded intent", fault.IntentExpired, Command{StorePlan: &StorePlan{Plan: planOf(old, "s")}})
	m.wantError("its confirmation", fault.IntentExpired, Command{ConfirmPlan: &ConfirmPlan{Plan: old, Digest: "d-" + string(old)}})
	m.wantError("an unknown identifier as old", fault.IntentExpired, Command{StorePlan: &StorePlan{Plan: planOf(timedID(10), "s")}})
	if result := m.store(planOf(timedID(lastForgotten+1), "s")); result.Err != nil || !result.Plan.Forgotten {
		t.Errorf("the oldest receipt that is kept: %+v", result)
	}
	if result := m.store(planOf(timedID(1_000_000), "s")); result.Err != nil || result.Plan.Forgotten {
		t.Errorf("a new intent: %+v", result)
	}
	m.wantError("the confirmation of an unknown plan", fault.NotFound, Command{ConfirmPlan: &ConfirmPlan{Plan: "unknown"}})
	for number := range MaxPlans + MaxReceipts {
		m.store(planOf(timedID(2_000_000+number), "s"))
	}
	m.wantError("no timestamp, as a discarded identifier", fault.IntentExpired, Command{StorePlan: &StorePlan{Plan: planOf("other", "s")}})
}

// BenchmarkReceipts measures what receipts add to a state's snapshot and heap, with
// the maximum number of receipts and no plans.
func BenchmarkReceipts(b *testing.B) {
	full := New()
	random := rand.New(rand.NewPCG(1, 1))
	for number := range MaxReceipts {
		id := uuid.MustParse(string(timedID(1_700_000_000_000 + number*7919)))
		binary.BigEndian.PutUint64(id[8:], 1<<63|random.Uint64()>>2)
		plan := planOf(PlanID(id.String()), "s")
		plan.Digest = fmt.Sprintf("%016x", intentHash(plan.Intent))
		plan.Status, plan.Accepted, plan.ConfirmedBy = PlanConfirmed, Revision(number), "operator-one"
		full.receipts.add(receiptOf(&plan))
	}
	size := 0
	for b.Loop() {
		encoded, err := full.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size)/MaxReceipts, "bytes/receipt")
}
