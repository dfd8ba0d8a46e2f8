package execution

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestRouterWithoutDescriptorsEjectsNobody guards against back ends that are ejected because the router's own machine
// lacks descriptors for connections to them; one that cannot be reached is still ejected.
func TestRouterWithoutDescriptorsEjectsNobody(t *testing.T) {
	for kind, want := range map[fault.Kind]bool{fault.SocketUnavailable: false, fault.ConnectFailed: true} {
		tracker := health.NewTracker(health.Settings{Failures: 3, BaseEjection: time.Second, MaxEjection: time.Second, MaxRatio: 0.5})
		core := New(Options{Fleet: &answeringFleet{}, Health: tracker, Jitter: func() float64 { return 0 }})
		execution := core.Begin(&dispatch.Request{Deadline: time.Hour}, &state.Service{Name: "service"})
		servers := []*state.Server{{ID: "s"}, {ID: "t"}}
		execution.decision = dispatch.Decision{Action: dispatch.Send, Server: servers[0]}
		for range 10 {
			execution.recordHealth(time.Second, fault.New(kind, "planted"), 0)
		}
		if got := len(tracker.Choose(servers, time.Second)) == 1; got != want {
			t.Errorf("%s: ejected %t, want %t", kind, got, want)
		}
	}
}
