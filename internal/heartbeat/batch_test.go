package heartbeat

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestBatchMakesOneChangeOfEachKind: however many instances announce themselves or
// take keys at the same time; a senseless heartbeat among them changes nothing.
func TestBatchMakesOneChangeOfEachKind(t *testing.T) {
	s := newScript(t)
	ids := []directory.InstanceID{"a", "b", "c"}
	together := func() []directory.Command {
		batch := s.core.Batch(s.now, s.view)
		for _, id := range ids {
			s.sequence[id]++
			if err := batch.Receive(Beat{Instance: id, Service: "s", Address: "address-" + string(id), Slots: 2, Sequence: s.sequence[id]}); err != nil {
				t.Fatal(err)
			}
		}
		if err := batch.Receive(Beat{Instance: "a", Service: "s", Address: "address-a", Sequence: 1}); !fault.Is(err, fault.Conflict) {
			t.Errorf("a late heartbeat: %v", err)
		}
		commands := batch.Commands()
		s.apply(directory.Joined(commands))
		return commands
	}
	if commands := together(); len(commands) != 1 || len(commands[0].Instances) != len(ids) {
		t.Errorf("announced by %+v", commands)
	}
	s.tick(time.Second)
	if commands := together(); len(commands) != 1 || commands[0].Layout == nil || len(commands[0].Layout.Changed) != len(ids) {
		t.Errorf("granted by %+v", commands)
	}
	for _, id := range ids {
		if grant := s.core.Answer(id, s.view); len(grant.Holdings) != 1 {
			t.Errorf("%s gets %+v", id, grant)
		}
	}
}

// TestRenewChangesNothing: it takes a heartbeat only while the lease lasts, and none
// by which keys would be given, taken or moved.
func TestRenewChangesNothing(t *testing.T) {
	renewed := func(s *script, change func(*Beat)) bool {
		beat := Beat{Instance: "a", Service: "s", Address: "address-a", Slots: 2, Sequence: s.sequence["a"] + 1}
		holding(0, half-1, 1)(&beat)
		if change != nil {
			change(&beat)
		}
		return s.core.Renew(s.now, beat, s.view)
	}
	if s := founded(t); !renewed(s, nil) {
		t.Error("a heartbeat that changes nothing is not taken")
	}
	refused := map[string]func(*Beat){
		"it drains":       func(beat *Beat) { beat.Draining = true },
		"another address": func(beat *Beat) { beat.Address = "elsewhere" },
		"it came before":  func(beat *Beat) { beat.Sequence = 1 },
		"an alien fence":  func(beat *Beat) { holding(9, 9, 7)(beat) },
	}
	for name, change := range refused {
		if s := founded(t); renewed(s, change) {
			t.Errorf("taken though %s", name)
		}
	}
	ended := founded(t)
	ended.now += 4 * time.Second
	if renewed(ended, nil) {
		t.Error("taken after the end of the lease")
	}
	elected := founded(t)
	elected.core.Lead(elected.now)
	if renewed(elected, nil) {
		t.Error("taken by a leader that never met the instance")
	}
	ungranted := newScript(t)
	if _, err := ungranted.beat("a", nil); err != nil {
		t.Fatal(err)
	}
	ungranted.tick(time.Second)
	if ungranted.core.Renew(ungranted.now, Beat{Instance: "a", Service: "s", Address: "address-a", Slots: 2, Sequence: 2}, ungranted.view) {
		t.Error("taken before the instance was told of its keys")
	}
}
