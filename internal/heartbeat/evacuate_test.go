package heartbeat

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// beatInZone sends a heartbeat from an instance in a zone, with the holdings that the directory lists.
func (s *script) beatInZone(id directory.InstanceID, zone string) (Grant, error) {
	return s.beat(id, func(beat *Beat) {
		beat.Zone = zone
		for _, held := range s.view.Layout("s").Holdings {
			if held.Owner == id && held.Granted && !held.Revoked {
				beat.Held = append(beat.Held, Held{Range: rangeOf(held), Fence: held.Fence})
			}
		}
	})
}

// newZonedScript returns a script with one instance in each of two zones, both of which hold keys.
func newZonedScript(t *testing.T) *script {
	t.Helper()
	s := newScript(t)
	beatBoth := func() {
		for id, zone := range map[directory.InstanceID]string{"a": "west", "b": "east"} {
			if _, err := s.beatInZone(id, zone); err != nil {
				t.Fatal(err)
			}
		}
	}
	beatBoth()
	s.tick(time.Second)
	beatBoth()
	beatBoth()
	return s
}

// ownedKeys returns the number of keys that an instance owns.
func (s *script) ownedKeys(id directory.InstanceID) int {
	keys := 0
	for _, held := range s.view.Layout("s").Holdings {
		if held.Owner == id {
			keys += held.Width()
		}
	}
	return keys
}

// TestKeysLeaveAnEvacuatedZone checks that all keys leave an evacuated zone within a few seconds, and that
// its instance gets none while the zone is evacuated.
func TestKeysLeaveAnEvacuatedZone(t *testing.T) {
	s := newZonedScript(t)
	if s.ownedKeys("a") == 0 || s.ownedKeys("b") == 0 {
		t.Fatal("an instance holds no keys before the evacuation")
	}
	s.apply(directory.Command{Zone: &directory.Zone{Name: "west", Evacuated: true}})
	for range 30 {
		s.tick(100 * time.Millisecond)
		for id, zone := range map[directory.InstanceID]string{"a": "west", "b": "east"} {
			if _, err := s.beatInZone(id, zone); err != nil {
				t.Fatal(err)
			}
		}
	}
	if s.ownedKeys("a") != 0 || s.ownedKeys("b") != int(directory.MaxKey)+1 {
		t.Fatalf("%d keys remain in the evacuated zone", s.ownedKeys("a"))
	}
	for range 10 {
		s.tick(100 * time.Millisecond)
		if grant, err := s.beatInZone("a", "west"); err != nil || len(grant.Holdings) > 0 {
			t.Fatalf("an instance of the evacuated zone is granted %+v, %v", grant, err)
		}
	}
}

// TestKeysStayIfNoZoneIsLeft checks that keys keep their holder if every zone is evacuated.
func TestKeysStayIfNoZoneIsLeft(t *testing.T) {
	s := newZonedScript(t)
	for _, zone := range []string{"west", "east"} {
		s.apply(directory.Command{Zone: &directory.Zone{Name: zone, Evacuated: true}})
	}
	before := s.ownedKeys("a")
	for range 20 {
		s.tick(100 * time.Millisecond)
		if _, err := s.beatInZone("a", "west"); err != nil {
			t.Fatal(err)
		}
	}
	if s.ownedKeys("a") != before {
		t.Errorf("%d of %d keys remain with their holder", s.ownedKeys("a"), before)
	}
}

// limitColdInstances makes service "s" limit the requests to cold instances.
func (s *script) limitColdInstances() {
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","keyed":true,"warm_up_seconds":3,"warm_up_per_second":6.7,"version":2}]}}`))
	if err != nil {
		s.t.Fatal(err)
	}
	s.apply(directory.Command{Patch: &patch})
}

func warmUp(left time.Duration) func(*Beat) { return func(beat *Beat) { beat.WarmUp = left } }

