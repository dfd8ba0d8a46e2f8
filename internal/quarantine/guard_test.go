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

// TestGatewayWithoutLeaderGoesByWhatItSaw: without a leader, a gateway puts a request in quarantine after
// enough crashes that it detected itself, and keeps it there while the request is received again. Once the
// leader has acknowledged the crashes only the directory counts.
func TestGatewayWithoutLeaderGoesByWhatItSaw(t *testing.T) {
	g := newTestGuard()
	crashAt(g, time.Second, "a", "b", "b")
	if got := g.Check(time.Hour, 1, noAsk); got != Send {
		t.Errorf("after two crashes: verdict %d", got)
	}
	crashAt(g, 2*time.Second, "c")
	if got := g.Check(2*time.Second, 1, noAsk); got != Send {
		t.Errorf("within the grace period: verdict %d", got)
	}
	now := 2*time.Second + gracePeriod
	for range 100 {
		if got := g.Check(now, 1, noAsk); got != Reject {
			t.Fatalf("after three crashes, at %s: verdict %d", now, got)
		}
		g.Rejected(now, 1)
		now += localSuspectTime / 2
	}
	g.SetSuspects(now, []directory.Suspect{{Fingerprint: 1, Path: 7}})
	if got := g.Check(now, 1, noAsk); got != Reject {
		t.Errorf("suspected in the directory because of other crashes, own crashes not acknowledged: verdict %d", got)
	}
	report, _ := g.Report(now)
	g.Acknowledge(report.Number)
	if got := g.Check(now, 1, noAsk); got != Send {
		t.Errorf("the leader acknowledged all crashes without a quarantine: verdict %d", got)
	}
	g.SetSuspects(now, nil)
	if !g.Idle() {
		t.Error("still suspected after the leader removed the suspect")
	}
}

// TestAnswerClearsOwnSuspects: an answer clears a local suspect without a leader, too, and is reported once.
func TestAnswerClearsOwnSuspects(t *testing.T) {
	g := newTestGuard()
	crashAt(g, time.Second, "a", "b", "c")
	if !g.Answered(time.Second, 1) || g.Answered(time.Second, 1) {
		t.Error("an answer to a suspected request must be reported once")
	}
	if got := g.Check(time.Minute, 1, noAsk); got != Send || !g.Idle() {
		t.Errorf("verdict %d, idle %t", got, g.Idle())
	}
}

// TestCrashesAreToldUntilHeard: a crash is reported until the leader acknowledges it, and again to the next
// leader.
func TestCrashesAreToldUntilHeard(t *testing.T) {
	g := newTestGuard()
	crashAt(g, time.Second, "a")
	first, found := g.Report(time.Second)
	if !found || len(first.Crashes) != 1 || first.Crashes[0].TookMs != 10 {
		t.Fatalf("first report %+v", first)
	}
	if again, found := g.Report(time.Second + reportRetryInterval/2); found {
		t.Errorf("reported again before the leader could acknowledge: %+v", again)
	}
	second, found := g.Report(time.Second + reportRetryInterval)
	if !found || second.Number <= first.Number || second.Crashes[0].EndedAgoMs != 1000 {
		t.Fatalf("second report %+v", second)
	}
	if !g.Suspected(1) {
		t.Error("a crash that no leader acknowledged no longer counts locally")
	}
	g.Acknowledge(second.Number)
	if g.Suspected(1) {
		t.Error("an acknowledged crash still counts locally")
	}
	if again, found := g.Report(time.Second + 10*reportRetryInterval); found {
		t.Errorf("reported again after the acknowledgement: %+v", again)
	}
	g.Connected()
	if next, found := g.Report(2*time.Second + 10*reportRetryInterval); !found || len(next.Crashes) != 1 {
		t.Errorf("report to the next leader: %+v", next)
	}
}

// TestHandedOverRequestIsForgotten: answers to a request whose crash the leader has acknowledged are reported until
// the directory would list it, and not for longer.
func TestHandedOverRequestIsForgotten(t *testing.T) {
	g := newTestGuard()
	crashAt(g, time.Second, "a")
	report, _ := g.Report(time.Second)
	g.Acknowledge(report.Number)
	if g.Suspected(1) || g.Idle() {
		t.Error("the request must be watched, though this process suspects it no more")
	}
	if g.Answered(time.Second+handoverTime+1, 1) {
		t.Error("an answer long after the acknowledgement is reported")
	}
	g.Report(time.Second + handoverTime + 1)
	if !g.Idle() {
		t.Error("the request is still watched")
	}
}

// TestTrialIsUsedOnce: only the gateway named in the directory may use a trial, once; a trial that reached
// no instance can be used again.
func TestTrialIsUsedOnce(t *testing.T) {
	g := newTestGuard()
	g.SetSuspects(0, []directory.Suspect{{Fingerprint: 1, Path: 7, Quarantined: true, Trials: 1, TrialBy: "other"}})
	if got := g.Check(0, 1, noAsk); got != Reject || g.TakeTrial(0, 1, noAsk) {
		t.Errorf("the trial belongs to another gateway: verdict %d", got)
	}
	mine := []directory.Suspect{{Fingerprint: 1, Path: 7, Quarantined: true, Trials: 1, TrialBy: "g"}}
	g.SetSuspects(0, mine)
	if !g.TakeTrial(0, 1, noAsk) || g.TakeTrial(0, 1, noAsk) {
		t.Error("a trial must allow exactly one request")
	}
	g.ReturnTrial(1)
	if !g.TakeTrial(0, 1, noAsk) {
		t.Error("a returned trial cannot be used again")
	}
	g.SetSuspects(time.Second, mine)
	if g.Check(time.Second, 1, noAsk) != Reject {
		t.Error("a later update of the suspects allowed the same trial again")
	}
}

// TestGuardIsBounded: memory stays bounded however many requests are in flight at crashes that no leader
// acknowledges.
func TestGuardIsBounded(t *testing.T) {
	g := newTestGuard()
	for number := range 10000 {
		g.Crashed(time.Second, []Loss{{Fingerprint: directory.Fingerprint(number), Path: directory.PathHash(number), Instance: "a", Ended: time.Second}})
	}
	if len(g.localSuspects) > maxLocalSuspects || len(g.observations) > maxObservations || len(g.suspectedPaths) > maxLocalSuspects {
		t.Errorf("%d suspects, %d observations, %d paths", len(g.localSuspects), len(g.observations), len(g.suspectedPaths))
	}
	g.Report(time.Hour)
	g.SetSuspects(time.Hour, nil)
	if !g.Idle() || len(g.observations) != 0 {
		t.Errorf("an hour later: idle %t, %d observations", g.Idle(), len(g.observations))
	}
}
