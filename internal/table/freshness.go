package table

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// maxPendingPongs limits the pongs that wait for the table to reach their
// revision; further ones are dropped.
const maxPendingPongs = 64

// Freshness tracks the latest time at which the table was known to be current. A
// pong confirms that its revision covered everything acknowledged before the
// ping was sent; it counts once the table has reached that revision.
type Freshness struct {
	maxAge time.Duration

	mutex       sync.Mutex
	confirmed   bool
	confirmedAt time.Duration
	pending     []message.Pong
}

// NewFreshness returns a Freshness of a table that is not yet confirmed. A
// confirmation is valid for maxAge.
func NewFreshness(maxAge time.Duration) *Freshness {
	return &Freshness{maxAge: maxAge}
}

// Observe processes a pong. The revision is the one of the current table.
func (f *Freshness) Observe(pong message.Pong, revision state.Revision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision >= pong.Revision {
		f.confirmLocked(time.Duration(pong.SentNs))
		return
	}
	if len(f.pending) < maxPendingPongs {
		f.pending = append(f.pending, pong)
	}
}

// Advance applies the pending pongs whose revision the table has reached.
func (f *Freshness) Advance(revision state.Revision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	kept := f.pending[:0]
	for _, pong := range f.pending {
		if revision >= pong.Revision {
			f.confirmLocked(time.Duration(pong.SentNs))
			continue
		}
		kept = append(kept, pong)
	}
	f.pending = kept
}

// Disconnected discards the pending pongs of a closed connection.
func (f *Freshness) Disconnected() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pending = nil
}

func (f *Freshness) confirmLocked(sent time.Duration) {
	if !f.confirmed || sent > f.confirmedAt {
		f.confirmed = true
		f.confirmedAt = sent
	}
}

// Age returns the time since the table was last confirmed to be current, and
// false if it never was.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now - f.confirmedAt, f.confirmed
}

// Fresh reports whether the table is recent enough to serve requests.
func (f *Freshness) Fresh(now time.Duration) bool {
	age, confirmed := f.Age(now)
	return confirmed && age <= f.maxAge
}
