package gateway

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
)

// rejectionPause is how long a holder that rejected a key is not asked again, unless the layout changes
// earlier.
const rejectionPause = 250 * time.Millisecond

// rejections records which holders rejected a key that the layout assigns to them: a change is on its way, or
// their lease has ended. Further requests for those keys would only be rejected as well, and count as arrivals
// at the service. A holder that rejects keys of several ranges has most likely lost all of them. It is safe
// for concurrent use.
type rejections struct {
	clock    clock.Clock
	mutex    sync.Mutex
	rejected map[directory.InstanceID]rejectedRanges
}

// rejectedRanges has the ranges that one holder rejected under a revision of the layout.
type rejectedRanges struct {
	revision directory.Revision
	// until is when each range may be asked for again, by its first key, in readings of the clock.
	until map[directory.Key]time.Duration
}

// maxRejectedRanges is the number of rejected ranges from which on a holder is taken to have lost all of its
// keys.
const maxRejectedRanges = 3

func newRejections(system clock.Clock) *rejections {
	return &rejections{clock: system, rejected: make(map[directory.InstanceID]rejectedRanges)}
}

// record notes that a holder rejected a key in the range that begins at first, under a revision of the
// layout.
func (r *rejections) record(id directory.InstanceID, first directory.Key, revision directory.Revision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.rejected[id]
	if !found || known.revision != revision {
		known = rejectedRanges{revision: revision, until: make(map[directory.Key]time.Duration)}
		r.rejected[id] = known
	}
	known.until[first] = r.clock.Now() + rejectionPause
}

// mayAsk reports whether a request for a range may be sent to its holder under a revision of the layout.
func (r *rejections) mayAsk(id directory.InstanceID, first directory.Key, revision directory.Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.rejected[id]
	if !found {
		return true
	}
	if known.revision != revision {
		delete(r.rejected, id)
		return true
	}
	now := r.clock.Now()
	for start, until := range known.until {
		if now >= until {
			delete(known.until, start)
		}
	}
	_, inPause := known.until[first]
	return !inPause && len(known.until) < maxRejectedRanges
}
