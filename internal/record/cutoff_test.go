package record

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// epochs returns the sum of the partitions' epochs, which rises with each change.
func (h *placementHarness) epochs() int {
	sum := 0
	for _, placed := range h.state.Partitions() {
		sum += int(placed.Epoch)
	}
	return sum
}

func (h *placementHarness) primaries(id state.RouterID) int {
	count := 0
	for _, placed := range h.state.Partitions() {
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
		// emptied routers have no primaries afterwards; all others have some.
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
			h := newPlacementHarness(t, example.routers...)
			for reporter, unreachable := range example.reports {
				h.reports[reporter] = Report{Unreachable: unreachable}
			}
			before := h.epochs()
			h.run(cutOffDelay - 2*tick)
			if h.epochs() != before {
				t.Error("a partition moved before cutOffDelay")
			}
			h.run(time.Second)
			for _, id := range example.routers {
				if empty := h.primaries(id) == 0; empty != slices.Contains(example.emptied, id) {
					t.Errorf("%s is the primary of %d partitions", id, h.primaries(id))
				}
			}
			if len(example.emptied) == 0 && h.epochs() != before {
				t.Error("a partition moved")
			}
			for _, placed := range h.state.Partitions() {
				if placed.LostBefore != 0 || (len(example.routers) > 2 && !placed.BackupSynced) {
					t.Errorf("partition %+v", placed)
				}
			}
			h.reports = map[state.RouterID]Report{}
			for _, id := range example.routers {
				h.reports[id] = Report{}
			}
			h.run(cutOffCooldown + 2*time.Second)
			h.check("healed", true, false)
		})
	}
}

// TestRouterThatIsCutOffKeepsItsBackupUntilTheVerdict has a primary report its backups as
// failed as soon as it is cut off. Its partitions must move to those backups.
func TestRouterThatIsCutOffKeepsItsBackupUntilTheVerdict(t *testing.T) {
	h := newPlacementHarness(t, "a", "b", "c")
	report := Report{Unreachable: []state.RouterID{"b", "c"}}
	backups := make(map[int]state.RouterID)
	for _, placed := range h.state.Partitions() {
		if placed.Primary == "a" {
			report.Failed = append(report.Failed, PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch})
			backups[placed.Number] = placed.Backup
		}
	}
	h.reports["a"] = report
	for end := h.now + time.Second; h.now < end && len(backups) > 0; {
		h.run(tick)
		for number, backup := range backups {
			placed, _ := h.state.Partition(number)
			if placed.Primary == "a" && placed.Backup == backup {
				continue
			}
			delete(backups, number)
			if placed.Primary != backup || placed.LostBefore != 0 {
				t.Errorf("partition %+v did not move to its backup %s", placed, backup)
			}
		}
	}
	if len(backups) > 0 {
		t.Errorf("partitions stayed on the cut-off router: %v", backups)
	}
}

// TestRouterThatMissesDeadOnesIsNotCutOff ends two of three routers. The last one reports
// both as unreachable while they still have sessions. It must not count as cut off, and
// every partition of which it holds a copy must keep its records.
func TestRouterThatMissesDeadOnesIsNotCutOff(t *testing.T) {
	h := newPlacementHarness(t, "a", "b", "c")
	held := make(map[int]bool)
	for _, placed := range h.state.Partitions() {
		held[placed.Number] = placed.Primary == "a" || placed.Backup == "a"
	}
	delete(h.reports, "b")
	delete(h.reports, "c")
	h.run(tick)
	h.reports["a"] = Report{Unreachable: []state.RouterID{"b", "c"}}
	h.run(testLease + lastCopyWait + time.Second)
	for _, placed := range h.state.Partitions() {
		if lost := placed.LostBefore != 0; placed.Primary != "a" || lost == held[placed.Number] {
			t.Errorf("partition %+v, a copy was on the last router: %t", placed, held[placed.Number])
		}
	}
}

// TestFlappingReportsAreBounded lets reports against a router come and go and counts the
// moves: at most one of each partition per cooldown, and no records are lost.
func TestFlappingReportsAreBounded(t *testing.T) {
	const flapInterval, cooldowns = time.Second, 3
	h := newPlacementHarness(t, "a", "b", "c")
	moves := 0
	primaries := make(map[int]state.RouterID)
	for _, placed := range h.state.Partitions() {
		primaries[placed.Number] = placed.Primary
	}
	blamed := []state.RouterID{"a", "b", "c"}
	for round := range int(cooldowns * cutOffCooldown / flapInterval) {
		target := blamed[round%len(blamed)]
		for id := range h.reports {
			h.reports[id] = Report{}
			if id != target && round%2 == 0 {
				h.reports[id] = Report{Unreachable: []state.RouterID{target}}
			}
		}
		h.run(flapInterval)
		for _, placed := range h.state.Partitions() {
			if placed.Primary != primaries[placed.Number] {
				primaries[placed.Number] = placed.Primary
				moves++
			}
			if placed.LostBefore != 0 || placed.Primary == "" {
				t.Fatalf("partition %+v", placed)
			}
		}
	}
	if most := (cooldowns + 1) * len(primaries); moves == 0 || moves > most {
		t.Errorf("%d moves, want at least 1 and at most %d", moves, most)
	}
}

