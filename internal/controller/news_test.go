package controller

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func woken(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestNewsWakeThoseConcerned: a change of keys wakes the instance that gets them and the
// one that is to let them go, and nobody else.
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
		news := newInstanceNews()
		waiting := make(map[directory.InstanceID]<-chan struct{})
		for _, id := range []directory.InstanceID{"a", "b", "c"} {
			waiting[id] = news.Next(id)
		}
		news.Applied(c.command)
		for _, id := range c.woken {
			if !woken(waiting[id]) {
				t.Errorf("%s: %s is not woken", name, id)
			}
			delete(waiting, id)
		}
		for id, channel := range waiting {
			if woken(channel) {
				t.Errorf("%s: %s is woken", name, id)
			}
		}
	}
}

// TestNewsAfterNextAreNotMissed: what happens after Next wakes the one that waits, again and
// again.
func TestNewsAfterNextAreNotMissed(t *testing.T) {
	news := newInstanceNews()
	for range 3 {
		waiting := news.Next("a")
		news.RaiseAll()
		if !woken(waiting) {
			t.Fatal("news after Next were missed")
		}
	}
	if len(news.waiting) != 0 {
		t.Errorf("%d channels are left", len(news.waiting))
	}
}
