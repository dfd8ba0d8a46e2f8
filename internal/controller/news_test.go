package controller

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestNewsWakeThoseConcerned: a change of keys wakes the instance that gets them and the one that must release
// them, and no others.
func TestNewsWakeThoseConcerned(t *testing.T) {
	layout := func(changed ...directory.Holding) directory.Command {
		return directory.Command{Layout: &directory.PutLayout{Service: "s", Changed: changed}}
	}
	cases := map[string]struct {
		command directory.Command
		woken   []directory.InstanceID
	}{
		"granted":         {layout(directory.Holding{Owner: "a", Granted: true}), []directory.InstanceID{"a"}},
		"revoked":         {layout(directory.Holding{Owner: "b", Revoked: true}), []directory.InstanceID{"b"}},
		"free":            {layout(directory.Holding{}), nil},
		"state":           {directory.Command{Instances: []directory.Instance{{ID: "c"}}}, []directory.InstanceID{"c"}},
		"of a batch":      {directory.JoinCommands([]directory.Command{layout(directory.Holding{Owner: "a"}), {Instances: []directory.Instance{{ID: "c"}}}}), []directory.InstanceID{"a", "c"}},
		"a configuration": {directory.Command{Patch: &directory.Patch{}}, []directory.InstanceID{"a", "b", "c"}},
	}
	for name, c := range cases {
		notifier := newInstanceNotifier()
		waiting := make(map[directory.InstanceID]<-chan struct{})
		for _, id := range []directory.InstanceID{"a", "b", "c"} {
			waiting[id] = notifier.Next(id)
		}
		notifier.NotifyCommand(c.command)
		for _, id := range c.woken {
			if !isClosed(waiting[id]) {
				t.Errorf("%s: %s was not notified", name, id)
			}
			delete(waiting, id)
		}
		for id, channel := range waiting {
			if isClosed(channel) {
				t.Errorf("%s: %s was notified", name, id)
			}
		}
	}
}

// TestNewsAfterNextAreNotMissed: a change after Next wakes the waiter, repeatedly.
func TestNewsAfterNextAreNotMissed(t *testing.T) {
	notifier := newInstanceNotifier()
	for range 3 {
		waiting := notifier.Next("a")
		notifier.NotifyAll()
		if !isClosed(waiting) {
			t.Fatal("a change after Next was missed")
		}
	}
	if len(notifier.waiting) != 0 {
		t.Errorf("%d channels are left", len(notifier.waiting))
	}
}
