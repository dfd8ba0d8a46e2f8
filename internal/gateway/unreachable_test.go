package gateway

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// TestUnreachableHolderIsAskedByOne guards against requests that each wait for a connection attempt of their
// own, several times in a row. After a failed connection, requests for the holder's keys are rejected at once,
// except for one after each pause.
func TestUnreachableHolderIsAskedByOne(t *testing.T) {
	u := newUnreachable()
	now := time.Second
	if !u.mayAsk(now, "a") {
		t.Error("a holder must be asked before anything failed")
	}
	u.record(now, "a")
	if u.mayAsk(now, "a") || !u.mayAsk(now, "b") {
		t.Error("only the holder that cannot be reached must be left out")
	}
	now += unreachablePause
	if !u.mayAsk(now, "a") || u.mayAsk(now, "a") {
		t.Error("after the pause exactly one request must probe the holder")
	}
	u.markReachable("a")
	for range 2 {
		if !u.mayAsk(now, "a") {
			t.Error("a holder that answered must be asked")
		}
	}
	u.record(now, "a")
	u.forget(func(directory.InstanceID) bool { return false })
	if len(u.pausedUntil) != 0 {
		t.Error("an instance that is gone must be forgotten")
	}
}

// BenchmarkAllReachable measures the check of one instance while all are reachable, as for nearly all
// requests.
func BenchmarkAllReachable(b *testing.B) {
	u := newUnreachable()
	b.RunParallel(func(each *testing.PB) {
		for each.Next() {
			if u.paused(time.Second, "a") {
				b.Error("an instance that never failed must not be paused")
			}
		}
	})
}
