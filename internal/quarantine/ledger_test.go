package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func newTestLedger() *Ledger {
	return NewLedger(Config{Crashes: 3, SuspectTime: 10 * time.Minute, Time: 24 * time.Hour})
}

// crashReport returns the report of a crash 10 ms after the request was sent.
func crashReport(fingerprint directory.Fingerprint, instance string) Report {
	return Report{Crashes: []Crash{{Fingerprint: fingerprint, Path: 7, Service: "s", Instance: directory.InstanceID(instance), TookMs: 10}}}
}

// reportCrashes reports crashes of different instances, a second apart, and returns the time of the last one.
func reportCrashes(l *Ledger, now time.Duration, fingerprint directory.Fingerprint, count int) time.Duration {
	for number := range count {
		now += time.Second
		l.HandleReport(now, "g", crashReport(fingerprint, fmt.Sprintf("%s-%d", fingerprint, number)))
	}
	return now
}

func suspectOf(t *testing.T, l *Ledger, now time.Duration, fingerprint directory.Fingerprint) (directory.Suspect, bool) {
	t.Helper()
	put, _ := l.Decide(now)
	for _, suspect := range put.List {
		if suspect.Fingerprint == fingerprint {
			return suspect, true
		}
	}
	return directory.Suspect{}, false
}

// TestDistinctCrashesCount: a crash counts once, however often and by however many gateways it is reported.
// The third distinct one puts the request in quarantine after the grace period.
func TestDistinctCrashesCount(t *testing.T) {
	l := newTestLedger()
	for range 5 {
		l.HandleReport(time.Second, "g", crashReport(1, "a"))
	}
	l.HandleReport(2*time.Second, "h", crashReport(1, "b"))
	if suspect, found := suspectOf(t, l, 10*time.Second, 1); !found || suspect.Quarantined || len(suspect.Crashes) != 2 {
		t.Fatalf("after two crashes: %+v, found %t", suspect, found)
	}
	const third = 20 * time.Second
	l.HandleReport(third, "i", crashReport(1, "c"))
	if suspect, _ := suspectOf(t, l, third+gracePeriod-time.Millisecond, 1); suspect.Quarantined {
		t.Error("in quarantine before the grace period has passed")
	}
	if suspect, _ := suspectOf(t, l, third+gracePeriod, 1); !suspect.Quarantined || suspect.Doubtful {
		t.Errorf("after three crashes: %+v", suspect)
	}
}

// TestAnswerClears: an answer removes all crashes reported so far, and crashes before it that are reported
// later do not count.
func TestAnswerClears(t *testing.T) {
	l := newTestLedger()
	now := reportCrashes(l, 0, 1, 3)
	l.HandleReport(now, "g", Report{Answered: []Answered{{Fingerprint: 1}}})
	late := crashReport(1, "late")
	late.Crashes[0].EndedAgoMs = 500
	l.HandleReport(now+100*time.Millisecond, "h", late)
	if suspect, found := suspectOf(t, l, now+time.Minute, 1); found {
		t.Errorf("suspected though it was answered: %+v", suspect)
	}
	l.HandleReport(now+2*time.Second, "h", crashReport(1, "later"))
	if _, found := suspectOf(t, l, now+2*time.Second, 1); !found {
		t.Error("a crash after the answer does not count")
	}
}

// TestNextLeaderGoesOn: a new leader continues from the directory and from what gateways report again.
func TestNextLeaderGoesOn(t *testing.T) {
	first := newTestLedger()
	now := reportCrashes(first, 0, 1, 2)
	reportCrashes(first, 0, 2, 3)
	put, _ := first.Decide(now + time.Minute)
	next := newTestLedger()
	next.Adopt(0, directory.Suspects{List: put.List, Revision: 5})
	if _, changed := next.Decide(time.Second); changed {
		t.Error("a new leader changes the adopted suspects")
	}
	next.HandleReport(2*time.Second, "g", crashReport(1, "0000000000000001-1"))
	next.HandleReport(3*time.Second, "g", crashReport(1, "another"))
	if suspect, _ := suspectOf(t, next, 5*time.Second, 1); !suspect.Quarantined || len(suspect.Crashes) != 3 {
		t.Errorf("after two crashes under the first leader and one since: %+v", suspect)
	}
	if suspect, _ := suspectOf(t, next, 23*time.Hour, 2); !suspect.Quarantined {
		t.Error("the quarantine ended with the change of leader")
	}
}

