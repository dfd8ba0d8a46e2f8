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

// crashOf is a crash under a request that had just been sent.
func crashOf(fingerprint directory.Fingerprint, instance string) Report {
	return Report{Crashes: []Crash{{Fingerprint: fingerprint, Path: 7, Service: "s", Instance: directory.InstanceID(instance), TookMs: 10}}}
}

// hearCrashes tells a ledger of crashes one after the other, a second apart, and returns the time
// after the last one.
func hearCrashes(l *Ledger, now time.Duration, fingerprint directory.Fingerprint, count int) time.Duration {
	for number := range count {
		now += time.Second
		l.HandleReport(now, "g", crashOf(fingerprint, fmt.Sprintf("%s-%d", fingerprint, number)))
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

// TestDistinctCrashesCount: one that several gateways tell of, or that is told again, counts once; the
// third one puts the request in quarantine, after a moment in which an answer would clear it.
func TestDistinctCrashesCount(t *testing.T) {
	l := newTestLedger()
	for range 5 {
		l.HandleReport(time.Second, "g", crashOf(1, "a"))
	}
	l.HandleReport(2*time.Second, "h", crashOf(1, "b"))
	if suspect, found := suspectOf(t, l, 10*time.Second, 1); !found || suspect.Quarantined || len(suspect.Crashes) != 2 {
		t.Fatalf("after two crashes: %+v, found %t", suspect, found)
	}
	const third = 20 * time.Second
	l.HandleReport(third, "i", crashOf(1, "c"))
	if suspect, _ := suspectOf(t, l, third+grace-time.Millisecond, 1); suspect.Quarantined {
		t.Error("in quarantine before an answer could clear it")
	}
	if suspect, _ := suspectOf(t, l, third+grace, 1); !suspect.Quarantined || suspect.Doubtful {
		t.Errorf("after three crashes: %+v", suspect)
	}
}

// TestAnswerClears: whatever was told before it, and crashes before it that are told later.
func TestAnswerClears(t *testing.T) {
	l := newTestLedger()
	now := hearCrashes(l, 0, 1, 3)
	l.HandleReport(now, "g", Report{Answered: []Answered{{Fingerprint: 1}}})
	late := crashOf(1, "late")
	late.Crashes[0].EndedAgoMs = 500
	l.HandleReport(now+100*time.Millisecond, "h", late)
	if suspect, found := suspectOf(t, l, now+time.Minute, 1); found {
		t.Errorf("suspected though it was answered: %+v", suspect)
	}
	l.HandleReport(now+2*time.Second, "h", crashOf(1, "later"))
	if _, found := suspectOf(t, l, now+2*time.Second, 1); !found {
		t.Error("a crash after the answer does not count")
	}
}

// TestNextLeaderGoesOn: from what the directory has and what gateways tell again.
func TestNextLeaderGoesOn(t *testing.T) {
	first := newTestLedger()
	now := hearCrashes(first, 0, 1, 2)
	hearCrashes(first, 0, 2, 3)
	put, _ := first.Decide(now + time.Minute)
	next := newTestLedger()
	next.Adopt(0, directory.Suspects{List: put.List, Revision: 5})
	if _, changed := next.Decide(time.Second); changed {
		t.Error("a new leader changes what it found")
	}
	next.HandleReport(2*time.Second, "g", crashOf(1, "0000000000000001-1"))
	next.HandleReport(3*time.Second, "g", crashOf(1, "another"))
	if suspect, _ := suspectOf(t, next, 5*time.Second, 1); !suspect.Quarantined || len(suspect.Crashes) != 3 {
		t.Errorf("after two crashes before and one since: %+v", suspect)
	}
	if suspect, _ := suspectOf(t, next, 23*time.Hour, 2); !suspect.Quarantined {
		t.Error("the quarantine ended with the leader")
	}
}

// TestReleasedRequestGoesBackAfterOneCrash: a release that is wrong costs one instance.
func TestReleasedRequestGoesBackAfterOneCrash(t *testing.T) {
	l, d := newTestLedger(), directory.New()
	now := hearCrashes(l, 0, 1, 3) + time.Minute
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
		t.Error("a list that was made before the release undoes it")
	}
	l.Adopt(now, d.Suspects())
	if suspect, found := suspectOf(t, l, now+time.Minute, 1); !found || suspect.Quarantined {
		t.Errorf("after the release: %+v, found %t", suspect, found)
	}
	l.HandleReport(now+2*time.Minute, "g", crashOf(1, "next"))
	if suspect, _ := suspectOf(t, l, now+2*time.Minute+grace, 1); !suspect.Quarantined {
		t.Errorf("after one more crash: %+v", suspect)
	}
}

// TestDoubtfulRequestIsTried: one that was in flight at several instances when these crashed together
// may be sent once, by one gateway. A crash ends the doubt, an answer the quarantine.
func TestDoubtfulRequestIsTried(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		l := newTestLedger()
		for _, id := range []string{"a", "b", "c"} {
			l.HandleReport(time.Second, "g", crashOf(1, id))
		}
		now := time.Second + doubtfulGrace
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
				t.Error("in quarantine though its trial was answered")
			}
			continue
		}
		l.HandleReport(now+time.Second, "h", crashOf(1, "d"))
		l.HandleReport(now+time.Hour, "h", Report{Rejected: []directory.Fingerprint{1}})
		if suspect, _ := suspectOf(t, l, now+time.Hour, 1); !suspect.Quarantined || suspect.Doubtful || suspect.TrialBy != "" {
			t.Errorf("after a trial that took an instance down: %+v", suspect)
		}
	}
}

