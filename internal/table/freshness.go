package table

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// maxPendingProofs bounds the pongs that wait for the table to catch up.
const maxPendingProofs = 64

// Freshness holds the newest moment at which the table was proved current. A
// pong proves that its revision covered everything acknowledged before the
// ping was sent; it counts once the table has reached that revision.
type Freshness struct {
	limit time.Duration

	mutex   sync.Mutex
	proved  bool
	at      time.Duration
	pending []message.Pong
}

// NewFreshness returns a Freshness without a proof. A proof counts for the limit.
func NewFreshness(limit time.Duration) *Freshness {
	return &Freshness{limit: limit}
}

// Observe takes a pong, given the table's revision.
func (f *Freshness) Observe(pong message.Pong, revision state.Revision) {
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

// Advance counts the pongs that the table has caught up with.
func (f *Freshness) Advance(revision state.Revision) {
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

// Disconnected forgets pongs of a connection that is gone.
func (f *Freshness) Disconnected() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pending = nil
}

func (f *Freshness) proveLocked(sent time.Duration) {
	if !f.proved || sent > f.at {
		f.proved = true
		f.at = sent
	}
}

// Age returns the time since the table was last proved current, and false if
// it never was.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now - f.at, f.proved
}

// Fresh reports whether requests may be served by the table.
func (f *Freshness) Fresh(now time.Duration) bool {
	age, proved := f.Age(now)
	return proved && age <= f.limit
}
