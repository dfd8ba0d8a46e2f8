package record

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const tick = 20 * time.Millisecond

// office is a leading controller's placement with routers that ping.
type office struct {
	t         *testing.T
	now       time.Duration
	state     *state.State
	index     uint64
	placement *Placement
	reports   map[state.RouterID]Report
	closed    []state.RouterID
	// incarnation is that of all routers.
	incarnation string
	// cut are routers whose backups do not get their records.
	cut map[state.RouterID]bool
}

func newOffice(t *testing.T, routers ...state.RouterID) *office {
	t.Helper()
	o := &office{t: t, now: time.Second, state: state.New(), reports: make(map[state.RouterID]Report), incarnation: "first"}
	o.placement = NewPlacement(PlacementSettings{Count: 8, LeaseDuration: testLease, ClockRateBound: testRate, Margin: tick})
	o.placement.Lead(o.now)
	for _, id := range routers {
		o.reports[id] = Report{}
	}
	o.run(3 * time.Second)
	return o
}

// run lets time pass; the routers in reports ping, and their backups are synced
// at once.
func (o *office) run(duration time.Duration) {
	for end := o.now + duration; o.now < end; o.now += tick {
		for id, report := range o.reports {
			for _, placed := range o.state.Partitions() {
				if placed.Primary == id && placed.Backup != "" && !o.cut[id] {
					report.Synced = append(report.Synced, PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch})
				}
			}
			report.Revision = o.state.Revision()
			process := state.Router{ID: id, PeerAddress: "peer", Session: state.Session{Incarnation: o.incarnation}}
			o.placement.HandlePing(o.now, process, report, o.state)
		}
		o.look()
	}
}

func (o *office) look() {
	for _, command := range o.placement.Tick(Moment{Now: o.now, UnixMs: startMs + o.now.Milliseconds()}, o.state) {
		o.index++
		if result := o.state.Apply(o.index, command); result.Err != nil {
			o.t.Errorf("command refused: %v", result.Err)
		}
		if command.CloseRouter != nil {
			o.closed = append(o.closed, command.CloseRouter.Router)
		}
	}
}

// check compares the partitions with how they should be.
func (o *office) check(what string, backups, lost bool) {
	o.t.Helper()
	primaries := make(map[state.RouterID]int)
	for _, placed := range o.state.Partitions() {
		primaries[placed.Primary]++
		if placed.Primary == placed.Backup {
			o.t.Errorf("%s: partition %d has both copies on %s", what, placed.Number, placed.Primary)
		}
		if placed.BackupSynced != backups || (placed.LostBefore > 0) != lost {
			o.t.Errorf("%s: partition %+v", what, placed)
		}
	}
	for id := range o.reports {
		share := len(o.state.Partitions()) / len(o.reports)
		if primaries[id] < share || primaries[id] > share+imbalanceThreshold {
			o.t.Errorf("%s: %s is the primary of %d partitions", what, id, primaries[id])
		}
	}
}

func TestRoutersComeAndGoOneByOneWithoutLoss(t *testing.T) {
	o := newOffice(t, "a", "b", "c")
	o.check("three routers", true, false)
	delete(o.reports, "b")
	o.run(testLease + time.Second)
	o.check("a router lost", true, false)
	o.reports["d"] = Report{}
	o.run(2 * time.Second)
	o.check("a router added", true, false)
	o.reports["a"] = Report{Leaving: true}
	o.run(2 * time.Second)
	if len(o.closed) != 1 {
		t.Fatalf("closed %v before the leaving router stopped", o.closed)
	}
	for _, placed := range o.state.Partitions() {
		if placed.Primary == "a" || placed.Backup == "a" {
			t.Errorf("partition %d is still on the leaving router", placed.Number)
		}
	}
	o.reports["a"] = Report{Stopped: true}
	o.run(2 * tick)
	delete(o.reports, "a")
	if len(o.closed) != 2 {
		t.Errorf("closed %v: the router that stopped must not be waited out", o.closed)
	}
	o.run(time.Second)
	o.check("a router stopped as planned", true, false)
	delete(o.reports, "c")
	o.run(testLease + time.Second)
	o.check("one router left", false, false)
}

func TestSessionsOfLiveRoutersOutliveFaultsOfTheController(t *testing.T) {
	cases := map[string]func(o *office){
		"a new leader that no router has found yet": func(o *office) {
			o.placement.Lead(o.now)
			for end := o.now + 3*testLease + lastCopyWait; o.now < end; o.now += tick {
				o.look()
			}
		},
		"a new leader that one router found first": func(o *office) {
			o.placement.Lead(o.now)
			delete(o.reports, "b")
			o.run(testLease + reconnectWait/2)
			o.reports["b"] = Report{}
		},
		"a pause of the controller": func(o *office) {
			o.now += 3 * testLease
			delete(o.reports, "b")
			o.run(testLease / 2)
			o.reports["b"] = Report{}
		},
		"both copies silent for longer than a lease": func(o *office) {
			delete(o.reports, "a")
			delete(o.reports, "b")
			o.reports["c"] = Report{}
			o.run(testLease + lastCopyWait/2)
			o.reports["a"], o.reports["b"] = Report{}, Report{}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOffice(t, "a", "b")
			fault(o)
			o.run(2 * time.Second)
			if len(o.closed) > 0 {
				t.Errorf("closed the sessions of %v", o.closed)
			}
		})
	}
}

func TestRestartedRoutersAreNotWaitedForTwice(t *testing.T) {
	o := newOffice(t, "a", "b")
	o.incarnation = "second"
	o.run(testLease + time.Second)
	if len(o.closed) != 2 {
		t.Fatalf("closed %v", o.closed)
	}
	o.check("all routers restarted", true, true)
}

func TestBothCopiesLostStartsAnew(t *testing.T) {
	o := newOffice(t, "a", "b")
	delete(o.reports, "a")
	delete(o.reports, "b")
	o.reports["c"], o.reports["d"] = Report{}, Report{}
	o.run(testLease + lastCopyWait + 2*time.Second)
	o.check("both copies lost", true, true)
	for _, placed := range o.state.Partitions() {
		if placed.LostBefore > startMs+(o.now+lossSkew).Milliseconds() {
			t.Errorf("keys up to %d count as lost", placed.LostBefore)
		}
	}
}

// TestFailedBackupMovesNoOtherCopy ends two of three routers. The last one reports
// the backups on one of them as failed at once, which makes the numbers of backups
// uneven: no other partition may get a new backup for that, which may be dead too.
func TestFailedBackupMovesNoOtherCopy(t *testing.T) {
	for _, dead := range []state.RouterID{"b", "c"} {
		o := newOffice(t, "a", "b", "c")
		held := make(map[int]bool)
		var failed []PartitionEpoch
		for _, placed := range o.state.Partitions() {
			held[placed.Number] = placed.Primary == "a" || placed.Backup == "a"
			if placed.Primary == "a" && placed.Backup == dead {
				failed = append(failed, PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch})
			}
		}
		delete(o.reports, "b")
		delete(o.reports, "c")
		o.reports["a"] = Report{Failed: failed}
		o.run(testLease + lastCopyWait + time.Second)
		for _, placed := range o.state.Partitions() {
			if lost := placed.LostBefore != 0; placed.Primary != "a" || lost == held[placed.Number] {
				t.Errorf("%d backups on %s failed: partition %+v, a copy was on the last router: %t", len(failed), dead, placed, held[placed.Number])
			}
		}
	}
}
