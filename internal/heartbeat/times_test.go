package heartbeat

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// playTimes lets gateways report answers of instances for a while, ten times a second.
func playTimes(s *script, seconds int, milliseconds map[directory.InstanceID]uint32) (published int) {
	const answered = 2
	for range seconds * 10 {
		s.now += 100 * time.Millisecond
		report := Report{Service: "other"}
		for id, each := range milliseconds {
			report.Instances = append(report.Instances, InstanceReport{ID: id, Answered: answered, BusyMs: answered * each})
		}
		s.core.Count(s.now, report)
		for _, command := range s.core.Tick(s.now, s.view) {
			published += len(command.Times)
			s.apply(command)
		}
	}
	return published
}

// timedSlots are enough for the answers that are reported, so that none waited.
const timedSlots = 16

// timedScript has instances of a service without keys.
func timedScript(t *testing.T, ids ...directory.InstanceID) *script {
	s := newScript(t)
	for _, id := range ids {
		if _, err := s.beat(id, func(beat *Beat) { beat.Service, beat.Slots = "other", timedSlots }); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func timeOfInstance(t *testing.T, s *script, id directory.InstanceID) time.Duration {
	t.Helper()
	instance, found := s.view.Instance(id)
	if !found {
		t.Fatalf("%s is not there", id)
	}
	return instance.ServiceTime
}

// TestTimesThatDifferArePublished: of a service without keys, which no gateway measures by
// itself; once each, until they change.
func TestTimesThatDifferArePublished(t *testing.T) {
	s := timedScript(t, "fast", "mean", "slow")
	times := map[directory.InstanceID]uint32{"fast": 60, "mean": 105, "slow": 160}
	if published := playTimes(s, 5, times); published != 2 {
		t.Errorf("%d times were published, want those of two instances", published)
	}
	for id, want := range map[directory.InstanceID]time.Duration{"fast": 60 * time.Millisecond, "mean": 0, "slow": 160 * time.Millisecond} {
		if got := timeOfInstance(t, s, id); got != want {
			t.Errorf("%s needs %s, want %s", id, got, want)
		}
	}
	times["fast"] = 300
	if playTimes(s, 5, times) == 0 || timeOfInstance(t, s, "fast") < 200*time.Millisecond {
		t.Errorf("an instance that has turned slow needs %s", timeOfInstance(t, s, "fast"))
	}
}

// TestTimesOutliveHeartbeats: a heartbeat tells nothing of the service time, and neither
// changes it nor has to be decided for it.
func TestTimesOutliveHeartbeats(t *testing.T) {
	s := timedScript(t, "fast", "slow")
	playTimes(s, 3, map[directory.InstanceID]uint32{"fast": 50, "slow": 150})
	before := timeOfInstance(t, s, "slow")
	s.sequence["slow"]++
	beat := Beat{Instance: "slow", Service: "other", Address: "address-slow", Slots: timedSlots, Sequence: s.sequence["slow"]}
	if !s.core.Renew(s.now, beat, s.view) {
		t.Error("a heartbeat that changes nothing waits for a batch")
	}
	if _, err := s.beat("slow", func(beat *Beat) { beat.Service, beat.Slots, beat.Draining = "other", timedSlots, true }); err != nil {
		t.Fatal(err)
	}
	if after := timeOfInstance(t, s, "slow"); before == 0 || after != before {
		t.Errorf("a heartbeat changed the service time from %s to %s", before, after)
	}
}

// TestFewAnswersSayNothing: a mean of a handful of answers differs by chance.
func TestFewAnswersSayNothing(t *testing.T) {
	s := timedScript(t, "a", "b")
	for index, milliseconds := range []uint32{40, 300, 90} {
		s.now += time.Second
		s.core.Count(s.now, Report{Service: "other", Instances: []InstanceReport{
			{ID: "a", Answered: 1, BusyMs: milliseconds}, {ID: "b", Answered: 1, BusyMs: 100},
		}})
		if commands := s.core.Tick(s.now, s.view); len(commands) > 0 {
			t.Errorf("after %d answers: %+v", index+1, commands)
		}
	}
}
