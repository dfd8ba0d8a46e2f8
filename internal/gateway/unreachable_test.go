package gateway

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// TestUnreachableHolderIsAskedByOne: after a failed connection requests for its keys are
// rejected at once, but for one after each pause. Each waited for a connection of its own,
// several times in a row.
func TestUnreachableHolderIsAskedByOne(t *testing.T) {
	u := newUnreachable()
	now := time.Second
	if !u.mayAsk(now, "a") {
		t.Error("a holder must be asked before anything failed")
	}
	u.note(now, "a")
	if u.mayAsk(now, "a") || !u.mayAsk(now, "b") {
		t.Error("only the holder that cannot be reached must be left out")
	}
	now += unreachablePause
	if !u.mayAsk(now, "a") || u.mayAsk(now, "a") {
		t.Error("after the pause one request must find out, and no more")
	}
	u.reached("a")
	for range 2 {
		if !u.mayAsk(now, "a") {
			t.Error("a holder that answered must be asked")
		}
	}
	u.note(now, "a")
	u.forget(func(directory.InstanceID) bool { return false })
	if len(u.until) != 0 {
		t.Error("an instance that is gone must be forgotten")
	}
}

// BenchmarkAllReachable is the look at one instance that nearly all requests take.
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
