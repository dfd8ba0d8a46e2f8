package quarantine

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Decision is what the leader decided about a request.
type Decision string

// Decisions about a request.
const (
	// Suspected: it was in flight at one more crash.
	Suspected Decision = "suspected"
	// Quarantined: it is sent to no instance any more.
	Quarantined Decision = "quarantined"
	// Cleared: an instance answered it, or did not crash.
	Cleared Decision = "cleared"
	// Tried: a gateway may send it once.
	Tried Decision = "tried"
	// Expired: it did not come again for long.
	Expired Decision = "expired"
	// Evicted: there were too many others.
	Evicted Decision = "evicted"
)

// Event is a decision with what it rests on.
type Event struct {
	Decision Decision
	Suspect  directory.Suspect
	// Age is how long ago its last crash was heard of.
	Age time.Duration
}

// mostEvents bounds the events that wait to be taken.
const mostEvents = 1024

func (l *Ledger) tell(now time.Duration, decision Decision, known *entry) {
	if len(l.events) < mostEvents {
		l.events = append(l.events, Event{Decision: decision, Suspect: known.suspect, Age: now - known.lastCrashAt})
	}
}

// Events returns the decisions since the last call.
func (l *Ledger) Events() []Event {
	taken := l.events
	l.events = nil
	return taken
}
