package state

import (
	"fmt"
	"testing"
)

// TestClosedRoutersAreForgotten checks that routers which register under new names do
// not accumulate in the state, that those assigned to a partition are kept, and that a
// router which registers again gets a session number that no router had before.
func TestClosedRoutersAreForgotten(t *testing.T) {
	s := New()
	index := uint64(0)
	apply := func(command Command) {
		t.Helper()
		index++
		if result := s.Apply(index, command); result.Err != nil {
			t.Fatal(result.Err)
		}
	}
	numbers := make(map[SessionNumber]bool)
	open := func(id RouterID) SessionNumber {
		apply(Command{PutRouter: &PutRouter{Router: Router{ID: id}}})
		router, _ := s.Router(id)
		if numbers[router.Session.Number] {
			t.Fatalf("session number %d was used before", router.Session.Number)
		}
		numbers[router.Session.Number] = true
		return router.Session.Number
	}
	apply(Command{PutPartitions: &PutPartitions{Partitions: []RecordPartition{{Number: 1, Primary: "r0", Backup: "r1", Epoch: 1}}}})
	const routers = MaxClosedRouters + 50
	for number := range routers {
		id := RouterID(fmt.Sprint("r", number))
		apply(Command{CloseRouter: &CloseRouter{Router: id, Session: open(id)}})
	}
	if kept := len(s.Routers()); kept != MaxClosedRouters+2 {
		t.Errorf("%d of %d closed routers are kept, want %d and the two of the partition", kept, routers, MaxClosedRouters)
	}
	for id, want := range map[RouterID]bool{"r0": true, "r1": true, "r2": false, RouterID(fmt.Sprint("r", routers-1)): true} {
		if _, found := s.Router(id); found != want {
			t.Errorf("router %s is kept: %v", id, found)
		}
	}
	open("r2")
	digest := uint64(0)
	for _, object := range s.Objects() {
		digest ^= ObjectDigest(object)
	}
	if digest != s.Digest() {
		t.Errorf("digest %x, the objects have %x", s.Digest(), digest)
	}
}
