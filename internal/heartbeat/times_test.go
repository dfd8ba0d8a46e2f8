package heartbeat

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// reportTimes lets gateways report answers of instances ten times per second, and returns the number of
// published service times.
func reportTimes(s *script, seconds int, milliseconds map[directory.InstanceID]uint32) (published int) {
	const answered = 2
	for range seconds * 10 {
		s.now += 100 * time.Millisecond
		report := Report{Service: "other"}
		for id, serviceTime := range milliseconds {
			report.Instances = append(report.Instances, InstanceReport{ID: id, Answered: answered, BusyMs: answered * serviceTime})
		}
		s.core.AddReport(s.now, report)
		for _, command := range s.core.Tick(s.now, s.view) {
			published += len(command.Times)
			s.apply(command)
		}
	}
	return published
}

// unkeyedSlots is enough for the reported answers, so that none waited in the queue.
const unkeyedSlots = 16

// newUnkeyedScript returns a script with instances of a service without keys.
func newUnkeyedScript(t *testing.T, ids ...directory.InstanceID) *script {
	s := newScript(t)
	for _, id := range ids {
		if _, err := s.beat(id, func(beat *Beat) { beat.Service, beat.Slots = "other", unkeyedSlots }); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func serviceTimeOf(t *testing.T, s *script, id directory.InstanceID) time.Duration {
	t.Helper()
	instance, found := s.view.Instance(id)
	if !found {
		t.Fatalf("instance %s is not in the directory", id)
	}
	return instance.ServiceTime
}

// TestTimesThatDifferArePublished checks that service times that differ are published once until they change,
// for a service without keys, whose service times no gateway can measure on its own.
func TestTimesThatDifferArePublished(t *testing.T) {
	s := newUnkeyedScript(t, "fast", "mean", "slow")
	times := map[directory.InstanceID]uint32{"fast": 60, "mean": 105, "slow": 160}
	if published := reportTimes(s, 5, times); published != 2 {
		t.Errorf("%d service times were published, want 2", published)
	}
	for id, want := range map[directory.InstanceID]time.Duration{"fast": 60 * time.Millisecond, "mean": 0, "slow": 160 * time.Millisecond} {
		if got := serviceTimeOf(t, s, id); got != want {
			t.Errorf("published service time of %s is %s, want %s", id, got, want)
		}
	}
	times["fast"] = 300
	if reportTimes(s, 5, times) == 0 || serviceTimeOf(t, s, "fast") < 200*time.Millisecond {
		t.Errorf("published service time of an instance that became slow: %s", serviceTimeOf(t, s, "fast"))
	}
}

// TestTimesOutliveHeartbeats checks that a heartbeat, which contains no service time, neither changes the
// published one nor needs a batch because of it.
func TestTimesOutliveHeartbeats(t *testing.T) {
	s := newUnkeyedScript(t, "fast", "slow")
	reportTimes(s, 3, map[directory.InstanceID]uint32{"fast": 50, "slow": 150})
	before := serviceTimeOf(t, s, "slow")
	s.sequence["slow"]++
	beat := Beat{Instance: "slow", Service: "other", Address: "address-slow", Slots: unkeyedSlots, Sequence: s.sequence["slow"]}
	if !s.core.Renew(s.now, beat, s.view) {
		t.Error("Renew rejected a heartbeat that changes nothing")
	}
	if _, err := s.beat("slow", func(beat *Beat) { beat.Service, beat.Slots, beat.Draining = "other", unkeyedSlots, true }); err != nil {
		t.Fatal(err)
	}
	if after := serviceTimeOf(t, s, "slow"); before == 0 || after != before {
		t.Errorf("a heartbeat changed the service time from %s to %s", before, after)
	}
}

// TestFewAnswersSayNothing checks that nothing is published after a few answers, whose mean differs by chance.
func TestFewAnswersSayNothing(t *testing.T) {
	s := newUnkeyedScript(t, "a", "b")
	for index, milliseconds := range []uint32{40, 300, 90} {
		s.now += time.Second
		s.core.AddReport(s.now, Report{Service: "other", Instances: []InstanceReport{
			{ID: "a", Answered: 1, BusyMs: milliseconds}, {ID: "b", Answered: 1, BusyMs: 100},
		}})
		if commands := s.core.Tick(s.now, s.view); len(commands) > 0 {
			t.Errorf("after %d answers: commands %+v, want none", index+1, commands)
		}
	}
}
