package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// TestEvacuatedZoneIsLeft checks that the instances of an evacuated zone stop getting requests one by one,
// holders of keys last, and all of them before the limit; and at once at a gateway that finds the zone
// evacuated when it starts.
func TestEvacuatedZoneIsLeft(t *testing.T) {
	e := newEvacuations(testClock, 5*time.Second)
	e.update(&routing.Table{})
	e.update(&routing.Table{Evacuated: []string{"west"}})
	holder := directory.Instance{ID: "h", Zone: "west"}
	if e.excludesHolder(holder) || e.excludes(directory.Instance{ID: "h", Zone: "east"}) {
		t.Error("holders must get requests until their keys have moved, and other zones must not be excluded")
	}
	e.since["west"] = testClock.Now() - evacuationFade/2
	left := 0
	const instances = 200
	for index := range instances {
		if e.excludes(directory.Instance{ID: directory.InstanceID(fmt.Sprint("i", index)), Zone: "west"}) {
			left++
		}
	}
	if left < instances/4 || left > 3*instances/4 {
		t.Errorf("%d of %d instances are excluded after half of the time", left, instances)
	}
	e.since["west"] = testClock.Now() - e.lastRequestAfter()
	if !e.excludes(holder) || !e.excludesHolder(holder) {
		t.Error("all instances of the zone must be excluded after the limit")
	}
	e.update(&routing.Table{})
	if e.excludes(holder) || e.excludesHolder(holder) {
		t.Error("a restored zone must get requests")
	}
	started := newEvacuations(testClock, 5*time.Second)
	started.update(&routing.Table{Evacuated: []string{"west"}})
	if !started.excludes(holder) || !started.excludesHolder(holder) {
		t.Error("a gateway that starts must send nothing to an evacuated zone")
	}
}
