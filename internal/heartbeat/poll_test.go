package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// reportOverload reports more demand for keys of instance a than it can serve.
func (s *script) reportOverload() {
	for range 5 {
		s.now += 20 * time.Millisecond
		report := Report{Service: "s"}
		for key := range uint16(20) {
			report.Keys, report.Counts = append(report.Keys, key*1000), append(report.Counts, 1)
		}
		for _, id := range []directory.InstanceID{"a", "b"} {
			report.Instances = append(report.Instances, InstanceReport{ID: id, Answered: 2, BusyMs: 100})
		}
		s.core.AddReport(s.now, report)
	}
}

// beatHeldBack sends a heartbeat whose answer is held back.
func (s *script) beatHeldBack(id directory.InstanceID) Beat {
	s.t.Helper()
	s.sequence[id]++
	beat := Beat{Instance: id, Service: "s", Address: "address-" + string(id), Slots: 2, Sequence: s.sequence[id]}
	for _, held := range s.view.Layout("s").Holdings {
		if held.Owner == id && held.Granted && !held.Revoked {
			beat.Held = append(beat.Held, Held{Range: rangeOf(held), Fence: held.Fence})
		}
	}
	if !s.core.Renew(s.now, beat, s.view) {
		s.t.Fatalf("%s: Renew rejected the heartbeat", id)
	}
	if !s.core.HoldBack(s.now, s.now, beat, s.view) {
		s.t.Fatalf("%s: the answer is not held back", id)
	}
	return beat
}

