package heartbeat

import (
	"errors"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// beatAtAddressOfA sends a heartbeat of an unknown instance at the address of instance a.
func (s *script) beatAtAddressOfA(id directory.InstanceID) error {
	_, err := s.beat(id, func(beat *Beat) { beat.Address = "address-a" })
	return err
}

// TestDelayedHeartbeatsReplaceNobody guards against replacing a live instance. An earlier incarnation that was
// never registered sent two heartbeats during a network partition and crashed; both arrive after the next
// incarnation has registered at its address and holds keys. The second one replaced the live instance, whose
// keys were reassigned while it held them.
func TestDelayedHeartbeatsReplaceNobody(t *testing.T) {
	s := newScriptWithLayout(t)
	s.now += 300 * time.Millisecond
	for range 3 {
		if err := s.beatAtAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
			t.Fatalf("delayed heartbeat: error %v, want ErrProvisional", err)
		}
		s.now += 5 * time.Millisecond
	}
	if grant, err := s.beatInZone("a", ""); err != nil || len(grant.Holdings) != 1 {
		t.Errorf("the live instance is granted %+v, %v", grant, err)
	}
	s.now += time.Second
	if err := s.beatAtAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
		t.Errorf("delayed heartbeat after one of the live instance: error %v, want ErrProvisional", err)
	}
}

// TestDelayedHeartbeatsAtNewLeader checks that a leader that has not received any heartbeats yet does not accept
// delayed ones either.
func TestDelayedHeartbeatsAtNewLeader(t *testing.T) {
	s := newScriptWithLayout(t)
	s.now += 300 * time.Millisecond
	s.core.Lead(s.now)
	for range 2 {
		if err := s.beatAtAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
			t.Fatalf("delayed heartbeat: error %v, want ErrProvisional", err)
		}
	}
	if instance, _ := s.view.Instance("a"); instance.State == directory.InstanceGone {
		t.Error("the live instance counts as gone")
	}
}

// TestLateHeartbeatsOfManyMomentsReplaceNobody guards against replacing a live instance after two heartbeats of a crashed
// one that arrive further apart, between two of the live one.
func TestLateHeartbeatsOfManyMomentsReplaceNobody(t *testing.T) {
	s := newScriptWithLayout(t)
	for range 8 {
		for range 4 {
			s.now += 240 * time.Millisecond
			if err := s.beatAtAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
				t.Fatalf("delayed heartbeat: error %v, want ErrProvisional", err)
			}
		}
		if grant, err := s.beatInZone("a", ""); err != nil || len(grant.Holdings) != 1 {
			t.Fatalf("the live instance is granted %+v, %v", grant, err)
		}
	}
}

// TestLateHeartbeatDoesNotEndAnInstanceThatLeaves guards against keys that get another holder while an instance that has
// said that it leaves serves on: a late heartbeat of an earlier instance at its address is no proof of its end.
func TestLateHeartbeatDoesNotEndAnInstanceThatLeaves(t *testing.T) {
	s := newScriptWithLayout(t)
	s.now += 300 * time.Millisecond
	s.apply(s.core.Leave("a", s.view)...)
	if err := s.beatAtAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
		t.Errorf("delayed heartbeat: error %v, want ErrProvisional", err)
	}
	if leaving, _ := s.view.Instance("a"); leaving.Ended {
		t.Error("the instance counts as ended while its lease runs")
	}
}

// TestRestartedInstanceReplacesTheOneBefore checks that a restarted instance replaces the previous one, which is
// silent, at its first heartbeat after the lease of that one, not earlier.
func TestRestartedInstanceReplacesTheOneBefore(t *testing.T) {
	s := newScriptWithLayout(t)
	expiry := s.core.leaseEnd("a")
	for s.now < expiry {
		if err := s.beatAtAddressOfA("next"); !errors.Is(err, ErrProvisional) {
			t.Fatalf("heartbeat %s before the expiry: error %v, want ErrProvisional", expiry-s.now, err)
		}
		s.now = min(s.now+870*time.Millisecond, expiry)
	}
	s.now++
	if err := s.beatAtAddressOfA("next"); err != nil {
		t.Fatalf("heartbeat after the expiry: %v", err)
	}
	before, _ := s.view.Instance("a")
	next, known := s.view.Instance("next")
	if !before.Ended || !known || next.State != directory.InstanceReady {
		t.Errorf("previous instance %+v, next %+v", before, next)
	}
}
