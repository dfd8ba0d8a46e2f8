package record

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// epochs returns the sum of the partitions' epochs, which rises with each change.
func (o *office) epochs() int {
	sum := 0
	for _, placed := range o.state.Partitions() {
		sum += int(placed.Epoch)
	}
	return sum
}

func (o *office) primaries(id state.RouterID) int {
	count := 0
	for _, placed := range o.state.Partitions() {
		if placed.Primary == id {
			count++
		}
	}
	return count
}

func TestReportsMovePartitionsOnlyByTheWordOfMost(t *testing.T) {
	cases := []struct {
		name    string
		routers []state.RouterID
		reports map[state.RouterID][]state.RouterID
		// emptied have no primaries afterwards, all others have some.
		emptied []state.RouterID
	}{
		{"nobody", []state.RouterID{"a", "b", "c"}, nil, nil},
		{"one of three with a bad link", []state.RouterID{"a", "b", "c"}, map[state.RouterID][]state.RouterID{"c": {"a"}}, nil},
		{"both others", []state.RouterID{"a", "b", "c"}, map[state.RouterID][]state.RouterID{"b": {"a"}, "c": {"a"}}, []state.RouterID{"a"}},
		{"its own word", []state.RouterID{"a", "b", "c"}, map[state.RouterID][]state.RouterID{"a": {"b", "c"}}, []state.RouterID{"a"}},
		{"half of four others", []state.RouterID{"a", "b", "c", "d", "e"}, map[state.RouterID][]state.RouterID{"b": {"a"}, "c": {"a"}}, nil},
		{"most of four others", []state.RouterID{"a", "b", "c", "d", "e"},
			map[state.RouterID][]state.RouterID{"b": {"a"}, "c": {"a"}, "d": {"a"}}, []state.RouterID{"a"}},
		{"the only other", []state.RouterID{"a", "b"}, map[state.RouterID][]state.RouterID{"a": {"b"}, "b": {"a"}}, nil},
		{"a liar about all but itself", []state.RouterID{"a", "b", "c", "d"}, map[state.RouterID][]state.RouterID{"a": {"b", "c", "d", "x"}}, []state.RouterID{"a"}},
		{"everyone of everyone", []state.RouterID{"a", "b", "c"}, map[state.RouterID][]state.RouterID{"a": {"b", "c"}, "b": {"c"}}, nil},
	}
	for _, example := range cases {
		t.Run(example.name, func(t *testing.T) {
			o := newOffice(t, example.routers...)
			for reporter, silent := range example.reports {
				o.reports[reporter] = Report{Unreachable: silent}
			}
			before := o.epochs()
			o.run(cutOffDelay - 2*tick)
			if o.epochs() != before {
				t.Error("something moved before the verdict")
			}
			o.run(time.Second)
			for _, id := range example.routers {
				if empty := o.primaries(id) == 0; empty != slices.Contains(example.emptied, id) {
					t.Errorf("%s is the primary of %d partitions", id, o.primaries(id))
				}
			}
			if len(example.emptied) == 0 && o.epochs() != before {
				t.Error("something moved")
			}
			for _, placed := range o.state.Partitions() {
				if placed.LostBefore != 0 || (len(example.routers) > 2 && !placed.BackupSynced) {
					t.Errorf("partition %+v", placed)
				}
			}
			o.reports = map[state.RouterID]Report{}
			for _, id := range example.routers {
				o.reports[id] = Report{}
			}
			o.run(cutOffCooldown + 2*time.Second)
			o.check("healed", true, false)
		})
	}
}

