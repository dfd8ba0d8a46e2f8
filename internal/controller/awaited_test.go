package controller

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestStateOfInstanceWithALostTrial checks what the leader concludes from the directory about an instance that lost a
// request: only one that was replaced has certainly ended.
func TestStateOfInstanceWithALostTrial(t *testing.T) {
	for name, c := range map[string]struct {
		instance directory.Instance
		want     quarantine.InstanceState
	}{
		"ready":          {directory.Instance{State: directory.InstanceReady}, quarantine.InstanceState{}},
		"lease expired":  {directory.Instance{State: directory.InstanceSilent}, quarantine.InstanceState{LeaseExpired: true}},
		"draining":       {directory.Instance{State: directory.InstanceDraining}, quarantine.InstanceState{Leaving: true}},
		"left":           {directory.Instance{State: directory.InstanceGone}, quarantine.InstanceState{Leaving: true}},
		"replaced":       {directory.Instance{State: directory.InstanceGone, Ended: true}, quarantine.InstanceState{Leaving: true, Ended: true}},
		"replaced early": {directory.Instance{State: directory.InstanceReady, Ended: true}, quarantine.InstanceState{Ended: true}},
	} {
		if got := stateOfInstance(c.instance); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// TestStateOfProcessWithALostTrial is the same for the process of a server that gets its leases by messages.
func TestStateOfProcessWithALostTrial(t *testing.T) {
	open := state.Session{Number: 3, Incarnation: "first", Open: true}
	active := state.Server{ID: "s", Intent: state.ServerActive, Session: open}
	with := func(change func(*state.Server)) state.Server {
		changed := active
		change(&changed)
		return changed
	}
	for name, c := range map[string]struct {
		server state.Server
		want   quarantine.InstanceState
	}{
		"session open":   {active, quarantine.InstanceState{}},
		"lease expired":  {with(func(s *state.Server) { s.Session.Open = false }), quarantine.InstanceState{LeaseExpired: true}},
		"replaced":       {with(func(s *state.Server) { s.Session.Incarnation = "second" }), quarantine.InstanceState{Ended: true}},
		"machine leaves": {with(func(s *state.Server) { s.Leaving = true }), quarantine.InstanceState{Leaving: true}},
		"retiring":       {with(func(s *state.Server) { s.Intent = state.ServerRetiring }), quarantine.InstanceState{Leaving: true}},
	} {
		if got := stateOfProcess(active.Process(), c.server); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
	if got := state.ServerOfProcess(active.Process()); got != active.ID {
		t.Errorf("server %q of process %q", got, active.Process())
	}
}
