package record

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const tick = 20 * time.Millisecond

// placementHarness runs the placement of a leading controller with routers that ping.
type placementHarness struct {
	t         *testing.T
	now       time.Duration
	state     *state.State
	index     uint64
	placement *Placement
	reports   map[state.RouterID]Report
	closed    []state.RouterID
	// incarnation is the incarnation of all routers.
	incarnation string
	// syncBlocked holds the routers whose backups do not receive their records.
	syncBlocked map[state.RouterID]bool
}

func newPlacementHarness(t *testing.T, routers ...state.RouterID) *placementHarness {
	t.Helper()
	h := &placementHarness{t: t, now: time.Second, state: state.New(), reports: make(map[state.RouterID]Report), incarnation: "first"}
	h.placement = NewPlacement(PlacementSettings{Count: 8, LeaseDuration: testLease, ClockRateBound: testRate, Margin: tick})
	h.placement.Lead(h.now)
	for _, id := range routers {
		h.reports[id] = Report{}
	}
	h.run(3 * time.Second)
	return h
}

// run advances the time. The routers in reports ping, and their backups are synced at
// once unless syncBlocked.
func (h *placementHarness) run(duration time.Duration) {
	for end := h.now + duration; h.now < end; h.now += tick {
		for id, report := range h.reports {
			for _, placed := range h.state.Partitions() {
				if placed.Primary == id && placed.Backup != "" && !h.syncBlocked[id] {
					report.Synced = append(report.Synced, PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch})
				}
			}
			report.Revision = h.state.Revision()
			process := state.Router{ID: id, PeerAddress: "peer", Session: state.Session{Incarnation: h.incarnation}}
			h.placement.HandlePing(h.now, process, report, h.state)
		}
		h.tickOnce()
	}
}

func (h *placementHarness) tickOnce() {
	for _, command := range h.placement.Tick(Moment{Now: h.now, UnixMs: startMs + h.now.Milliseconds()}, h.state) {
		h.index++
		if result := h.state.Apply(h.index, command); result.Err != nil {
			h.t.Errorf("command rejected: %v", result.Err)
		}
		if command.CloseRouter != nil {
			h.closed = append(h.closed, command.CloseRouter.Router)
		}
	}
}

// check compares the partitions with the expected state.
func (h *placementHarness) check(what string, backups, lost bool) {
	h.t.Helper()
	primaries := make(map[state.RouterID]int)
	for _, placed := range h.state.Partitions() {
		primaries[placed.Primary]++
		if placed.Primary == placed.Backup {
			h.t.Errorf("%s: partition %d has both copies on %s", what, placed.Number, placed.Primary)
		}
		if placed.BackupSynced != backups || (placed.LostBefore > 0) != lost {
			h.t.Errorf("%s: partition %+v", what, placed)
		}
	}
	for id := range h.reports {
		share := len(h.state.Partitions()) / len(h.reports)
		if primaries[id] < share || primaries[id] > share+imbalanceThreshold {
			h.t.Errorf("%s: %s is the primary of %d partitions", what, id, primaries[id])
		}
	}
}

func TestRoutersComeAndGoOneByOneWithoutLoss(t *testing.T) {
	h := newPlacementHarness(t, "a", "b", "c")
	h.check("three routers", true, false)
	delete(h.reports, "b")
	h.run(testLease + time.Second)
	h.check("a router lost", true, false)
	h.reports["d"] = Report{}
	h.run(2 * time.Second)
	h.check("a router added", true, false)
	h.reports["a"] = Report{Leaving: true}
	h.run(2 * time.Second)
	if len(h.closed) != 1 {
		t.Fatalf("closed %v before the leaving router stopped", h.closed)
	}
	for _, placed := range h.state.Partitions() {
		if placed.Primary == "a" || placed.Backup == "a" {
			t.Errorf("partition %d is still on the leaving router", placed.Number)
		}
	}
	h.reports["a"] = Report{Stopped: true}
	h.run(2 * tick)
	delete(h.reports, "a")
	if len(h.closed) != 2 {
		t.Errorf("closed %v: the session of a stopped router must be closed without waiting for its lease", h.closed)
	}
	h.run(time.Second)
	h.check("a router stopped as planned", true, false)
	delete(h.reports, "c")
	h.run(testLease + time.Second)
	h.check("one router left", false, false)
}