// TestRouterThatIsCutOffKeepsItsBackupUntilTheVerdict has the primary report its
// backups as failed as soon as it is cut off.
func TestRouterThatIsCutOffKeepsItsBackupUntilTheVerdict(t *testing.T) {
	o := newOffice(t, "a", "b", "c")
	report := Report{Unreachable: []state.RouterID{"b", "c"}}
	backups := make(map[int]state.RouterID)
	for _, placed := range o.state.Partitions() {
		if placed.Primary == "a" {
			report.Failed = append(report.Failed, PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch})
			backups[placed.Number] = placed.Backup
		}
	}
	o.reports["a"] = report
	for end := o.now + time.Second; o.now < end && len(backups) > 0; {
		o.run(tick)
		for number, backup := range backups {
			placed, _ := o.state.Partition(number)
			if placed.Primary == "a" && placed.Backup == backup {
				continue
			}
			delete(backups, number)
			if placed.Primary != backup || placed.LostBefore != 0 {
				t.Errorf("partition %+v did not go to its backup %s", placed, backup)
			}
		}
	}
	if len(backups) > 0 {
		t.Errorf("partitions stayed on the router that is cut off: %v", backups)
	}
}

// TestRouterThatMissesDeadOnesIsNotCutOff ends two of three routers. The last one
// reports both while they still have sessions; every partition that it holds a
// copy of keeps its records.
func TestRouterThatMissesDeadOnesIsNotCutOff(t *testing.T) {
	o := newOffice(t, "a", "b", "c")
	held := make(map[int]bool)
	for _, placed := range o.state.Partitions() {
		held[placed.Number] = placed.Primary == "a" || placed.Backup == "a"
	}
	delete(o.reports, "b")
	delete(o.reports, "c")
	o.run(tick)
	o.reports["a"] = Report{Unreachable: []state.RouterID{"b", "c"}}
	o.run(testLease + lastCopyWait + time.Second)
	for _, placed := range o.state.Partitions() {
		if lost := placed.LostBefore != 0; placed.Primary != "a" || lost == held[placed.Number] {
			t.Errorf("partition %+v, a copy was on the last router: %t", placed, held[placed.Number])
		}
	}
}

// TestFlappingReportsAreBounded has two routers report the third on and off, and
// counts moves: at most one of each partition in each rest, and nothing lost.
func TestFlappingReportsAreBounded(t *testing.T) {
	const flap, rests = time.Second, 3
	o := newOffice(t, "a", "b", "c")
	moves := 0
	primaries := make(map[int]state.RouterID)
	for _, placed := range o.state.Partitions() {
		primaries[placed.Number] = placed.Primary
	}
	blamed := []state.RouterID{"a", "b", "c"}
	for round := range int(rests * cutOffCooldown / flap) {
		target := blamed[round%len(blamed)]
		for id := range o.reports {
			o.reports[id] = Report{}
			if id != target && round%2 == 0 {
				o.reports[id] = Report{Unreachable: []state.RouterID{target}}
			}
		}
		o.run(flap)
		for _, placed := range o.state.Partitions() {
			if placed.Primary != primaries[placed.Number] {
				primaries[placed.Number] = placed.Primary
				moves++
			}
			if placed.LostBefore != 0 || placed.Primary == "" {
				t.Fatalf("partition %+v", placed)
			}
		}
	}
	if most := (rests + 1) * len(primaries); moves == 0 || moves > most {
		t.Errorf("%d moves, at most %d are due", moves, most)
	}
}

func TestReachTellsSilenceFromPauses(t *testing.T) {
	reach, now := NewReachability(), time.Second
	look := func(count int, answering ...state.RouterID) {
		for range count {
			now += ProbeInterval
			reach.BeginRound(now, []state.RouterID{"a", "b"})
			for _, router := range answering {
				reach.MarkAnswered(router, now)
			}
		}
	}
	look(5, "a", "b")
	look(3, "a")
	if silent := reach.Unreachable(now); len(silent) > 0 {
		t.Errorf("reported %v too early", silent)
	}
	look(2, "a")
	if silent := reach.Unreachable(now); !slices.Equal(silent, []state.RouterID{"b"}) || reach.Isolated(now) {
		t.Errorf("reported %v, alone %t", silent, reach.Isolated(now))
	}
	look(3)
	if !reach.Isolated(now) {
		t.Error("a router that no other answers is alone")
	}
	now += time.Minute
	look(1)
	if silent := reach.Unreachable(now); len(silent) > 0 {
		t.Errorf("reported %v after a pause of its own", silent)
	}
	reach.MarkAnswered("stranger", now)
	many := make([]state.RouterID, 0, 2*MaxProbed)
	for number := range 2 * MaxProbed {
		many = append(many, state.RouterID(fmt.Sprint(number)))
	}
	if probed := reach.BeginRound(now, many); len(probed) != MaxProbed || len(reach.lastAnswered) != MaxProbed {
		t.Errorf("%d routers probed, %d kept", len(probed), len(reach.lastAnswered))
	}
}

