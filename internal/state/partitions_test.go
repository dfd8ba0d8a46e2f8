package state

import "testing"

func TestPartitionsRiseByOneEpoch(t *testing.T) {
	held := RecordPartition{Number: 3, Primary: "a", PrimarySession: 1, Backup: "b", BackupSession: 2, Epoch: 5}
	moved, synced := held, held
	moved.Epoch, moved.Primary, moved.PrimarySession = 6, "b", 2
	synced.BackupSynced = true
	with := func(from RecordPartition, change func(*RecordPartition)) RecordPartition {
		change(&from)
		return from
	}
	cases := map[string]struct {
		proposed RecordPartition
		accepted bool
	}{
		"next epoch":                    {moved, true},
		"backup synced":                 {synced, true},
		"same epoch, other primary":     {with(synced, func(p *RecordPartition) { p.Primary = "c" }), false},
		"same epoch, other backup":      {with(synced, func(p *RecordPartition) { p.BackupSession = 9 }), false},
		"same epoch, records forgotten": {with(synced, func(p *RecordPartition) { p.LostBefore = 1 }), false},
		"epoch skipped":                 {with(moved, func(p *RecordPartition) { p.Epoch = 7 }), false},
		"epoch back":                    {with(moved, func(p *RecordPartition) { p.Epoch = 4 }), false},
	}
	for name, each := range cases {
		machine := New()
		machine.Apply(1, Command{PutPartitions: &PutPartitions{Partitions: []RecordPartition{held}}})
		result := machine.Apply(2, Command{PutPartitions: &PutPartitions{Partitions: []RecordPartition{each.proposed}}})
		if accepted := len(result.Changed) == 1; accepted != each.accepted {
			t.Errorf("%s: accepted %v", name, accepted)
		}
	}
}

// TestDeltaNamesEachObjectOnce guards routers against a delta in which the
// digest of an object counts twice.
func TestDeltaNamesEachObjectOnce(t *testing.T) {
	m := withService(t, 1)
	m.assign(1, "a")
	result := m.confirm("move", Operation{IsolateKey: &IsolateKey{Shard: 1, Epoch: 1, Hash: 1 << 40, To: "b"}})
	if result.Err != nil {
		t.Fatal(result.Err)
	}
	seen := make(map[string]bool)
	for _, object := range result.Changed {
		if seen[object.Key()] {
			t.Errorf("%s comes twice", object.Key())
		}
		seen[object.Key()] = true
	}
	const parts = 3
	if len(seen) != parts {
		t.Errorf("changed %v", seen)
	}
}