func TestSessionsOfLiveRoutersOutliveFaultsOfTheController(t *testing.T) {
	cases := map[string]func(h *placementHarness){
		"a new leader that no router has found yet": func(h *placementHarness) {
			h.placement.Lead(h.now)
			for end := h.now + 3*testLease + lastCopyWait; h.now < end; h.now += tick {
				h.tickOnce()
			}
		},
		"a new leader that one router found first": func(h *placementHarness) {
			h.placement.Lead(h.now)
			delete(h.reports, "b")
			h.run(testLease + reconnectWait/2)
			h.reports["b"] = Report{}
		},
		"a pause of the controller": func(h *placementHarness) {
			h.now += 3 * testLease
			delete(h.reports, "b")
			h.run(testLease / 2)
			h.reports["b"] = Report{}
		},
		"both copies silent for longer than a lease": func(h *placementHarness) {
			delete(h.reports, "a")
			delete(h.reports, "b")
			h.reports["c"] = Report{}
			h.run(testLease + lastCopyWait/2)
			h.reports["a"], h.reports["b"] = Report{}, Report{}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			h := newPlacementHarness(t, "a", "b")
			fault(h)
			h.run(2 * time.Second)
			if len(h.closed) > 0 {
				t.Errorf("closed the sessions of %v", h.closed)
			}
		})
	}
}

func TestRestartedRoutersAreNotWaitedForTwice(t *testing.T) {
	h := newPlacementHarness(t, "a", "b")
	h.incarnation = "second"
	h.run(testLease + time.Second)
	if len(h.closed) != 2 {
		t.Fatalf("closed %v", h.closed)
	}
	h.check("all routers restarted", true, true)
}

func TestBothCopiesLostStartsAnew(t *testing.T) {
	h := newPlacementHarness(t, "a", "b")
	delete(h.reports, "a")
	delete(h.reports, "b")
	h.reports["c"], h.reports["d"] = Report{}, Report{}
	h.run(testLease + lastCopyWait + 2*time.Second)
	h.check("both copies lost", true, true)
	for _, placed := range h.state.Partitions() {
		if placed.LostBefore > startMs+(h.now+lossSkew).Milliseconds() {
			t.Errorf("keys up to %d count as lost", placed.LostBefore)
		}
	}
}

// TestFailedBackupMovesNoOtherCopy ends two of three routers. The last one reports the
// backups on one of them as failed at once, which makes the numbers of backups uneven.
// No other partition may get a new backup to even them out, because that backup may be
// dead too.
func TestFailedBackupMovesNoOtherCopy(t *testing.T) {
	for _, dead := range []state.RouterID{"b", "c"} {
		h := newPlacementHarness(t, "a", "b", "c")
		held := make(map[int]bool)
		var failed []PartitionEpoch
		for _, placed := range h.state.Partitions() {
			held[placed.Number] = placed.Primary == "a" || placed.Backup == "a"
			if placed.Primary == "a" && placed.Backup == dead {
				failed = append(failed, PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch})
			}
		}
		delete(h.reports, "b")
		delete(h.reports, "c")
		h.reports["a"] = Report{Failed: failed}
		h.run(testLease + lastCopyWait + time.Second)
		for _, placed := range h.state.Partitions() {
			if lost := placed.LostBefore != 0; placed.Primary != "a" || lost == held[placed.Number] {
				t.Errorf("%d backups on %s failed: partition %+v, a copy was on the last router: %t", len(failed), dead, placed, held[placed.Number])
			}
		}
	}
}