// TestReleasedRequestGoesBackAfterOneCrash: after a release by an operator a single crash puts the request
// back in quarantine, so that a wrong release costs one instance.
func TestReleasedRequestGoesBackAfterOneCrash(t *testing.T) {
	l, d := newTestLedger(), directory.New()
	now := reportCrashes(l, 0, 1, 3) + time.Minute
	put, _ := l.Decide(now)
	if err := d.Apply(1, directory.Command{Suspects: &put}); err != nil {
		t.Fatal(err)
	}
	l.Committed(put)
	fingerprint := directory.Fingerprint(1)
	if err := d.Apply(2, directory.Command{Release: &fingerprint}); err != nil {
		t.Fatal(err)
	}
	stale, _ := l.Decide(now)
	if err := d.Apply(3, directory.Command{Suspects: &stale}); err == nil {
		t.Error("a list computed before the release was applied after it")
	}
	l.Adopt(now, d.Suspects())
	if suspect, found := suspectOf(t, l, now+time.Minute, 1); !found || suspect.Quarantined {
		t.Errorf("after the release: %+v, found %t", suspect, found)
	}
	l.HandleReport(now+2*time.Minute, "g", crashReport(1, "next"))
	if suspect, _ := suspectOf(t, l, now+2*time.Minute+gracePeriod, 1); !suspect.Quarantined {
		t.Errorf("after one more crash: %+v", suspect)
	}
}

// TestDoubtfulRequestIsTried: a request that was in flight at several instances which crashed together may
// be sent once by one gateway. A crash during the trial removes the doubt, an answer ends the quarantine.
func TestDoubtfulRequestIsTried(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		l := newTestLedger()
		for _, id := range []string{"a", "b", "c"} {
			l.HandleReport(time.Second, "g", crashReport(1, id))
		}
		now := time.Second + doubtfulGracePeriod
		if suspect, _ := suspectOf(t, l, now, 1); !suspect.Quarantined || !suspect.Doubtful || suspect.TrialBy != "" {
			t.Fatalf("three crashes at once: %+v", suspect)
		}
		l.HandleReport(now, "h", Report{Rejected: []directory.Fingerprint{1}})
		if suspect, _ := suspectOf(t, l, now, 1); suspect.TrialBy != "h" || suspect.Trials != 1 {
			t.Fatalf("after a rejection: %+v", suspect)
		}
		if !crashes {
			l.HandleReport(now+time.Second, "h", Report{Answered: []Answered{{Fingerprint: 1}}})
			if _, found := suspectOf(t, l, now+time.Second, 1); found {
				t.Error("still in quarantine after the trial was answered")
			}
			continue
		}
		l.HandleReport(now+time.Second, "h", crashReport(1, "d"))
		l.HandleReport(now+time.Hour, "h", Report{Rejected: []directory.Fingerprint{1}})
		if suspect, _ := suspectOf(t, l, now+time.Hour, 1); !suspect.Quarantined || suspect.Doubtful || suspect.TrialBy != "" {
			t.Errorf("after a trial that crashed an instance: %+v", suspect)
		}
	}
}

// TestTrialsAreBounded: the number of trials is limited even if they end without an answer or a crash.
func TestTrialsAreBounded(t *testing.T) {
	l := newTestLedger()
	for _, id := range []string{"a", "b", "c"} {
		l.HandleReport(time.Second, "g", crashReport(1, id))
	}
	trials := 0
	for now := time.Second; now < time.Hour; now += time.Second {
		l.HandleReport(now, "g", Report{Rejected: []directory.Fingerprint{1}})
		suspect, _ := suspectOf(t, l, now, 1)
		trials = max(trials, suspect.Trials)
	}
	if trials != maxTrials {
		t.Errorf("%d trials, want %d", trials, maxTrials)
	}
}

