package gateway

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
)

const (
	// evacuationFade is the time over which the instances of an evacuated zone stop getting requests one by
	// one, so that the other zones do not get all of its requests at once. It matches the time in which keys
	// move out.
	evacuationFade = 1500 * time.Millisecond
	// evacuationMargin is reserved from the time limit: the change takes part of it to arrive at this gateway,
	// and a request part of it to reach the instance.
	evacuationMargin = 1200 * time.Millisecond
)

// evacuatedBeforeStart is the start time of zones that are already evacuated in the first table.
const evacuatedBeforeStart = time.Duration(math.MinInt64 / 2)

// evacuations records since when this gateway has known each zone as evacuated. It is safe for concurrent use.
type evacuations struct {
	clock clock.Clock
	// limit is how long after the order to evacuate an instance may get its last request.
	limit time.Duration
	mutex sync.Mutex
	// since has the evacuated zones, with readings of the clock.
	since map[string]time.Duration
	// updated is true once a table was applied. Zones that are evacuated in the first table may have been
	// so for a long time.
	updated bool
}

func newEvacuations(system clock.Clock, limit time.Duration) *evacuations {
	return &evacuations{clock: system, limit: limit, since: make(map[string]time.Duration)}
}

// update applies a new table.
func (e *evacuations) update(table *routing.Table) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	earlier := e.since
	e.since = make(map[string]time.Duration)
	for _, zone := range table.Evacuated {
		since, found := earlier[zone]
		switch {
		case found:
		case e.updated:
			since = e.clock.Now()
		default:
			since = evacuatedBeforeStart
		}
		e.since[zone] = since
	}
	e.updated = true
}

// excludes reports whether an instance gets no more requests that other instances can serve as well.
func (e *evacuations) excludes(instance directory.Instance) bool {
	share := instanceShare(instance.ID)
	return e.evacuatedFor(instance.Zone, time.Duration(share*float64(min(evacuationFade, e.lastRequestAfter()))))
}

// excludesHolder reports whether an instance gets no more requests for keys that it holds.
func (e *evacuations) excludesHolder(instance directory.Instance) bool {
	return e.evacuatedFor(instance.Zone, e.lastRequestAfter())
}

// lastRequestAfter returns how long after this gateway learned of the evacuation the last request may be sent.
func (e *evacuations) lastRequestAfter() time.Duration { return max(0, e.limit-evacuationMargin) }

// evacuatedFor reports whether a zone has been known as evacuated for at least the given time.
func (e *evacuations) evacuatedFor(zone string, atLeast time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	since, found := e.since[zone]
	return found && e.clock.Now()-since >= atLeast
}

// instanceShare spreads the instances evenly over [0, 1), in the same way at each gateway.
func instanceShare(id directory.InstanceID) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return float64(hash.Sum32()) / (math.MaxUint32 + 1)
}
