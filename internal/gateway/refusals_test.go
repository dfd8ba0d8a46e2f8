package gateway

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// TestOnlyAMajorityThatRefusesIsAnOutage guards against an only gateway that follows an old table though controllers may
// acknowledge changes: some refuse connections, some no longer do, and some are no controllers any more.
func TestOnlyAMajorityThatRefusesIsAnOutage(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	const none = -1
	var r refusals
	for second, step := range []struct {
		address string
		err     error
		// want is the second since which most of the five controllers refuse.
		want int
	}{
		{"a", refused, none},
		{"b", refused, none},
		{"other", refused, none},
		{"c", refused, 0},
		{"a", refused, 1},
		{"d", refused, 3},
		{"b", eris.New("no answer"), 3},
		{"c", nil, none},
		{"b", refused, 4},
	} {
		r.attempted(step.address, step.err, time.Duration(second)*time.Second)
		want := time.Duration(step.want) * time.Second
		if at, found := r.byMajority([]string{"a", "b", "c", "d", "e"}); found != (step.want != none) || found && at != want {
			t.Errorf("after %s at %d s: since %s, %t, want %d", step.address, second, at, found, step.want)
		}
	}
}

// TestOnlyGatewayServesWhileItsControllersAreDown guards against a gateway without others that rejects all requests because
// no controller runs, and against one that takes silence for that.
func TestOnlyGatewayServesWhileItsControllersAreDown(t *testing.T) {
	stub := startStub(t)
	for name, refuse := range map[string]bool{"refused": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			s := startSubscription(t, stub.address)
			eventually(t, "the directory is confirmed", s.confirmed)
			listener := listenOnLoopback(t) // accepts connections, and never answers
			defer func() { _ = listener.Close() }()
			if refuse {
				if err := listener.Close(); err != nil {
					t.Fatal(err)
				}
			}
			s.viewLock.Lock()
			s.controllers = []string{listener.Addr().String()}
			s.viewLock.Unlock()
			stub.silent.Store(true)
			defer stub.silent.Store(false)
			eventually(t, "the last proof is old", func() bool { return s.stale(s.age()) })
			if got := s.mayFollow(s.age()); got != refuse {
				t.Errorf("the table is followed: %t, want %t", got, refuse)
			}
		})
	}
}
