package controller

import (
	"slices"
	"testing"
)

// TestGatewaysKnowEachOther: each gateway learns the next few in address order, never itself, and none that
// has disconnected.
func TestGatewaysKnowEachOther(t *testing.T) {
	gateways := newGatewayList()
	var removes []func()
	for _, address := range []string{"a", "b", "c", "d", "e", "f"} {
		removes = append(removes, gateways.add(address))
	}
	gateways.add("")()
	if got := gateways.peersOf("c"); !slices.Equal(got, []string{"d", "e", "f", "a"}) {
		t.Errorf("peers of c: %v", got)
	}
	if got := gateways.peersOf(""); got != nil {
		t.Errorf("peers of a gateway that serves no directory: %v", got)
	}
	again := gateways.add("e")
	removes[4]()
	if got := gateways.peersOf("c"); !slices.Contains(got, "e") {
		t.Errorf("peers of c while e still has its second stream: %v", got)
	}
	again()
	removes[3]()
	if got := gateways.peersOf("c"); !slices.Equal(got, []string{"f", "a", "b"}) {
		t.Errorf("peers of c after d and e disconnected: %v", got)
	}
}
