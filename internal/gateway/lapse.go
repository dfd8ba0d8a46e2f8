package gateway

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// lapsePause is how long a holder that refused a key is not asked again, unless the
// layout changes before.
const lapsePause = 250 * time.Millisecond

// lapses remembers which holders said that they do not hold a key: their lease has
// ended, or a change is on its way. Each further request would only be refused, and
// counts as an arrival at the service. It is safe for concurrent use.
type lapses struct {
	mutex sync.Mutex
	noted map[directory.InstanceID]lapse
}

type lapse struct {
	until    time.Time
	revision directory.Revision
}

func newLapses() *lapses { return &lapses{noted: make(map[directory.InstanceID]lapse)} }

// note takes a refusal by a holder under a revision of the layout.
func (l *lapses) note(id directory.InstanceID, revision directory.Revision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noted[id] = lapse{until: time.Now().Add(lapsePause), revision: revision}
}

// mayAsk reports whether a holder may be asked under a revision of the layout.
func (l *lapses) mayAsk(id directory.InstanceID, revision directory.Revision) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, found := l.noted[id]
	if !found {
		return true
	}
	if time.Now().Before(known.until) && known.revision == revision {
		return false
	}
	delete(l.noted, id)
	return true
}
