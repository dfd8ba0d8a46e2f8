package quarantine

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func newTestGuard() *Guard { return NewGuard("g", 3) }

func crashAt(g *Guard, now time.Duration, ids ...directory.InstanceID) {
	for _, id := range ids {
		g.Crashed(now, []Loss{{Fingerprint: 1, Path: 7, Service: "s", Instance: id, Began: now - 10*time.Millisecond, Ended: now}})
	}
}

// TestGatewayWithoutLeaderGoesByWhatItSaw: after enough crashes that it saw itself it sends a request
// no more, as long as that comes; with a leader only the directory counts.
func TestGatewayWithoutLeaderGoesByWhatItSaw(t *testing.T) {
	g := newTestGuard()
	crashAt(g, time.Second, "a", "b", "b")
	if got := g.Check(time.Hour, 1); got != Send {
		t.Errorf("after two crashes: verdict %d", got)
	}
	crashAt(g, 2*time.Second, "c")
	if got := g.Check(2*time.Second, 1); got != Send {
		t.Errorf("before an answer could clear it: verdict %d", got)
	}
	now := 2*time.Second + grace
	for range 100 {
		if got := g.Check(now, 1); got != Reject {
			t.Fatalf("after three crashes, at %s: verdict %d", now, got)
		}
		g.Rejected(now, 1)
		now += ownTime / 2
	}
	g.SetSuspects(now, []directory.Suspect{{Fingerprint: 1, Path: 7}})
	if got := g.Check(now, 1); got != Reject {
		t.Errorf("the directory has it by other crashes, and no leader hears of these: verdict %d", got)
	}
	report, _ := g.Report(now)
	g.Acknowledge(report.Number)
	if got := g.Check(now, 1); got != Send {
		t.Errorf("the leader heard of all and does not put it in quarantine: verdict %d", got)
	}
	g.SetSuspects(now, nil)
	if !g.Idle() {
		t.Error("suspected though the leader no longer does")
	}
}

// TestAnswerClearsOwnSuspects: also at a gateway without a leader.
func TestAnswerClearsOwnSuspects(t *testing.T) {
	g := newTestGuard()
	crashAt(g, time.Second, "a", "b", "c")
	if !g.Answered(time.Second, 1) || g.Answered(time.Second, 1) {
		t.Error("an answer of a suspected request is to be told once")
	}
	if got := g.Check(time.Minute, 1); got != Send || !g.Idle() {
		t.Errorf("verdict %d, idle %t", got, g.Idle())
	}
}

// TestCrashesAreToldUntilHeard: and again to the next leader.
func TestCrashesAreToldUntilHeard(t *testing.T) {
	g := newTestGuard()
	crashAt(g, time.Second, "a")
	first, found := g.Report(time.Second)
	if !found || len(first.Crashes) != 1 || first.Crashes[0].TookMs != 10 {
		t.Fatalf("first report %+v", first)
	}
	if again, found := g.Report(time.Second + retellPause/2); found {
		t.Errorf("told again before the leader could answer: %+v", again)
	}
	second, found := g.Report(time.Second + retellPause)
	if !found || second.Number <= first.Number || second.Crashes[0].EndedAgoMs != 1000 {
		t.Fatalf("second report %+v", second)
	}
	if !g.Suspected(1) {
		t.Error("a crash that no leader heard of is forgotten")
	}
	g.Acknowledge(second.Number)
	if g.Suspected(1) {
		t.Error("a crash that the leader heard of still counts here")
	}
	if again, found := g.Report(time.Second + 10*retellPause); found {
		t.Errorf("told again though it was heard: %+v", again)
	}
	g.Connected()
	if next, found := g.Report(2*time.Second + 10*retellPause); !found || len(next.Crashes) != 1 {
		t.Errorf("to the next leader: %+v", next)
	}
}

// TestTrialIsUsedOnce: by the gateway that was named, and given back if nothing was reached.
func TestTrialIsUsedOnce(t *testing.T) {
	g := newTestGuard()
	g.SetSuspects(0, []directory.Suspect{{Fingerprint: 1, Path: 7, Quarantined: true, Trials: 1, TrialBy: "other"}})
	if got := g.Check(0, 1); got != Reject || g.TakeTrial(0, 1) {
		t.Errorf("another gateway was named: verdict %d", got)
	}
	mine := []directory.Suspect{{Fingerprint: 1, Path: 7, Quarantined: true, Trials: 1, TrialBy: "g"}}
	g.SetSuspects(0, mine)
	if !g.TakeTrial(0, 1) || g.TakeTrial(0, 1) {
		t.Error("a trial is one request")
	}
	g.ReturnTrial(1)
	if !g.TakeTrial(0, 1) {
		t.Error("a trial that reached nothing was not given back")
	}
	g.SetSuspects(time.Second, mine)
	if g.Check(time.Second, 1) != Reject {
		t.Error("the same trial was granted again by another change")
	}
}

// TestGuardIsBounded: however many requests are near crashes that no leader hears of.
func TestGuardIsBounded(t *testing.T) {
	g := newTestGuard()
	for number := range 10000 {
		g.Crashed(time.Second, []Loss{{Fingerprint: directory.Fingerprint(number), Path: directory.PathHash(number), Instance: "a", Ended: time.Second}})
	}
	if len(g.own) > mostOwn || len(g.told) > mostTold || len(g.paths) > mostOwn {
		t.Errorf("%d suspects, %d things to tell, %d paths", len(g.own), len(g.told), len(g.paths))
	}
	g.Report(time.Hour)
	g.SetSuspects(time.Hour, nil)
	if !g.Idle() || len(g.told) != 0 {
		t.Errorf("an hour later: idle %t, %d things to tell", g.Idle(), len(g.told))
	}
}
