package router

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// maxPendingProofs bounds the pongs that wait for the table to catch up.
const maxPendingProofs = 64

// freshness holds the newest moment at which the table was proved current. A
// pong proves that its revision covered everything acknowledged before the
// ping was sent; it counts once the table has reached that revision.
type freshness struct {
	limit time.Duration

	mutex   sync.Mutex
	proved  bool
	at      time.Duration
	pending []message.Pong
}

func newFreshness(limit time.Duration) *freshness {
	return &freshness{limit: limit}
}

// observe takes a pong, given the table's revision.
func (f *freshness) observe(pong message.Pong, revision state.Revision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision >= pong.Revision {
		f.proveLocked(time.Duration(pong.SentNs))
		return
	}
	if len(f.pending) < maxPendingProofs {
		f.pending = append(f.pending, pong)
	}
}

// advance counts the pongs that the table has caught up with.
func (f *freshness) advance(revision state.Revision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	kept := f.pending[:0]
	for _, pong := range f.pending {
		if revision >= pong.Revision {
			f.proveLocked(time.Duration(pong.SentNs))
			continue
		}
		kept = append(kept, pong)
	}
	f.pending = kept
}

// disconnected forgets pongs of a connection that is gone.
func (f *freshness) disconnected() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pending = nil
}

func (f *freshness) proveLocked(sent time.Duration) {
	if !f.proved || sent > f.at {
		f.proved = true
		f.at = sent
	}
}

// age returns the time since the table was last proved current, and false if
// it never was.
func (f *freshness) age(now time.Duration) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now - f.at, f.proved
}

// fresh reports whether requests may be served by the table.
func (f *freshness) fresh(now time.Duration) bool {
	age, proved := f.age(now)
	return proved && age <= f.limit
}
