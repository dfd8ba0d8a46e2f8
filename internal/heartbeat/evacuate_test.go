package heartbeat

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// inZone puts a heartbeat into a zone, with what the instance holds by the directory.
func (s *script) inZone(id directory.InstanceID, zone string) (Grant, error) {
	return s.beat(id, func(beat *Beat) {
		beat.Zone = zone
		for _, held := range s.view.Layout("s").Holdings {
			if held.Owner == id && held.Granted && !held.Revoked {
				beat.Held = append(beat.Held, Held{Range: rangeOf(held), Fence: held.Fence})
			}
		}
	})
}

// zoned returns a script with an instance in each of two zones, each of which holds keys.
func zoned(t *testing.T) *script {
	t.Helper()
	s := newScript(t)
	beats := func() {
		for id, zone := range map[directory.InstanceID]string{"a": "west", "b": "east"} {
			if _, err := s.inZone(id, zone); err != nil {
				t.Fatal(err)
			}
		}
	}
	beats()
	s.tick(time.Second)
	beats()
	beats()
	return s
}

func (s *script) owned(id directory.InstanceID) int {
	keys := 0
	for _, held := range s.view.Layout("s").Holdings {
		if held.Owner == id {
			keys += held.Width()
		}
	}
	return keys
}

// TestKeysLeaveAnEvacuatedZone: within a few seconds, with their holder serving each of
// them until it is taken; and none comes back until the zone is restored.
func TestKeysLeaveAnEvacuatedZone(t *testing.T) {
	s := zoned(t)
	if s.owned("a") == 0 || s.owned("b") == 0 {
		t.Fatal("each zone must hold keys at first")
	}
	s.apply(directory.Command{Zone: &directory.Zone{Name: "west", Evacuated: true}})
	for range 30 {
		s.tick(100 * time.Millisecond)
		for id, zone := range map[directory.InstanceID]string{"a": "west", "b": "east"} {
			if _, err := s.inZone(id, zone); err != nil {
				t.Fatal(err)
			}
		}
	}
	if s.owned("a") != 0 || s.owned("b") != int(directory.MaxKey)+1 {
		t.Fatalf("%d keys are left in the evacuated zone", s.owned("a"))
	}
	for range 10 {
		s.tick(100 * time.Millisecond)
		if grant, err := s.inZone("a", "west"); err != nil || len(grant.Holdings) > 0 {
			t.Fatalf("an instance of the evacuated zone gets %+v, %v", grant, err)
		}
	}
}

// TestKeysStayIfNoZoneIsLeft: they have a holder rather than none.
func TestKeysStayIfNoZoneIsLeft(t *testing.T) {
	s := zoned(t)
	for _, zone := range []string{"west", "east"} {
		s.apply(directory.Command{Zone: &directory.Zone{Name: zone, Evacuated: true}})
	}
	before := s.owned("a")
	for range 20 {
		s.tick(100 * time.Millisecond)
		if _, err := s.inZone("a", "west"); err != nil {
			t.Fatal(err)
		}
	}
	if s.owned("a") != before {
		t.Errorf("%d keys are left of %d", s.owned("a"), before)
	}
}

// coldService limits the requests to cold instances of the script's service.
func (s *script) coldService() {
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","keyed":true,"warm_up_seconds":3,"warm_up_per_second":6.7,"version":2}]}}`))
	if err != nil {
		s.t.Fatal(err)
	}
	s.apply(directory.Command{Patch: &patch})
}

func warmUp(left time.Duration) func(*Beat) { return func(beat *Beat) { beat.WarmUp = left } }

// TestColdInstancesAreTold: from their first heartbeat until they say that they are warm,
// and once more when they turn cold again; what is only counted down is no news.
func TestColdInstancesAreTold(t *testing.T) {
	s := founded(t)
	s.coldService()
	told := func(after, left time.Duration) directory.Instance {
		t.Helper()
		s.now += after
		if _, err := s.beat("cold", warmUp(left)); err != nil {
			t.Fatal(err)
		}
		instance, _ := s.view.Instance("cold")
		return instance
	}
	first := told(0, 3*time.Second)
	if first.WarmUp != 3*time.Second || first.ColdSince == 0 {
		t.Fatalf("told as %+v", first)
	}
	if next := told(time.Second, 2*time.Second); next != first {
		t.Errorf("counting down is told as news: %+v", next)
	}
	if again := told(time.Second, 3*time.Second); again.ColdSince <= first.ColdSince || again.WarmUp != 3*time.Second {
		t.Errorf("cold again is told as %+v", again)
	}
	if warm := told(time.Second, 0); warm.WarmUp != 0 || warm.ColdSince != 0 {
		t.Errorf("warm is told as %+v", warm)
	}
}

// TestRestoredZoneCountsAsColdAtFirst: its instances may have turned cold since their last
// heartbeats, until the next ones tell.
func TestRestoredZoneCountsAsColdAtFirst(t *testing.T) {
	s := zoned(t)
	s.coldService()
	s.apply(directory.Command{Zone: &directory.Zone{Name: "west", Evacuated: true}})
	s.apply(directory.Command{Zone: &directory.Zone{Name: "west"}})
	for id, cold := range map[directory.InstanceID]bool{"a": true, "b": false} {
		if instance, _ := s.view.Instance(id); (instance.WarmUp > 0) != cold {
			t.Errorf("%s: %+v, want cold %v", id, instance, cold)
		}
	}
	if _, err := s.inZone("a", "west"); err != nil {
		t.Fatal(err)
	}
	if instance, _ := s.view.Instance("a"); instance.WarmUp != 0 {
		t.Errorf("after a heartbeat: %+v", instance)
	}
}

// TestColdInstancesGetKeysLast: freed keys go to warm instances as long as there are any.
func TestColdInstancesGetKeysLast(t *testing.T) {
	s := founded(t)
	s.coldService()
	for _, id := range []directory.InstanceID{"c", "d"} {
		if _, err := s.beat(id, warmUp(3*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	s.now += 100 * time.Millisecond
	s.apply(s.core.Leave("a", s.view)...)
	for range 70 {
		s.tick(100 * time.Millisecond)
		for _, id := range []directory.InstanceID{"b", "c", "d"} {
			if _, err := s.beat(id, func(beat *Beat) {
				beat.WarmUp = time.Second
				if id == "b" {
					beat.WarmUp = 0
				}
			}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if s.owned("b") != int(directory.MaxKey)+1 {
		t.Errorf("the warm instance has %d keys, cold ones %d and %d", s.owned("b"), s.owned("c"), s.owned("d"))
	}
}

// TestGatewaysAreCounted: the number rises at once and falls only after a while.
func TestGatewaysAreCounted(t *testing.T) {
	s := founded(t)
	for _, name := range []string{"g1", "g2", "g3", "g1"} {
		s.core.HearGateway(s.now, name, nil)
	}
	s.tick(time.Second)
	if got := s.view.Gateways(); got != 3 {
		t.Fatalf("%d gateways are counted, want 3", got)
	}
	for range 50 {
		s.core.HearGateway(s.now, "g1", nil)
		s.tick(time.Second)
	}
	if got := s.view.Gateways(); got != 3 {
		t.Errorf("%d gateways are counted after 50 s, want 3", got)
	}
	for range 30 {
		s.core.HearGateway(s.now, "g1", nil)
		s.tick(time.Second)
	}
	if got := s.view.Gateways(); got != 1 {
		t.Errorf("%d gateways are counted after 80 s, want 1", got)
	}
}
