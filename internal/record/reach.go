package record

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// ProbeInterval is the time between two probes of one router, and between two
	// checks for answers.
	ProbeInterval = 100 * time.Millisecond
	// unreachableAfter is how long a router may leave probes unanswered before it
	// is reported as unreachable.
	unreachableAfter = 400 * time.Millisecond
	// overdueAfter is how old the last answers of all routers must be for this router
	// to consider itself isolated. A longer gap between rounds is a pause of this process.
	overdueAfter = 2 * ProbeInterval
	// MaxProbed is the maximum number of routers that one router probes, and thus
	// reports.
	MaxProbed = 32
)

// Reachability tracks which other routers one router can reach. It is not safe for
// concurrent use.
type Reachability struct {
	// lastAnswered holds, for each probed router, the send time of the latest probe
	// that it answered, or the time from which its answers are awaited.
	lastAnswered map[state.RouterID]time.Duration
	lastRound    time.Duration
}

// NewReachability returns a Reachability without any routers.
func NewReachability() *Reachability {
	return &Reachability{lastAnswered: make(map[state.RouterID]time.Duration)}
}

// BeginRound begins a round of probes and returns the routers to probe, the first
// MaxProbed of those given. After a pause of this process all routers count as just
// answered, because missing answers then say nothing about the other routers.
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

// MarkAnswered records that a router answered the probe sent at the given time.
func (r *Reachability) MarkAnswered(router state.RouterID, sent time.Duration) {
	if previous, probed := r.lastAnswered[router]; probed {
		r.lastAnswered[router] = max(previous, sent)
	}
}

// Unreachable returns the routers that left probes unanswered for too long, sorted
// by identifier.
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

// Isolated reports whether the answers of all routers are overdue. It needs at
// least minReporters routers: with a single one, either side may be at fault.
func (r *Reachability) Isolated(now time.Duration) bool {
	for _, answered := range r.lastAnswered {
		if now-answered < overdueAfter {
			return false
		}
	}
	return len(r.lastAnswered) >= minReporters
}
