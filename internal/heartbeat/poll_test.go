package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// overload counts demand for keys of instance a that it cannot serve.
func (s *script) overload() {
	for range 5 {
		s.now += 20 * time.Millisecond
		report := Report{Service: "s"}
		for key := range uint16(20) {
			report.Keys, report.Counts = append(report.Keys, key*1000), append(report.Counts, 1)
		}
		for _, id := range []directory.InstanceID{"a", "b"} {
			report.Instances = append(report.Instances, InstanceReport{ID: id, Answered: 2, BusyMs: 100})
		}
		s.core.Count(s.now, report)
	}
}

// wait sends a heartbeat whose answer is held back.
func (s *script) wait(id directory.InstanceID) Beat {
	s.t.Helper()
	s.sequence[id]++
	beat := Beat{Instance: id, Service: "s", Address: "address-" + string(id), Slots: 2, Sequence: s.sequence[id]}
	for _, held := range s.view.Layout("s").Holdings {
		if held.Owner == id && held.Granted && !held.Revoked {
			beat.Held = append(beat.Held, Held{Range: rangeOf(held), Fence: held.Fence})
		}
	}
	if !s.core.Renew(s.now, beat, s.view) {
		s.t.Fatalf("%s: the heartbeat changes something", id)
	}
	if !s.core.HoldBack(s.now, s.now, beat, s.view) {
		s.t.Fatalf("%s: the answer is not held back", id)
	}
	return beat
}

// TestMovedKeysAreToldAtOnce: an instance whose answer is held back lets keys go, and the
// one that gets them is told, without a further regular heartbeat of either.
func TestMovedKeysAreToldAtOnce(t *testing.T) {
	s := founded(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	s.wait("a")
	target := s.wait("b")
	s.overload()
	s.tick(50 * time.Millisecond)
	revoked := 0
	for _, held := range s.view.Layout("s").Holdings {
		if held.Revoked && held.Owner == "a" {
			revoked++
		}
	}
	if revoked == 0 {
		t.Fatal("no keys of the busy instance are taken away while its answer waits")
	}
	s.now += 100 * time.Millisecond
	if _, err := s.beat("a", func(beat *Beat) {
		for _, held := range s.view.Layout("s").Holdings {
			if held.Owner == "a" && !held.Revoked {
				beat.Held = append(beat.Held, Held{Range: rangeOf(held), Fence: held.Fence})
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	if s.core.HoldBack(s.now, s.now-150*time.Millisecond, target, s.view) {
		t.Error("the answer to the target is held back although keys have moved to it")
	}
	for _, held := range s.view.Layout("s").Holdings {
		if held.Owner == "" || held.Owner == "b" && !held.Granted {
			t.Errorf("keys %d to %d wait for a heartbeat of the target", held.First, held.Last)
		}
	}
}

// TestHeldBackAnswerCountsAsGranted: keys of an instance that falls silent while its
// answer is held back pass on only once the lease of that answer has ended.
func TestHeldBackAnswerCountsAsGranted(t *testing.T) {
	s := founded(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	s.now += 2 * time.Second
	receivedAt := s.now
	s.wait("a")
	for s.now < receivedAt+s.core.config.Lease {
		s.tick(100 * time.Millisecond)
		if _, err := s.beat("b", holding(half, directory.MaxKey, 1)); err != nil {
			t.Fatal(err)
		}
		if held, _ := s.view.Layout("s").At(0); held.Owner != "a" {
			t.Fatalf("key 0 passed on %s after a heartbeat whose answer was held back", s.now-receivedAt)
		}
	}
}

// TestSupersededAnswerIsNotHeld: once a later heartbeat came, the answer to an earlier
// one is neither held back nor the newest.
func TestSupersededAnswerIsNotHeld(t *testing.T) {
	s := founded(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	earlier := s.wait("a")
	s.now += 100 * time.Millisecond
	s.wait("a")
	if s.core.Newest(earlier) || s.core.HoldBack(s.now, s.now-100*time.Millisecond, earlier, s.view) {
		t.Error("the answer to an earlier heartbeat still counts")
	}
}

// TestLeavingInstanceIsAnsweredAtOnce: an instance that leaves waits for the
// acknowledgement of its heartbeat.
func TestLeavingInstanceIsAnsweredAtOnce(t *testing.T) {
	s := founded(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	beat := Beat{Instance: "a", Service: "s", Address: "address-a", Slots: 2, Sequence: s.sequence["a"] + 1, Draining: true}
	commands, err := s.core.Receive(s.now, beat, s.view)
	if err != nil {
		t.Fatal(err)
	}
	s.apply(commands...)
	if s.core.HoldBack(s.now, s.now, beat, s.view) {
		t.Error("the answer to an instance that leaves is held back")
	}
}

// TestUntoldKeysAreLeftOutOfTheAnswer: keys that are given to an instance after the last
// moment at which its waiting answer could be marked are told by the next answer, so that
// an answer never has ranges beyond those that were counted and joined.
func TestUntoldKeysAreLeftOutOfTheAnswer(t *testing.T) {
	s := founded(t)
	s.core.config.HoldBack = 600 * time.Millisecond
	receivedAt := s.now
	beat := s.wait("a")
	s.now += 590 * time.Millisecond
	layout := s.view.Layout("s")
	moved := directory.Holding{First: half, Last: half + 99, Fence: 2, Owner: "a"}
	rest := directory.Holding{First: half + 100, Last: directory.MaxKey, Fence: 1, Owner: "b", Granted: true}
	s.apply(directory.Command{Layout: &directory.PutLayout{Service: "s", After: layout.Revision, Changed: []directory.Holding{moved, rest}}})
	if !s.core.HoldBack(s.now, receivedAt, beat, s.view) {
		t.Error("the answer ends early for keys that it does not tell")
	}
	grant := s.core.Answer("a", s.view)
	if len(grant.Holdings) != 1 || grant.Holdings[0].Contains(half) {
		t.Errorf("the answer tells %+v", grant.Holdings)
	}
	grant, err := s.beat("a", holding(0, half-1, 1))
	if err != nil || len(grant.Holdings) != 2 {
		t.Errorf("the next answer tells %+v, %v", grant.Holdings, err)
	}
}

// slowHeartbeats counts the heartbeats of one round that need a look at the whole layout, of
// instances that hold keys with some demand each, while as many others hold none.
func slowHeartbeats(t *testing.T, instances int) int {
	t.Helper()
	l := newLives(t)
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
	l.core.Count(now, report)
	slow := 0
	for number := range instances {
		beat := Beat{
			Instance: directory.InstanceID(fmt.Sprint("holder-", number)), Service: "s", Address: address(number), Zone: "z", Slots: 2, Sequence: 3,
		}
		if !l.core.Renew(now, beat, l.view) {
			slow++
			if err := l.beatAt(address(number), now, fmt.Sprint("holder-", number), 0, 3); err != nil {
				t.Fatal(err)
			}
		}
	}
	return slow
}

// TestNewcomersDoNotSlowAllHeartbeatsDown: a heartbeat that needs a look at the whole layout costs
// what grows with the instances, so that those that need one must be few, of many instances too:
// as many as may give keys at the same time, and no more.
func TestNewcomersDoNotSlowAllHeartbeatsDown(t *testing.T) {
	for _, instances := range []int{200, 400} {
		slow := slowHeartbeats(t, instances)
		if most := instances/4 + instances/instancesOfMove; slow > most || slow == 0 {
			t.Errorf("%d of %d heartbeats looked at the whole layout, want 1 to %d", slow, instances, most)
		}
	}
}