// TestMovedKeysAreToldAtOnce checks that keys move from an instance whose answer is held back to another one
// without a further regular heartbeat of either.
func TestMovedKeysAreToldAtOnce(t *testing.T) {
	s := newScriptWithLayout(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	s.beatHeldBack("a")
	target := s.beatHeldBack("b")
	s.reportOverload()
	s.tick(50 * time.Millisecond)
	revoked := 0
	for _, holding := range s.view.Layout("s").Holdings {
		if holding.Revoked && holding.Owner == "a" {
			revoked++
		}
	}
	if revoked == 0 {
		t.Fatal("no keys of the busy instance are revoked while its answer is pending")
	}
	s.now += 100 * time.Millisecond
	if _, err := s.beat("a", func(beat *Beat) {
		for _, holding := range s.view.Layout("s").Holdings {
			if holding.Owner == "a" && !holding.Revoked {
				beat.Held = append(beat.Held, Held{Range: rangeOf(holding), Fence: holding.Fence})
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	if s.core.HoldBack(s.now, s.now-150*time.Millisecond, target, s.view) {
		t.Error("the answer to the target is held back although keys have moved to it")
	}
	for _, holding := range s.view.Layout("s").Holdings {
		if holding.Owner == "" || holding.Owner == "b" && !holding.Granted {
			t.Errorf("keys %d to %d wait for a heartbeat of the target", holding.First, holding.Last)
		}
	}
}

// TestHeldBackAnswerCountsAsGranted checks that the keys of an instance that falls silent while its answer is
// held back are reassigned only after the lease of that answer has expired.
func TestHeldBackAnswerCountsAsGranted(t *testing.T) {
	s := newScriptWithLayout(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	s.now += 2 * time.Second
	receivedAt := s.now
	s.beatHeldBack("a")
	for s.now < receivedAt+s.core.config.Lease {
		s.tick(100 * time.Millisecond)
		if _, err := s.beat("b", holding(half, directory.MaxKey, 1)); err != nil {
			t.Fatal(err)
		}
		if held, _ := s.view.Layout("s").At(0); held.Owner != "a" {
			t.Fatalf("key 0 reassigned %s after a heartbeat whose answer was held back", s.now-receivedAt)
		}
	}
}

// TestSupersededAnswerIsNotHeld checks that the answer to an earlier heartbeat is neither held back nor
// treated as the newest once a later heartbeat was received.
func TestSupersededAnswerIsNotHeld(t *testing.T) {
	s := newScriptWithLayout(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	earlier := s.beatHeldBack("a")
	s.now += 100 * time.Millisecond
	s.beatHeldBack("a")
	if s.core.IsNewest(earlier) || s.core.HoldBack(s.now, s.now-100*time.Millisecond, earlier, s.view) {
		t.Error("the answer to an earlier heartbeat is held back or counts as the newest")
	}
}

// TestLeavingInstanceIsAnsweredAtOnce checks that the answer to an instance that leaves is not held back: the
// instance waits for the acknowledgement of its heartbeat.
func TestLeavingInstanceIsAnsweredAtOnce(t *testing.T) {
	s := newScriptWithLayout(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	beat := Beat{Instance: "a", Service: "s", Address: "address-a", Slots: 2, Sequence: s.sequence["a"] + 1, Draining: true}
	commands, err := s.core.Receive(s.now, beat, s.view)
	if err != nil {
		t.Fatal(err)
	}
	s.apply(commands...)
	if s.core.HoldBack(s.now, s.now, beat, s.view) {
		t.Error("the answer to a draining instance is held back")
	}
}

// TestUntoldKeysAreLeftOutOfTheAnswer checks that keys assigned to an instance too late for its pending answer
// are granted by the next answer, so that an answer never contains ranges that were not counted and merged.
func TestUntoldKeysAreLeftOutOfTheAnswer(t *testing.T) {
	s := newScriptWithLayout(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	receivedAt := s.now
	beat := s.beatHeldBack("a")
	s.now += 590 * time.Millisecond
	layout := s.view.Layout("s")
	moved := directory.Holding{First: half, Last: half + 99, Fence: 2, Owner: "a"}
	remaining := directory.Holding{First: half + 100, Last: directory.MaxKey, Fence: 1, Owner: "b", Granted: true}
	s.apply(directory.Command{Layout: &directory.PutLayout{Service: "s", After: layout.Revision, Changed: []directory.Holding{moved, remaining}}})
	if !s.core.HoldBack(s.now, receivedAt, beat, s.view) {
		t.Error("the answer is sent early for keys that it does not contain")
	}
	grant := s.core.Answer("a", receivedAt, s.view)
	if len(grant.Holdings) != 1 || grant.Holdings[0].Contains(half) {
		t.Errorf("the answer grants %+v", grant.Holdings)
	}
	grant, err := s.beat("a", holding(0, half-1, 1))
	if err != nil || len(grant.Holdings) != 2 {
		t.Errorf("the next answer grants %+v, %v", grant.Holdings, err)
	}
}

// countSlowHeartbeats returns how many heartbeats of one round need a scan of the whole layout, in a service
// where instances hold keys with some demand each and as many others hold none.
func countSlowHeartbeats(t *testing.T, instances int) int {
	t.Helper()
	l := newIncarnationScript(t)
	l.core.config.Stripes = 2
	now := 2 * time.Second
	address := func(number int) string { return fmt.Sprintf("127.0.0.1:%d", number) }
	for number := range instances {
		if err := l.beatAt(address(number), now, fmt.Sprint("holder-", number), 0, 1); err != nil {
			t.Fatal(err)
		}
	}
	l.apply(l.core.Tick(now+400*time.Millisecond, l.view))
	now += 500 * time.Millisecond
	for number := range instances {
		if err := l.beatAt(address(number), now, fmt.Sprint("holder-", number), 0, 2); err != nil {
			t.Fatal(err)
		}
		if err := l.beatAt(address(instances+number), now, fmt.Sprint("newcomer-", number), 0, 1); err != nil {
			t.Fatal(err)
		}
	}
	report := Report{Service: "s"}
	for _, holding := range l.view.Layout("s").Holdings {
		// A quarter of the ranges has most of the demand.
		count := uint16(1)
		if holding.First%4 == 0 {
			count = 5
		}
		report.Keys, report.Counts = append(report.Keys, uint16(holding.First)), append(report.Counts, count)
	}
	now += 100 * time.Millisecond
	l.core.AddReport(now, report)
	slow := 0
	held := grantedKeys(l.view)
	for number := range instances {
		id := directory.InstanceID(fmt.Sprint("holder-", number))
		beat := Beat{Instance: id, Service: "s", Address: address(number), Zone: "z", Slots: 2, Sequence: 3, Held: held[id]}
		if l.core.Renew(now, beat, l.view) {
			continue
		}
		slow++
		commands, err := l.core.Receive(now, beat, l.view)
		if err != nil {
			t.Fatal(err)
		}
		l.apply(commands)
	}
	return slow
}

// TestNewcomersDoNotSlowAllHeartbeatsDown checks that few heartbeats need a scan of the whole layout, whose
// cost grows with the number of instances: no more than may give keys away at the same time.
func TestNewcomersDoNotSlowAllHeartbeatsDown(t *testing.T) {
	for _, instances := range []int{200, 400} {
		slow := countSlowHeartbeats(t, instances)
		if maxSlow := instances/4 + instances/instancesPerMove; slow > maxSlow || slow == 0 {
			t.Errorf("%d of %d heartbeats scanned the whole layout, want 1 to %d", slow, instances, maxSlow)
		}
	}
}
