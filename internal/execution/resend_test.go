package execution

import (
	"context"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// answeringFleet knows when its one server answered last.
type answeringFleet struct {
	dispatch.Fleet
	at time.Duration
}

func (f *answeringFleet) Answered(_ *state.Server, now time.Duration) { f.at = now }

func (f *answeringFleet) AnsweredSince(_ *state.Server, reading time.Duration) bool {
	return f.at > reading
}

// TestRefusalByALaggingOwnerIsNotFinal lets more requests meet an owner that has
// not heard of its shard yet than the retry budget has resends for. Those without
// a resend must ask again long before their deadline, and go out once the owner
// has answered another request.
func TestRefusalByALaggingOwnerIsNotFinal(t *testing.T) {
	servers := &answeringFleet{}
	core := New(Options{Fleet: servers, Jitter: func() float64 { return 0 }})
	request := &dispatch.Request{Keyed: true, Deadline: time.Hour}
	sending := core.Begin(request, &state.Service{Name: "service"})
	sending.decision = dispatch.Decision{Action: dispatch.Send, Server: &state.Server{ID: "owner"}, Shard: 1, Epoch: 2}
	sending.again(time.Second, fault.New(fault.WrongEpoch, "planted"))
	for range resendBurst {
		if !sending.payForResend(time.Second) {
			t.Fatal("the budget is empty too soon")
		}
	}
	if sending.payForResend(time.Second) {
		t.Fatal("the budget does not bound resends to an owner that refused")
	}
	if look := sending.history.Attempts[0].NotBefore; look > request.Deadline/2 {
		t.Fatalf("the request looks again %s from now, at its deadline", look)
	}
	servers.Answered(sending.decision.Server, 2*time.Second)
	if !sending.payForResend(2 * time.Second) {
		t.Fatal("the owner has answered since, and the request is still held back")
	}
	sending.again(3*time.Second, fault.New(fault.WrongEpoch, "planted again"))
	if sending.payForResend(3 * time.Second) {
		t.Fatal("an answer from before the refusal counts as proof")
	}
}

// TestProvedResendsAreBounded: answers of the owner free no resend of what it
// refuses since it drains, and no more than a few of what it refuses otherwise.
func TestProvedResendsAreBounded(t *testing.T) {
	for kind, want := range map[fault.Kind]int{fault.WrongEpoch: maxProvedResends, fault.Draining: 0} {
		servers := &answeringFleet{}
		core := New(Options{Fleet: servers, Jitter: func() float64 { return 0 }})
		sending := core.Begin(&dispatch.Request{Keyed: true, Deadline: time.Hour}, &state.Service{Name: "service"})
		sending.decision = dispatch.Decision{Action: dispatch.Send, Server: &state.Server{ID: "owner"}, Shard: 1, Epoch: 2}
		sent := 0
		for now := time.Second; now < time.Minute; now += time.Second {
			sending.again(now, fault.New(kind, "planted"))
			servers.Answered(sending.decision.Server, now+1)
			if sending.payForResend(now + 1) {
				sent++
			}
		}
		if sent != want+resendBurst {
			t.Errorf("%s: %d resends, want %d beside the budget's %d", kind, sent, want, resendBurst)
		}
	}
}

// TestStopInAQueueIsNotRun: nothing was sent when the router stops while the
// request waits in a server's queue.
func TestStopInAQueueIsNotRun(t *testing.T) {
	sending := New(Options{}).Begin(&dispatch.Request{Deadline: time.Hour}, &state.Service{Name: "service"})
	action := sending.Acquired(Reading{Now: time.Second}, nil, context.Canceled)
	if action.Kind != Finish || action.Failure.Kind != fault.RouterStopping {
		t.Errorf("ends with %+v", action)
	}
}
