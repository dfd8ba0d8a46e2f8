package record

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// ProbeInterval is the time between two probes of one router, and between
	// two looks at who answered.
	ProbeInterval = 100 * time.Millisecond
	// unreachableAfter is how long a router may leave probes unanswered before it
	// is reported.
	unreachableAfter = 400 * time.Millisecond
	// overdueAfter is how long the answers of all routers must be overdue for this
	// router to count as cut off in its own eyes.
	overdueAfter = 2 * ProbeInterval
	// MaxProbed bounds the routers that one router probes, and thus its reports.
	MaxProbed = 32
)

// Reachability is what one router knows of whether it reaches others. It is not safe
// for concurrent use.
type Reachability struct {
	// lastAnswered holds, for each router that is probed, when the last probe that it
	// lastAnswered was sent, or when it was probed first.
	lastAnswered map[state.RouterID]time.Duration
	lastRound    time.Duration
}

// NewReachability returns a Reach that knows no router.
func NewReachability() *Reachability {
	return &Reachability{lastAnswered: make(map[state.RouterID]time.Duration)}
}

// BeginRound begins a round of probes of the given routers, of which it takes the
// first MaxProbed, and returns those. After a pause of this process the answers
// that are missing say nothing about others.
func (r *Reachability) BeginRound(now time.Duration, routers []state.RouterID) []state.RouterID {
	routers = routers[:min(len(routers), MaxProbed)]
	paused := now-r.lastRound > overdueAfter
	r.lastRound = now
	maps.DeleteFunc(r.lastAnswered, func(router state.RouterID, _ time.Duration) bool {
		return !slices.Contains(routers, router)
	})
	for _, router := range routers {
		if _, found := r.lastAnswered[router]; !found || paused {
			r.lastAnswered[router] = now
		}
	}
	return routers
}

// MarkAnswered notes that a router answered a probe that was sent at a time.
func (r *Reachability) MarkAnswered(router state.RouterID, sent time.Duration) {
	if previous, probed := r.lastAnswered[router]; probed {
		r.lastAnswered[router] = max(previous, sent)
	}
}

// Unreachable returns the routers that left probes unanswered for too long, by
// identifier.
func (r *Reachability) Unreachable(now time.Duration) []state.RouterID {
	var unreachable []state.RouterID
	for router, answered := range r.lastAnswered {
		if now-answered >= unreachableAfter {
			unreachable = append(unreachable, router)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// Isolated reports whether the answers of all routers are overdue. Of a single one
// it cannot be told whose fault it is.
func (r *Reachability) Isolated(now time.Duration) bool {
	for _, answered := range r.lastAnswered {
		if now-answered < overdueAfter {
			return false
		}
	}
	return len(r.lastAnswered) >= minReporters
}
