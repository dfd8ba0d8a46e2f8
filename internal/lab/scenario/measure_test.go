package scenario

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

func attemptAt(sent, received time.Duration, outcome fault.Outcome) record.Attempt {
	return record.Attempt{
		Kind: record.AttemptDone, Router: "router", Transport: record.TransportAnswered,
		SentNs: sent.Nanoseconds(), ReceivedNs: received.Nanoseconds(), Outcome: outcome,
	}
}

// TestRecoveryCatchesPlantedFault plants one attempt that shows an outage.
func TestRecoveryCatchesPlantedFault(t *testing.T) {
	const fast = 5 * time.Millisecond
	within := span{from: time.Second, to: 10 * time.Second}
	resent := attemptAt(8*time.Second, 8*time.Second+fast, fault.Unknown)
	resent.ErrorKind = fault.OutcomeUnknown
	refused := attemptAt(8*time.Second, 8*time.Second+fast, fault.NotRun)
	refused.Transport = record.TransportRefused
	tests := []struct {
		name    string
		planted record.Attempt
		want    time.Duration
	}{
		{"none", attemptAt(4*time.Second, 4*time.Second+fast, fault.Completed), 0},
		{"failure", attemptAt(4*time.Second, 4*time.Second+fast, fault.NotRun), 3 * time.Second},
		{"failure after a long wait", attemptAt(4*time.Second, 7*time.Second, fault.Unknown), 3 * time.Second},
		{"held up", attemptAt(4*time.Second, 7*time.Second, fault.Completed), 3*time.Second + slowAfter},
		{"failure before the span", attemptAt(time.Millisecond, 5*time.Millisecond, fault.NotRun), 0},
		{"news of an earlier attempt", resent, 0},
		{"a router that has ended", refused, 0},
	}
	for _, test := range tests {
		attempts := []record.Attempt{attemptAt(2*time.Second, 2*time.Second+fast, fault.Completed), test.planted}
		if got := recovery(attempts, within, anyAttempt); got != test.want {
			t.Errorf("%s: recovery is %s, want %s", test.name, got, test.want)
		}
	}
}

// TestOutageOfOneServiceIsCaught plants a time without success of one service
// beside another that is served.
func TestOutageOfOneServiceIsCaught(t *testing.T) {
	within := span{from: time.Second, to: 10 * time.Second}
	of := func(service string, done record.Attempt) record.Attempt {
		done.Service = service
		return done
	}
	failed := of("lost", attemptAt(3*time.Second, 4*time.Second, fault.Unknown))
	served := of("other", attemptAt(3*time.Second, 4*time.Second, fault.Completed))
	back := of("lost", attemptAt(4*time.Second, 5*time.Second, fault.Completed))
	tests := []struct {
		name     string
		attempts []record.Attempt
		want     time.Duration
	}{
		{"served", []record.Attempt{served, back}, 0},
		{"until the next success", []record.Attempt{back, served, failed}, 2 * time.Second},
		{"to the end", []record.Attempt{served, failed}, 7 * time.Second},
	}
	for _, test := range tests {
		if got := longestOutage(test.attempts, within); got != test.want {
			t.Errorf("%s: the outage is %s, want %s", test.name, got, test.want)
		}
	}
}

// TestStaleServiceIsCaught plants an answer of a router that must refuse.
func TestStaleServiceIsCaught(t *testing.T) {
	stale := span{from: 5 * time.Second, to: 8 * time.Second}
	served := []record.Attempt{attemptAt(6*time.Second, 6*time.Second, fault.Completed)}
	if bound := servedWhileStale("router", stale)(served); bound.Held {
		t.Errorf("an answer of a stale router was not found: %+v", bound)
	}
	if bound := servedWhileStale("other", stale)(served); !bound.Held {
		t.Errorf("another router's answer was counted: %+v", bound)
	}
	if bound := refusedAsStale("router", stale)(served); bound.Held {
		t.Errorf("a run without a refusal must not prove one: %+v", bound)
	}
}

// TestBrokenBoundFailsResult lets one bound break in a run that kept every
// guarantee.
func TestBrokenBoundFailsResult(t *testing.T) {
	judged := trial.Result{Summary: record.Summary{Requests: 1, OK: true}}
	for limit, want := range map[float64]bool{10: true, 1: false} {
		r := &run{Trial: &trial.Trial{}, checks: []check{func([]record.Attempt) Bound { return atMost("planted", 5, limit) }}}
		result, err := r.judge("planted", Options{}, judged)
		if err != nil {
			t.Fatal(err)
		}
		if result.OK != want {
			t.Errorf("limit %g: ok is %t, want %t", limit, result.OK, want)
		}
	}
}

func TestScenarioNamesAreUnique(t *testing.T) {
	names := make(map[string]bool)
	for _, known := range All() {
		if names[known.Name] || known.Name == "" || known.Proves == "" || known.steps == nil {
			t.Errorf("scenario %q is incomplete or listed twice", known.Name)
		}
		names[known.Name] = true
	}
}
