package state

import (
	"bytes"
	"testing"

	"github.com/thorntiller/thorntiller/internal/codec"
)

func TestPartitionsRiseByOneEpoch(t *testing.T) {
	held := RecordPartition{
		Number: 3, Primary: "a", PrimarySession: 1, Backup: "b", BackupSession: 2, Epoch: 5, Former: "c", FormerSession: 3, FormerEpoch: 4,
	}
	moved, synced, dropped := held, held, held
	dropped.DropFormer()
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
		"former dropped":                {dropped, true},
		"synced and former dropped":     {with(synced, func(p *RecordPartition) { p.DropFormer() }), true},
		"nothing changed":               {held, false},
		"same epoch, other former":      {with(synced, func(p *RecordPartition) { p.Former = "d" }), false},
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

// TestDeltaNamesEachObjectOnce guards against a delta that contains an object twice,
// whose digest routers would count twice.
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
			t.Errorf("%s is listed twice", object.Key())
		}
		seen[object.Key()] = true
	}
	const parts = 3
	if len(seen) != parts {
		t.Errorf("changed %v", seen)
	}
}

// partitionOfEarlierVersions is RecordPartition as defined in earlier versions.
type partitionOfEarlierVersions struct {
	Number         int
	Primary        RouterID
	PrimarySession SessionNumber
	Backup         RouterID
	BackupSession  SessionNumber
	Epoch          Epoch
	BackupSynced   bool
	LostBefore     int64
	Revision       Revision
}

// TestPartitionsOfTwoVersions checks that a partition without a former copy has the same encoding, and
// so the same digest, as in earlier versions, and that their state files can be read.
func TestPartitionsOfTwoVersions(t *testing.T) {
	earlier, err := codec.Marshal(&partitionOfEarlierVersions{Number: 3, Primary: "a", PrimarySession: 1, Backup: "b", BackupSession: 2, Epoch: 5, BackupSynced: true, Revision: 9})
	if err != nil {
		t.Fatal(err)
	}
	var decoded RecordPartition
	if err := codec.Unmarshal(earlier, &decoded); err != nil || decoded.Backup != "b" || decoded.Former != "" {
		t.Fatalf("read %+v, %v", decoded, err)
	}
	again, err := codec.Marshal(&decoded)
	if err != nil || !bytes.Equal(again, earlier) {
		t.Errorf("written as %q, earlier as %q, %v", again, earlier, err)
	}
}
