package router

import (
	"io"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
)

// TestSubscriptionFollowsTheNamedLeader checks which controller is tried after each way in
// which a connection to the controller "a" can end.
func TestSubscriptionFollowsTheNamedLeader(t *testing.T) {
	s := &subscription{controllers: []string{"a", "b", "c"}}
	refused := func(kind fault.Kind, detail string) error {
		return eris.Wrap(s.handleFrame(message.ControllerFrame{Refusal: &message.Refusal{Kind: kind, Detail: detail}}), "receive")
	}
	for name, c := range map[string]struct {
		ended error
		want  string
	}{
		"leader named":      {refused(fault.NotLeader, "c"), "c"},
		"leader not known":  {refused(fault.NotLeader, ""), "b"},
		"stranger named":    {refused(fault.NotLeader, "z"), "b"},
		"another kind":      {refused(fault.Unavailable, "c"), "b"},
		"connection closed": {io.EOF, "b"},
	} {
		if got := s.controllers[s.nextController(c.ended)]; got != c.want {
			t.Errorf("%s: tried %s next, want %s", name, got, c.want)
		}
	}
}

// TestSilentConnectionsAreGivenMoreTime guards against a router that closes each connection before the first frame can
// arrive, for as long as round trips take longer than it waits.
func TestSilentConnectionsAreGivenMoreTime(t *testing.T) {
	s := &subscription{pingInterval: 150 * time.Millisecond, controllers: []string{"a", "b", "c"}}
	s.silent.Store(true)
	for _, want := range []time.Duration{silenceTimeout, 2 * silenceTimeout, 4 * silenceTimeout, 8 * silenceTimeout, maxSilence, maxSilence} {
		for range s.controllers {
			if got := s.silence(); got != min(want, maxSilence) {
				t.Errorf("after %d silent connections, the next may be silent for %s, want %s", s.silentConnections, got, min(want, maxSilence))
			}
			s.countSilence()
		}
	}
	s.heard.Store(true)
	if s.countSilence(); s.silence() != silenceTimeout {
		t.Errorf("after a frame, a connection may be silent for %s, want %s", s.silence(), silenceTimeout)
	}
	s.heard.Store(false)
	s.silent.Store(false)
	for range 10 {
		s.countSilence()
	}
	if s.silence() != silenceTimeout {
		t.Errorf("after connections that were refused, one may be silent for %s, want %s", s.silence(), silenceTimeout)
	}
}

// TestSubscriptionLearnsAnnouncedAddresses: a named leader is found by the address that it has
// announced if the router's settings list the controllers under other addresses.
func TestSubscriptionLearnsAnnouncedAddresses(t *testing.T) {
	s := &subscription{controllers: []string{"a", "b", "c"}}
	refused := func(from, leader string) error {
		return s.handleFrame(message.ControllerFrame{Refusal: &message.Refusal{Kind: fault.NotLeader, Detail: leader, From: from}})
	}
	s.preferred = 1
	if got := s.nextController(refused("B", "A")); got != 2 {
		t.Errorf("a leader that never refused: tried %s next, want the one after", s.controllers[got])
	}
	if got := s.nextController(refused("B", "")); got != 2 {
		t.Errorf("no leader named: tried %s next, want the one after", s.controllers[got])
	}
	s.preferred = 2
	if got := s.nextController(refused("C", "B")); got != 1 {
		t.Errorf("a leader that refused before it led: tried %s next, want b", s.controllers[got])
	}
}

// setClock returns the time that the test sets.
type setClock struct{ now time.Duration }

func (c *setClock) Now() time.Duration { return c.now }

// TestSubscriptionLeavesOutALostController: the controller that served the router last is not
// tried again at once, even if others name it as the leader, unless it is the only one.
func TestSubscriptionLeavesOutALostController(t *testing.T) {
	testClock := &setClock{now: time.Second}
	s := &subscription{controllers: []string{"a", "b", "c"}, clock: testClock, served: true}
	s.recordLost()
	refusedNaming := func(leader string) error {
		return s.handleFrame(message.ControllerFrame{Refusal: &message.Refusal{Kind: fault.NotLeader, Detail: leader}})
	}
	for _, step := range []struct {
		at, want int
		leader   string
	}{{0, 1, "a"}, {1, 2, "a"}, {2, 1, "a"}, {2, 1, ""}, {1, 2, "c"}} {
		s.preferred = step.at
		if got := s.nextController(refusedNaming(step.leader)); got != step.want {
			t.Errorf("at %d, naming %q: tried %d next, want %d", step.at, step.leader, got, step.want)
		}
	}
	testClock.now += lostControllerPause
	s.preferred = 1
	if got := s.nextController(refusedNaming("a")); got != 0 {
		t.Errorf("later: tried %d next, want 0", got)
	}
	alone := &subscription{controllers: []string{"a"}, clock: testClock, served: true}
	alone.recordLost()
	if got := alone.nextController(io.EOF); got != 0 {
		t.Errorf("the only controller: tried %d next", got)
	}
}

// TestSubscriptionTellsPeopleWhatDoesNotFit: a notice is logged with the problems that the
// controllers report, and the connection stays open.
func TestSubscriptionTellsPeopleWhatDoesNotFit(t *testing.T) {
	logger, hook := test.NewNullLogger()
	s := &subscription{log: logrus.NewEntry(logger)}
	if err := s.handleFrame(message.ControllerFrame{Notice: &message.Notice{Problems: []string{"ping_interval: too long"}}}); err != nil {
		t.Fatal(err)
	}
	last := hook.LastEntry()
	if last == nil || last.Level != logrus.WarnLevel || last.Data["problem"] != "ping_interval: too long" {
		t.Errorf("logged %+v", last)
	}
}
