package directory

import "testing"

// TestIncarnationsAreTold checks that server and start time survive the conversion to an InstanceID
// and back.
func TestIncarnationsAreTold(t *testing.T) {
	for id, want := range map[InstanceID]Incarnation{
		"i-1": {Server: "i-1"}, "i-1@17": {Server: "i-1", Born: 17}, "i-1@x": {Server: "i-1@x"}, "": {},
	} {
		if got := id.Incarnation(); got != want {
			t.Errorf("%q: %+v, want %+v", id, got, want)
		}
		if again := want.ID(); again != id {
			t.Errorf("%+v is %q, want %q", want, again, id)
		}
	}
	if ValidServer("") || ValidServer("a@1") || !ValidServer("i-7f3a91c2") {
		t.Error("ValidServer accepts an invalid identifier or rejects a valid one")
	}
}

// TestLaterLifeEndsEarlierOnes checks that a new incarnation marks the earlier ones as gone, also
// at another address and after a snapshot, and that an earlier one that is announced late does not
// end a later one.
func TestLaterLifeEndsEarlierOnes(t *testing.T) {
	view := New()
	announce := func(revision Revision, id InstanceID, address string) {
		t.Helper()
		if err := view.Apply(revision, Command{Instances: []Instance{{ID: id, Service: "s", Address: address, State: InstanceReady}}}); err != nil {
			t.Fatal(err)
		}
	}
	state := func(id InstanceID) (InstanceState, bool) {
		instance, _ := view.Instance(id)
		return instance.State, instance.Ended
	}
	announce(1, "a", "127.0.0.1:1")
	announce(2, "a@10", "127.0.0.1:2")
	if got, ended := state("a"); got != InstanceGone || !ended {
		t.Errorf("the incarnation without a start time is %s, ended %v", got, ended)
	}
	restored := New()
	restored.Merge(view.Since(0))
	view = restored
	announce(3, "a@20", "127.0.0.1:3")
	if got, ended := state("a@10"); got != InstanceGone || !ended {
		t.Errorf("the earlier incarnation is %s, ended %v", got, ended)
	}
	announce(4, "a@15", "127.0.0.1:4")
	if got, _ := state("a@20"); got != InstanceReady {
		t.Errorf("the newest incarnation is %s after an earlier one was announced", got)
	}
	if lives := view.Incarnations("a"); len(lives) != 4 {
		t.Errorf("%d incarnations", len(lives))
	}
}
