package planner

import (
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

func zoneIntent(id, zone string, evacuate bool) state.Intent {
	request := &state.ZoneRequest{Zone: zone}
	if evacuate {
		return state.Intent{ID: state.IntentID(id), Kind: state.IntentEvacuateZone, EvacuateZone: request}
	}
	return state.Intent{ID: state.IntentID(id), Kind: state.IntentRestoreZone, RestoreZone: request}
}

// buildAndConfirm builds, stores and confirms the plan of an intent. It returns the first
// error.
func buildAndConfirm(t *testing.T, view *state.State, revision *state.Revision, intent state.Intent) (state.Plan, error) {
	t.Helper()
	plan, err := Build(view, nil, intent)
	if err != nil {
		return plan, err
	}
	for _, command := range []state.Command{
		{StorePlan: &state.StorePlan{Plan: plan}}, {ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID, Digest: plan.Digest, Operator: "o"}},
	} {
		*revision++
		if result := view.Apply(uint64(*revision), command); result.Err != nil {
			return plan, result.Err
		}
	}
	return plan, nil
}

// TestZonesArePlannedAndConfirmed: an evacuation or restoration takes effect when its plan is
// confirmed, not before, for servers and instances alike. An unknown zone and a zone that is
// in the requested state already are rejected.
func TestZonesArePlannedAndConfirmed(t *testing.T) {
	view := state.New()
	revision := state.Revision(1)
	view.Apply(uint64(revision), state.Command{Directory: &directory.Command{Instances: []directory.Instance{
		{ID: "i", Service: "s", Address: "127.0.0.1:1", Zone: "west", State: directory.InstanceReady},
	}}})
	created := state.Intent{ID: "create", Kind: state.IntentCreateService, CreateService: &state.CreateService{
		Name: "own", Settings: state.ServiceSettings{QueueLimit: 1, RequestLimit: 1, MaxMoves: 1, DefaultTimeoutMs: 100},
		Servers: []state.ServerSpec{{ID: "server", Address: "127.0.0.1:2", Zone: "west", Slots: 1, Connections: 1}},
	}}
	if _, err := buildAndConfirm(t, view, &revision, created); err != nil {
		t.Fatal(err)
	}
	if _, err := Build(view, nil, zoneIntent("unknown", "nowhere", true)); !fault.Is(err, fault.NotFound) {
		t.Errorf("evacuation of an unknown zone: error %v, want not_found", err)
	}
	if _, err := Build(view, nil, zoneIntent("early", "west", false)); !fault.Is(err, fault.Conflict) {
		t.Errorf("restoration of a zone in service: error %v, want conflict", err)
	}
	plan, err := Build(view, nil, zoneIntent("p1", "west", true))
	if err != nil || view.Directory().Evacuated("west") || !strings.Contains(strings.Join(plan.Reasons, "\n"), "no other zone serves") {
		t.Fatalf("plan %+v, error %v, want a warning and no change before the confirmation", plan, err)
	}
	if _, err := buildAndConfirm(t, view, &revision, zoneIntent("p2", "west", true)); err != nil {
		t.Fatal(err)
	}
	server, _ := view.Server("server")
	if !view.Directory().Evacuated("west") || !server.Withdrawn() {
		t.Errorf("after the confirmation: server %+v, zones %+v, want both evacuated", server, view.Directory().Zones())
	}
	if result := view.Apply(uint64(revision+1), state.Command{StorePlan: &state.StorePlan{Plan: plan}}); result.Err != nil {
		t.Fatal(result.Err)
	}
	result := view.Apply(uint64(revision+2), state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID, Digest: plan.Digest}})
	if !fault.Is(result.Err, fault.StalePlan) {
		t.Errorf("second plan of the same evacuation: error %v, want stale_plan", result.Err)
	}
	revision += 2
	if _, err := buildAndConfirm(t, view, &revision, zoneIntent("p3", "west", false)); err != nil {
		t.Fatal(err)
	}
	if server, _ := view.Server("server"); server.Withdrawn() {
		t.Errorf("after the restoration: server %+v, want it in service", server)
	}
}
