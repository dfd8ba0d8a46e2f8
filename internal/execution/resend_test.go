package execution

import (
	"context"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// answeringFleet holds the time of its single server's last answer.
type answeringFleet struct {
	dispatch.Fleet
	answeredAt time.Duration
}

func (f *answeringFleet) Answered(_ *state.Server, now time.Duration) { f.answeredAt = now }

func (f *answeringFleet) AnsweredSince(_ *state.Server, reading time.Duration) bool {
	return f.answeredAt > reading
}

// TestRefusalByALaggingOwnerIsNotFinal guards against requests that fail because an owner
// that has not learned of its shard yet refuses more of them than the retry budget has
// resends for. Those without a resend must check again long before their deadline, and be
// sent once the owner has answered another request.
func TestRefusalByALaggingOwnerIsNotFinal(t *testing.T) {
	fleet := &answeringFleet{}
	core := New(Options{Fleet: fleet, Jitter: func() float64 { return 0 }})
	request := &dispatch.Request{Keyed: true, Deadline: time.Hour}
	execution := core.Begin(request, &state.Service{Name: "service"})
	execution.decision = dispatch.Decision{Action: dispatch.Send, Server: &state.Server{ID: "owner"}, Shard: 1, Epoch: 2}
	execution.recordAttempt(time.Second, fault.New(fault.WrongEpoch, "planted"))
	for range resendBurst {
		if !execution.admitResend(time.Second) {
			t.Fatal("the budget is empty too soon")
		}
	}
	if execution.admitResend(time.Second) {
		t.Fatal("the budget does not bound resends to an owner that refused")
	}
	if retryAt := execution.history.Attempts[0].NotBefore; retryAt > request.Deadline/2 {
		t.Fatalf("the request checks again %s from now, at its deadline", retryAt)
	}
	fleet.Answered(execution.decision.Server, 2*time.Second)
	if !execution.admitResend(2 * time.Second) {
		t.Fatal("the owner has answered since, and the request is still held back")
	}
	execution.recordAttempt(3*time.Second, fault.New(fault.WrongEpoch, "planted again"))
	if execution.admitResend(3 * time.Second) {
		t.Fatal("an answer from before the refusal counts as proof")
	}
}

// TestProvedResendsAreBounded: answers of the owner allow no free resends of requests that
// it refuses because it is draining, and at most maxProvedResends of other refused requests.
func TestProvedResendsAreBounded(t *testing.T) {
	for kind, want := range map[fault.Kind]int{fault.WrongEpoch: maxProvedResends, fault.Draining: 0} {
		fleet := &answeringFleet{}
		core := New(Options{Fleet: fleet, Jitter: func() float64 { return 0 }})
		execution := core.Begin(&dispatch.Request{Keyed: true, Deadline: time.Hour}, &state.Service{Name: "service"})
		execution.decision = dispatch.Decision{Action: dispatch.Send, Server: &state.Server{ID: "owner"}, Shard: 1, Epoch: 2}
		resends := 0
		for now := time.Second; now < time.Minute; now += time.Second {
			execution.recordAttempt(now, fault.New(kind, "planted"))
			fleet.Answered(execution.decision.Server, now+1)
			if execution.admitResend(now + 1) {
				resends++
			}
		}
		if resends != want+resendBurst {
			t.Errorf("%s: %d resends, want %d in addition to the budget's %d", kind, resends, want, resendBurst)
		}
	}
}

// TestStopInAQueueIsNotRun: a request that waits in a server's queue when the router stops
// was not sent, so its failure must say so.
func TestStopInAQueueIsNotRun(t *testing.T) {
	execution := New(Options{}).Begin(&dispatch.Request{Deadline: time.Hour}, &state.Service{Name: "service"})
	action := execution.Acquired(Reading{Now: time.Second}, nil, context.Canceled)
	if action.Kind != Finish || action.Failure.Kind != fault.RouterStopping {
		t.Errorf("ends with %+v", action)
	}
}