// TestTrialsAreBounded: a request whose trials end without an answer and without a crash.
func TestTrialsAreBounded(t *testing.T) {
	l := newTestLedger()
	for _, id := range []string{"a", "b", "c"} {
		l.HandleReport(time.Second, "g", crashOf(1, id))
	}
	trials := 0
	for now := time.Second; now < time.Hour; now += time.Second {
		l.HandleReport(now, "g", Report{Rejected: []directory.Fingerprint{1}})
		suspect, _ := suspectOf(t, l, now, 1)
		trials = max(trials, suspect.Trials)
	}
	if trials != mostTrials {
		t.Errorf("%d trials, want %d", trials, mostTrials)
	}
}

// TestSuspectsAreBounded: thousands of requests that were near crashes do not end a quarantine, and
// thousands in quarantine do not hide the next request.
func TestSuspectsAreBounded(t *testing.T) {
	l := newTestLedger()
	now := time.Duration(0)
	for number := range 2000 {
		now = hearCrashes(l, now, directory.Fingerprint(10000+number), 3) + grace
		put, _ := l.Decide(now)
		if len(put.List) > mostSuspects+mostQuarantined {
			t.Fatalf("%d suspects are remembered", len(put.List))
		}
	}
	for number := range 5000 {
		l.HandleReport(now, "g", crashOf(directory.Fingerprint(100000+number), fmt.Sprint(number%7)))
	}
	if put, _ := l.Decide(now); len(put.List) != mostSuspects+mostQuarantined {
		t.Errorf("%d suspects are remembered, want %d", len(put.List), mostSuspects+mostQuarantined)
	}
	if suspect, _ := suspectOf(t, l, now, 11999); !suspect.Quarantined {
		t.Error("the last request in quarantine was pushed out by others that are only suspected")
	}
	now = hearCrashes(l, now, 1, 3) + grace
	if suspect, _ := suspectOf(t, l, now, 1); !suspect.Quarantined {
		t.Error("one more request is not put in quarantine")
	}
}

// TestQuarantineEndsByAge: counted from when the request came last.
func TestQuarantineEndsByAge(t *testing.T) {
	l := newTestLedger()
	now := hearCrashes(l, 0, 1, 3) + grace
	hearCrashes(l, 0, 2, 1)
	if put, _ := l.Decide(now); len(put.List) != 2 {
		t.Fatalf("suspects %+v", put.List)
	}
	if _, found := suspectOf(t, l, now+11*time.Minute, 2); found {
		t.Error("a request that was near one crash is remembered for long")
	}
	l.HandleReport(now+23*time.Hour, "g", Report{Rejected: []directory.Fingerprint{1}})
	if _, found := suspectOf(t, l, now+46*time.Hour, 1); !found {
		t.Error("the quarantine of a request that comes again ends")
	}
	if _, found := suspectOf(t, l, now+48*time.Hour, 1); found {
		t.Error("the quarantine of a request that does not come again does not end")
	}
}

// TestInstanceThatIsHeardDidNotCrash: though a gateway was refused connections to it. One late
// heartbeat proves nothing.
func TestInstanceThatIsHeardDidNotCrash(t *testing.T) {
	l := newTestLedger()
	now := hearCrashes(l, 0, 1, 3) + grace
	if suspect, _ := suspectOf(t, l, now, 1); !suspect.Quarantined {
		t.Fatal("not in quarantine after three crashes")
	}
	first := directory.InstanceID("0000000000000001-0")
	l.HandleHeartbeat(now, first, time.Second+aliveAfter)
	if suspect, _ := suspectOf(t, l, now, 1); !suspect.Quarantined {
		t.Error("a late heartbeat ended the quarantine")
	}
	l.HandleHeartbeat(now, first, time.Second+aliveAfter+time.Millisecond)
	if suspect, found := suspectOf(t, l, now, 1); !found || suspect.Quarantined || len(suspect.Crashes) != 2 {
		t.Errorf("one of three instances did not crash: %+v, found %t", suspect, found)
	}
	for _, id := range l.CrashedInstances() {
		l.HandleHeartbeat(now, id, now+time.Minute)
	}
	if _, found := suspectOf(t, l, now, 1); found {
		t.Error("suspected though no instance crashed")
	}
}
