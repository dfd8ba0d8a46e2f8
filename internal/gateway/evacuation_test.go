package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// TestEvacuatedZoneIsLeft: its instances one by one, holders of keys last, all of them
// before the limit; and at once by a gateway that finds the zone evacuated at its start.
func TestEvacuatedZoneIsLeft(t *testing.T) {
	e := newEvacuations(testClock, 5*time.Second)
	e.note(&routing.Table{})
	e.note(&routing.Table{Evacuated: []string{"west"}})
	holder := directory.Instance{ID: "h", Zone: "west"}
	if e.excludesHolder(holder) || e.excludes(directory.Instance{ID: "h", Zone: "east"}) {
		t.Error("holders serve until their keys have moved, and other zones go on")
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
		t.Errorf("%d of %d instances are left after half of the time", left, instances)
	}
	e.since["west"] = testClock.Now() - e.lastRequestAfter()
	if !e.excludes(holder) || !e.excludesHolder(holder) {
		t.Error("nothing is sent to the zone after the limit")
	}
	e.note(&routing.Table{})
	if e.excludes(holder) || e.excludesHolder(holder) {
		t.Error("a restored zone gets requests")
	}
	started := newEvacuations(testClock, 5*time.Second)
	started.note(&routing.Table{Evacuated: []string{"west"}})
	if !started.excludes(holder) || !started.excludesHolder(holder) {
		t.Error("a gateway that starts sends nothing to an evacuated zone")
	}
}