// TestSuspectsAreBounded: thousands of requests in flight at crashes must not end a quarantine, and
// thousands in quarantine must not keep the next request out of it.
func TestSuspectsAreBounded(t *testing.T) {
	l := newTestLedger()
	now := time.Duration(0)
	for number := range 2000 {
		now = reportCrashes(l, now, directory.Fingerprint(10000+number), 3) + gracePeriod
		put, _ := l.Decide(now)
		if len(put.List) > maxSuspects+maxQuarantined {
			t.Fatalf("%d suspects are remembered", len(put.List))
		}
	}
	for number := range 5000 {
		l.HandleReport(now, "g", crashReport(directory.Fingerprint(100000+number), fmt.Sprint(number%7)))
	}
	if put, _ := l.Decide(now); len(put.List) != maxSuspects+maxQuarantined {
		t.Errorf("%d suspects are remembered, want %d", len(put.List), maxSuspects+maxQuarantined)
	}
	if suspect, _ := suspectOf(t, l, now, 11999); !suspect.Quarantined {
		t.Error("the newest request in quarantine was evicted for requests that are only suspected")
	}
	now = reportCrashes(l, now, 1, 3) + gracePeriod
	if suspect, _ := suspectOf(t, l, now, 1); !suspect.Quarantined {
		t.Error("a further request is not put in quarantine")
	}
}

// TestQuarantineEndsByAge: a quarantine expires a fixed time after the request was last seen.
func TestQuarantineEndsByAge(t *testing.T) {
	l := newTestLedger()
	now := reportCrashes(l, 0, 1, 3) + gracePeriod
	reportCrashes(l, 0, 2, 1)
	if put, _ := l.Decide(now); len(put.List) != 2 {
		t.Fatalf("suspects %+v", put.List)
	}
	if _, found := suspectOf(t, l, now+11*time.Minute, 2); found {
		t.Error("a suspected request does not expire")
	}
	l.HandleReport(now+23*time.Hour, "g", Report{Rejected: []directory.Fingerprint{1}})
	if _, found := suspectOf(t, l, now+46*time.Hour, 1); !found {
		t.Error("the quarantine expired though the request was received again")
	}
	if _, found := suspectOf(t, l, now+48*time.Hour, 1); found {
		t.Error("the quarantine does not expire though the request was not received again")
	}
}

// TestInstanceThatIsHeardDidNotCrash: a heartbeat well after a reported crash proves that the instance is
// alive, even if a gateway's connections to it were refused. A heartbeat within the margin proves nothing,
// because it may have been sent before the crash.
func TestInstanceThatIsHeardDidNotCrash(t *testing.T) {
	l := newTestLedger()
	now := reportCrashes(l, 0, 1, 3) + gracePeriod
	if suspect, _ := suspectOf(t, l, now, 1); !suspect.Quarantined {
		t.Fatal("not in quarantine after three crashes")
	}
	first := directory.InstanceID("0000000000000001-0")
	l.HandleHeartbeat(now, first, time.Second+lateHeartbeatMargin)
	if suspect, _ := suspectOf(t, l, now, 1); !suspect.Quarantined {
		t.Error("a late heartbeat ended the quarantine")
	}
	l.HandleHeartbeat(now, first, time.Second+lateHeartbeatMargin+time.Millisecond)
	if suspect, found := suspectOf(t, l, now, 1); !found || suspect.Quarantined || len(suspect.Crashes) != 2 {
		t.Errorf("after a heartbeat from one of three instances: %+v, found %t", suspect, found)
	}
	for _, id := range l.CrashedInstances() {
		l.HandleHeartbeat(now, id, now+time.Minute)
	}
	if _, found := suspectOf(t, l, now, 1); found {
		t.Error("still suspected after heartbeats from all instances")
	}
}