func TestReachTellsSilenceFromPauses(t *testing.T) {
	reach, now := NewReachability(), time.Second
	probeRounds := func(count int, answering ...state.RouterID) {
		for range count {
			now += ProbeInterval
			reach.BeginRound(now, []state.RouterID{"a", "b"})
			for _, router := range answering {
				reach.MarkAnswered(router, now)
			}
		}
	}
	probeRounds(5, "a", "b")
	probeRounds(3, "a")
	if unreachable := reach.Unreachable(now); len(unreachable) > 0 {
		t.Errorf("reported %v too early", unreachable)
	}
	probeRounds(2, "a")
	if unreachable := reach.Unreachable(now); !slices.Equal(unreachable, []state.RouterID{"b"}) || reach.Isolated(now) {
		t.Errorf("reported %v, isolated %t", unreachable, reach.Isolated(now))
	}
	probeRounds(3)
	if !reach.Isolated(now) {
		t.Error("a router that no other router answers does not count as isolated")
	}
	now += time.Minute
	probeRounds(1)
	if unreachable := reach.Unreachable(now); len(unreachable) > 0 {
		t.Errorf("reported %v after a pause of this process", unreachable)
	}
	reach.MarkAnswered("stranger", now)
	many := make([]state.RouterID, 0, 2*MaxProbed)
	for number := range 2 * MaxProbed {
		many = append(many, state.RouterID(fmt.Sprint(number)))
	}
	if probed := reach.BeginRound(now, many); len(probed) != MaxProbed || len(reach.lastAnswered) != MaxProbed {
		t.Errorf("%d routers probed, %d tracked", len(probed), len(reach.lastAnswered))
	}
}

// TestMoveForBalanceLeavesAWholeCopyInReach guards against keys that nobody can serve: a role
// moves for balance, and the primary is cut off before its new backup has the records. If the old
// backup's copy were given up with the move, no other router would have them.
func TestMoveForBalanceLeavesAWholeCopyInReach(t *testing.T) {
	const reportDelay = 400 * time.Millisecond
	h := newPlacementHarness(t, "a", "b", "c")
	h.reports["d"] = Report{}
	var moving state.RecordPartition
	for end := h.now + 5*time.Second; moving.Primary == "" && h.now < end; {
		h.run(tick)
		for _, placed := range h.state.Partitions() {
			if !placed.BackupSynced {
				moving = placed
			}
		}
	}
	if moving.Primary == "" {
		t.Fatal("no role moved to the router that joined")
	}
	h.syncBlocked = map[state.RouterID]bool{moving.Primary: true}
	h.run(reportDelay)
	var others []state.RouterID
	for id := range h.reports {
		if id != moving.Primary {
			others = append(others, id)
			h.reports[id] = Report{Unreachable: []state.RouterID{moving.Primary}}
		}
	}
	h.reports[moving.Primary] = Report{Unreachable: others}
	h.run(2 * time.Second)
	for _, placed := range h.state.Partitions() {
		if placed.Primary == moving.Primary {
			t.Errorf("partition %d stays at %s, which is cut off; its backup %s has the records: %v", placed.Number, placed.Primary, placed.Backup, placed.BackupSynced)
		}
	}
}

// TestLeavingPrimaryLeavesAWholeCopyInReach guards against keys that nobody can serve: a leaving
// primary hands over to its backup, which is cut off before its own backup has the records. If the
// leaving router's copy were given up with the move, no other router would have them.
func TestLeavingPrimaryLeavesAWholeCopyInReach(t *testing.T) {
	const reportDelay = 400 * time.Millisecond
	h := newPlacementHarness(t, "a", "b", "c")
	placedOnA := make(map[int]bool)
	for _, placed := range h.state.Partitions() {
		placedOnA[placed.Number] = placed.Primary == "a"
	}
	h.reports["a"] = Report{Leaving: true}
	var moving state.RecordPartition
	for end := h.now + 5*time.Second; moving.Primary == "" && h.now < end; {
		h.run(tick)
		for _, placed := range h.state.Partitions() {
			if placedOnA[placed.Number] && placed.Primary != "a" && !placed.BackupSynced {
				moving = placed
			}
		}
	}
	if moving.Primary == "" {
		t.Fatal("no partition moved from the leaving router")
	}
	h.syncBlocked = map[state.RouterID]bool{moving.Primary: true}
	h.run(reportDelay)
	var others []state.RouterID
	for id, report := range h.reports {
		if id != moving.Primary {
			others = append(others, id)
			report.Unreachable = []state.RouterID{moving.Primary}
			h.reports[id] = report
		}
	}
	h.reports[moving.Primary] = Report{Unreachable: others}
	h.run(2 * time.Second)
	for _, placed := range h.state.Partitions() {
		if placed.Primary == moving.Primary {
			t.Errorf("partition %d stays at %s, which is cut off; its backup %s has the records: %v", placed.Number, placed.Primary, placed.Backup, placed.BackupSynced)
		}
	}
}
