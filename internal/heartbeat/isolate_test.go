package heartbeat

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const hotTestKey = 70

// serviceTimes are the service times in milliseconds of the instances in the tests of a hot key.
var serviceTimes = map[directory.InstanceID]uint32{"i0": 90, "i1": 95, "i2": 40, "i3": 85}

// simulateHotKey runs one second of demand with one hot key, and sends heartbeats. The answers of the hot
// key's holder take longer by the time in its queue.
func simulateHotKey(t *testing.T, s *script, hotRate uint16) {
	t.Helper()
	for range 10 {
		s.now += 100 * time.Millisecond
		report := Report{Service: "s", Keys: []uint16{hotTestKey}, Counts: []uint16{hotRate / 10}}
		for key := range uint16(16) {
			report.Keys, report.Counts = append(report.Keys, key*4096+9), append(report.Counts, 1)
		}
		layout := s.view.Layout("s")
		for id, milliseconds := range serviceTimes {
			latency := milliseconds
			if holding, found := layout.At(hotTestKey); found && holding.Owner == id && hotRate > 0 {
				latency *= 2
			}
			const answered = 3
			report.Instances = append(report.Instances, InstanceReport{ID: id, Answered: answered, BusyMs: answered * latency})
		}
		s.core.AddReport(s.now, report)
		for _, id := range []directory.InstanceID{"i0", "i1", "i2", "i3"} {
			beatWithHoldings(t, s, id)
		}
		s.tick(0)
	}
}

// TestHotKeyMovesToTheFastestInstance checks that a key that alone overloads its holder moves to the
// fastest instance and stays there, while other keys move away from that instance. Keys whose rate exceeded
// the spare capacity of each other instance used to stay with their holder.
func TestHotKeyMovesToTheFastestInstance(t *testing.T) {
	s := newScript(t)
	s.core.config.MaxMoves, s.core.config.Stripes = 16, 8
	for range 3 {
		simulateHotKey(t, s, 0)
	}
	if holding, found := s.view.Layout("s").At(hotTestKey); !found || holding.Owner == "i2" {
		t.Fatalf("the key is held by %q from the start: choose another key for this test", holding.Owner)
	}
	simulateHotKey(t, s, 60)
	simulateHotKey(t, s, 60)
	holding, _ := s.view.Layout("s").At(hotTestKey)
	if holding.Owner != "i2" || holding.Width() != 1 || !holding.Granted {
		t.Fatalf("the hot key is in %+v, want a holding of its own at i2", holding)
	}
	fence := holding.Fence
	for range 4 {
		simulateHotKey(t, s, 60)
	}
	if holding, _ = s.view.Layout("s").At(hotTestKey); holding.Owner != "i2" || holding.Fence != fence {
		t.Errorf("the hot key moved again: %+v", holding)
	}
}

// TestServiceTimeLeavesTheQueueOut checks that the time in the queue of a saturated instance does not count
// as service time: the slots divided by its answer rate give the service time.
func TestServiceTimeLeavesTheQueueOut(t *testing.T) {
	const slots, work = 4, 0.04
	measured := &timing{}
	now := time.Duration(0)
	for range 50 {
		now += 100 * time.Millisecond
		measured.addReport(now, 2, work, slots)
	}
	for range 50 {
		now += 100 * time.Millisecond
		measured.addReport(now, 10, 6*work, slots)
	}
	if got := measured.serviceTime(now, slots); got < 0.9*work || got > 1.3*work {
		t.Errorf("service time %.3f s of a saturated instance, want about %.3f", got, work)
	}
	for range 200 {
		now += 100 * time.Millisecond
		measured.addReport(now, 1, 5*work, slots)
	}
	if got := measured.serviceTime(now, slots); got < 4*work {
		t.Errorf("service time %.3f s of an instance that became slow, want about %.3f", got, 5*work)
	}
}

// TestWatchedKeysAreBounded checks that keys that have cooled make room for new hot ones.
func TestWatchedKeysAreBounded(t *testing.T) {
	d := newDemand(0)
	now := time.Duration(0)
	for key := range uint16(5 * maxWatchedKeys) {
		now += 400 * time.Millisecond
		answers := []InstanceReport{{ID: "i", Answered: 1, BusyMs: 50}}
		d.addReport(now, Report{Keys: []uint16{key}, Counts: []uint16{100}, Instances: answers}, func(directory.InstanceID) int { return 1 })
	}
	hot := d.hotKeys()
	if len(hot) == 0 || len(d.hot) > maxWatchedKeys || hot[0].key != 5*maxWatchedKeys-1 {
		t.Errorf("%d keys are watched, the hottest is %+v", len(d.hot), hot[:min(len(hot), 1)])
	}
}

// TestKeysAreWatchedByTheirLoad checks that a key with few requests counts as hot if each takes long. With a
// fixed bound of 4 requests per second it did not.
func TestKeysAreWatchedByTheirLoad(t *testing.T) {
	for _, test := range []struct {
		milliseconds uint32
		watched      bool
	}{{40, false}, {1500, true}} {
		d := newDemand(0)
		for now := time.Duration(0); now < 10*time.Second; now += 500 * time.Millisecond {
			report := Report{
				Keys: []uint16{7}, Counts: []uint16{1},
				Instances: []InstanceReport{{ID: "i", Answered: 1, BusyMs: test.milliseconds}},
			}
			d.addReport(now, report, func(directory.InstanceID) int { return 2 })
		}
		if got := len(d.hotKeys()) > 0; got != test.watched {
			t.Errorf("2 requests per second of %d ms each: watched %v, want %v", test.milliseconds, got, test.watched)
		}
	}
}

// TestHotKeyMovesOnlyToAnInstanceInReach checks that a hot key moves only to an instance that can be
// notified soon and that gets no other keys before. A hot key was without a holder for up to a heartbeat
// interval, and each request for it was rejected.
func TestHotKeyMovesOnlyToAnInstanceInReach(t *testing.T) {
	s := newScript(t)
	s.core.config.MaxMoves, s.core.config.Stripes = 16, 8
	for range 3 {
		simulateHotKey(t, s, 0)
	}
	s.core.config.HoldBack = 600 * time.Millisecond
	report := Report{Service: "s", Keys: []uint16{hotTestKey}, Counts: []uint16{200}}
	s.core.AddReport(s.now, report)
	held, _ := s.view.Layout("s").At(hotTestKey)
	fastest := s.core.heartbeats["i2"]
	isolate := func() bool {
		draft := s.core.draft(s.now, "s", s.view)
		draft.measureDemand()
		return draft.isolate(draft.candidate(held.Owner))
	}
	fastest.receivedAt, fastest.interval, fastest.answerableUntil = s.now, time.Second, 0
	if isolate() {
		t.Error("a hot key moves to an instance that is notified a second later")
	}
	fastest.answerableUntil = s.now + 500*time.Millisecond
	if !isolate() {
		t.Fatal("a hot key does not move to an instance whose answer is pending")
	}
	draft := s.core.draft(s.now, "s", s.view)
	draft.measureDemand()
	if target := draft.bestTarget(draft.candidate(held.Owner), nil); target == nil || target.id == "i2" {
		t.Errorf("the reserved instance is chosen for other keys: target %+v", target)
	}
}