// TestColdInstancesAreTold checks that the directory lists an instance as cold from its first heartbeat
// until it reports that it is warm, and again when it turns cold; a mere count-down changes nothing.
func TestColdInstancesAreTold(t *testing.T) {
	s := newScriptWithLayout(t)
	s.limitColdInstances()
	beatCold := func(after, warmUpLeft time.Duration) directory.Instance {
		t.Helper()
		s.now += after
		if _, err := s.beat("cold", warmUp(warmUpLeft)); err != nil {
			t.Fatal(err)
		}
		instance, _ := s.view.Instance("cold")
		return instance
	}
	first := beatCold(0, 3*time.Second)
	if first.WarmUp != 3*time.Second || first.ColdSince == 0 {
		t.Fatalf("first heartbeat: %+v, want a warm-up of 3 s", first)
	}
	if next := beatCold(time.Second, 2*time.Second); next != first {
		t.Errorf("a mere count-down changed the directory: %+v", next)
	}
	if again := beatCold(time.Second, 3*time.Second); again.ColdSince <= first.ColdSince || again.WarmUp != 3*time.Second {
		t.Errorf("cold again: %+v, want a later warm-up of 3 s", again)
	}
	if warm := beatCold(time.Second, 0); warm.WarmUp != 0 || warm.ColdSince != 0 {
		t.Errorf("warm: %+v, want no warm-up", warm)
	}
}

// TestRestoredZoneCountsAsColdAtFirst checks that the instances of a restored zone count as cold until
// their next heartbeats: they may have turned cold since the last ones.
func TestRestoredZoneCountsAsColdAtFirst(t *testing.T) {
	s := newZonedScript(t)
	s.limitColdInstances()
	s.apply(directory.Command{Zone: &directory.Zone{Name: "west", Evacuated: true}})
	s.apply(directory.Command{Zone: &directory.Zone{Name: "west"}})
	for id, cold := range map[directory.InstanceID]bool{"a": true, "b": false} {
		if instance, _ := s.view.Instance(id); (instance.WarmUp > 0) != cold {
			t.Errorf("%s: %+v, want cold %v", id, instance, cold)
		}
	}
	if _, err := s.beatInZone("a", "west"); err != nil {
		t.Fatal(err)
	}
	if instance, _ := s.view.Instance("a"); instance.WarmUp != 0 {
		t.Errorf("after a heartbeat: %+v, want no warm-up", instance)
	}
}

// TestColdInstancesGetKeysLast checks that freed keys go to warm instances as long as there are any.
func TestColdInstancesGetKeysLast(t *testing.T) {
	s := newScriptWithLayout(t)
	s.limitColdInstances()
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
	if s.ownedKeys("b") != int(directory.MaxKey)+1 {
		t.Errorf("the warm instance owns %d keys, the cold ones %d and %d", s.ownedKeys("b"), s.ownedKeys("c"), s.ownedKeys("d"))
	}
}

// TestGatewaysAreCounted checks that the number of gateways rises at once and falls only after a delay.
func TestGatewaysAreCounted(t *testing.T) {
	s := newScriptWithLayout(t)
	for _, name := range []string{"g1", "g2", "g3", "g1"} {
		s.core.RecordGateway(s.now, name, nil)
	}
	s.tick(time.Second)
	if got := s.view.Gateways(); got != 3 {
		t.Fatalf("%d gateways are counted, want 3", got)
	}
	for range 50 {
		s.core.RecordGateway(s.now, "g1", nil)
		s.tick(time.Second)
	}
	if got := s.view.Gateways(); got != 3 {
		t.Errorf("%d gateways are counted after 50 s, want 3", got)
	}
	for range 30 {
		s.core.RecordGateway(s.now, "g1", nil)
		s.tick(time.Second)
	}
	if got := s.view.Gateways(); got != 1 {
		t.Errorf("%d gateways are counted after 80 s, want 1", got)
	}
}
