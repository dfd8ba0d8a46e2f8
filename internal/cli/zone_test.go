package cli

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/state"
)

func TestZoneLines(t *testing.T) {
	content := directory.Content{
		Zones: []directory.Zone{{Name: "west", Evacuated: true}},
		Instances: []directory.Instance{
			{ID: "a", Zone: "west", State: directory.InstanceReady}, {ID: "b", Zone: "east", State: directory.InstanceReady, WarmUp: 1},
			{ID: "c", Zone: "east", State: directory.InstanceGone},
		},
		Layouts: []directory.Layout{{Service: "s", Holdings: []directory.Holding{
			{First: 0, Last: 9, Owner: "a"}, {First: 10, Last: 99, Owner: "b"}, {First: 100, Last: directory.MaxKey},
		}}},
	}
	got := zoneLines(content, []state.Server{{ID: "s1", Zone: "north"}})
	want := []zoneLine{
		{Zone: "east", Instances: 1, Cold: 1, Keys: 90}, {Zone: "north", Servers: 1}, {Zone: "west", Evacuated: true, Instances: 1, Keys: 10},
	}
	if len(got) != len(want) {
		t.Fatalf("lines %+v", got)
	}
	for index, line := range want {
		if got[index] != line {
			t.Errorf("line %+v, want %+v", got[index], line)
		}
	}
}
