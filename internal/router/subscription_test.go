package router

import (
	"io"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
)

// TestSubscriptionFollowsTheNamedLeader shows which controller is tried after
// each way in which a connection to the controller at "a" can end.
func TestSubscriptionFollowsTheNamedLeader(t *testing.T) {
	s := &subscription{controllers: []string{"a", "b", "c"}}
	refused := func(kind fault.Kind, detail string) error {
		return eris.Wrap(s.take(message.ControllerFrame{Refusal: &message.Refusal{Kind: kind, Detail: detail}}), "receive")
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
		if got := s.controllers[s.next(c.ended)]; got != c.want {
			t.Errorf("%s: tried %s next, want %s", name, got, c.want)
		}
	}
}
