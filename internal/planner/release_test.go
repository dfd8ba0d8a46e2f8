package planner

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestReleaseIsPlannedAndConfirmed: a release takes effect when its plan is confirmed, not
// before. An invalid fingerprint and a request that is not in quarantine are rejected, and a
// plan is stale once another plan has released the request.
func TestReleaseIsPlannedAndConfirmed(t *testing.T) {
	view := state.New()
	revision := state.Revision(1)
	put := directory.PutSuspects{List: []directory.Suspect{{Fingerprint: 5, Service: "s", Crashes: []directory.InstanceID{"a"}, Quarantined: true}, {Fingerprint: 6}}}
	view.Apply(uint64(revision), state.Command{Directory: &directory.Command{Suspects: &put}})
	intent := func(id, fingerprint string) state.Intent {
		return state.Intent{ID: state.IntentID(id), Kind: state.IntentRelease, Release: &state.ReleaseRequest{Fingerprint: fingerprint}}
	}
	for fingerprint, kind := range map[string]fault.Kind{
		"": fault.InvalidArgument, "5": fault.InvalidArgument, "000000000000000g": fault.InvalidArgument,
		directory.Fingerprint(6).String(): fault.NotFound, directory.Fingerprint(7).String(): fault.NotFound,
	} {
		if _, err := Build(view, nil, intent("bad", fingerprint)); fault.KindOf(err) != kind {
			t.Errorf("fingerprint %q: error %v, want kind %s", fingerprint, err, kind)
		}
	}
	stale, err := Build(view, nil, intent("late", directory.Fingerprint(5).String()))
	if err != nil {
		t.Fatal(err)
	}
	if suspect, _ := view.Directory().Suspect(5); !suspect.Quarantined {
		t.Error("building the plan released the request")
	}
	if _, err := buildAndConfirm(t, view, &revision, intent("first", directory.Fingerprint(5).String())); err != nil {
		t.Fatal(err)
	}
	if suspect, _ := view.Directory().Suspect(5); suspect.Quarantined {
		t.Error("the request is still in quarantine after the confirmation")
	}
	revision++
	view.Apply(uint64(revision), state.Command{StorePlan: &state.StorePlan{Plan: stale}})
	revision++
	result := view.Apply(uint64(revision), state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: stale.ID, Digest: stale.Digest, Operator: "o"}})
	if result.Err == nil || result.Err.Kind != fault.StalePlan {
		t.Errorf("plan of a request that is released already: error %v, want stale_plan", result.Err)
	}
}