// TestMoveForBalanceLeavesAWholeCopyInReach guards against keys that nobody serves: a role moves for
// balance, and the primary is cut off before its new backup has the records. The copy of the old
// backup is given up with the move, so that nobody else has them.
func TestMoveForBalanceLeavesAWholeCopyInReach(t *testing.T) {
	const reported = 400 * time.Millisecond
	o := newOffice(t, "a", "b", "c")
	o.reports["d"] = Report{}
	var moving state.RecordPartition
	for end := o.now + 5*time.Second; moving.Primary == "" && o.now < end; {
		o.run(tick)
		for _, placed := range o.state.Partitions() {
			if !placed.BackupSynced {
				moving = placed
			}
		}
	}
	if moving.Primary == "" {
		t.Fatal("no role moved to the router that joined")
	}
	o.cut = map[state.RouterID]bool{moving.Primary: true}
	o.run(reported)
	var others []state.RouterID
	for id := range o.reports {
		if id != moving.Primary {
			others = append(others, id)
			o.reports[id] = Report{Unreachable: []state.RouterID{moving.Primary}}
		}
	}
	o.reports[moving.Primary] = Report{Unreachable: others}
	o.run(2 * time.Second)
	for _, placed := range o.state.Partitions() {
		if placed.Primary == moving.Primary {
			t.Errorf("partition %d stays at %s, which is cut off; its backup %s has the records: %v", placed.Number, placed.Primary, placed.Backup, placed.BackupSynced)
		}
	}
}

// TestLeavingPrimaryLeavesAWholeCopyInReach guards against keys that nobody serves: a primary that leaves
// hands over to its backup, which is cut off before its own backup has the records. The copy of the
// router that leaves is given up with the move, so that nobody else has them.
func TestLeavingPrimaryLeavesAWholeCopyInReach(t *testing.T) {
	const reported = 400 * time.Millisecond
	o := newOffice(t, "a", "b", "c")
	earlier := make(map[int]bool)
	for _, placed := range o.state.Partitions() {
		earlier[placed.Number] = placed.Primary == "a"
	}
	o.reports["a"] = Report{Leaving: true}
	var moving state.RecordPartition
	for end := o.now + 5*time.Second; moving.Primary == "" && o.now < end; {
		o.run(tick)
		for _, placed := range o.state.Partitions() {
			if earlier[placed.Number] && placed.Primary != "a" && !placed.BackupSynced {
				moving = placed
			}
		}
	}
	if moving.Primary == "" {
		t.Fatal("no partition left the router that leaves")
	}
	o.cut = map[state.RouterID]bool{moving.Primary: true}
	o.run(reported)
	var others []state.RouterID
	for id, report := range o.reports {
		if id != moving.Primary {
			others = append(others, id)
			report.Unreachable = []state.RouterID{moving.Primary}
			o.reports[id] = report
		}
	}
	o.reports[moving.Primary] = Report{Unreachable: others}
	o.run(2 * time.Second)
	for _, placed := range o.state.Partitions() {
		if placed.Primary == moving.Primary {
			t.Errorf("partition %d stays at %s, which is cut off; its backup %s has the records: %v", placed.Number, placed.Primary, placed.Backup, placed.BackupSynced)
		}
	}
}
