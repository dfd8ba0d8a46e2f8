package execution

import (
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
