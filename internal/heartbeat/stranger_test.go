package heartbeat

import (
	"errors"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// atAddressOf sends a heartbeat of an instance that nobody knows, at the address of "a".
func (s *script) atAddressOfA(id directory.InstanceID) error {
	_, err := s.beat(id, func(beat *Beat) { beat.Address = "address-a" })
	return err
}

// TestDelayedHeartbeatsReplaceNobody: an earlier incarnation that never was known sent two
// heartbeats into a cut and crashed; both arrive after the next incarnation has registered
// at its address and holds keys. The second one took its place, and its keys passed on
// while it held them.
func TestDelayedHeartbeatsReplaceNobody(t *testing.T) {
	s := founded(t)
	s.now += 300 * time.Millisecond
	for range 3 {
		if err := s.atAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
			t.Fatalf("a heartbeat that may be old: %v", err)
		}
		s.now += 5 * time.Millisecond
	}
	if grant, err := s.inZone("a", ""); err != nil || len(grant.Holdings) != 1 {
		t.Errorf("the instance that lives gets %+v, %v", grant, err)
	}
	s.now += time.Second
	if err := s.atAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
		t.Errorf("another one after the instance was heard of again: %v", err)
	}
}

// TestDelayedHeartbeatsAtNewLeader: a leader that has heard nobody yet does not take them
// either.
func TestDelayedHeartbeatsAtNewLeader(t *testing.T) {
	s := founded(t)
	s.now += 300 * time.Millisecond
	s.core.Lead(s.now)
	for range 2 {
		if err := s.atAddressOfA("delayed"); !errors.Is(err, ErrProvisional) {
			t.Fatalf("a heartbeat that may be old: %v", err)
		}
	}
	if instance, _ := s.view.Instance("a"); instance.State == directory.InstanceGone {
		t.Error("the instance that lives counts as gone")
	}
}

// TestRestartedInstanceReplacesTheOneBefore: by its second regular heartbeat, while that one
// says nothing any more.
func TestRestartedInstanceReplacesTheOneBefore(t *testing.T) {
	s := founded(t)
	s.now += time.Second
	if err := s.atAddressOfA("next"); !errors.Is(err, ErrProvisional) {
		t.Fatalf("the first heartbeat: %v", err)
	}
	s.now += 870 * time.Millisecond
	if err := s.atAddressOfA("next"); err != nil {
		t.Fatalf("the second heartbeat: %v", err)
	}
	before, _ := s.view.Instance("a")
	next, known := s.view.Instance("next")
	if !before.Ended || !known || next.State != directory.InstanceReady {
		t.Errorf("before %+v, next %+v", before, next)
	}
}
