package gateway

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
)

const (
	// evacuationFade is the time over which the instances of an evacuated zone are left
	// out one by one, so that the other zones do not get all of its requests at once: as
	// long as keys take to move out.
	evacuationFade = 1500 * time.Millisecond
	// evacuationMargin is kept of the time allowed: the news needs some of it to arrive,
	// and a request some to reach the instance.
	evacuationMargin = 1200 * time.Millisecond
)

// evacuations remembers since when this gateway has known each zone as evacuated. It is
// safe for concurrent use.
type evacuations struct {
	// limit is how long after the order an instance may get its last request.
	limit time.Duration
	mutex sync.Mutex
	// since has the zones that are evacuated.
	since map[string]time.Time
	// noted is true once a table was taken. What is evacuated in the first one may have
	// been for long.
	noted bool
}

func newEvacuations(limit time.Duration) *evacuations {
	return &evacuations{limit: limit, since: make(map[string]time.Time)}
}

// note takes a new table.
func (e *evacuations) note(table *routing.Table) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	earlier := e.since
	e.since = make(map[string]time.Time)
	for _, zone := range table.Evacuated {
		since, found := earlier[zone]
		if !found && e.noted {
			since = time.Now()
		}
		e.since[zone] = since
	}
	e.noted = true
}

// left reports whether an instance gets no more requests that others can serve as well.
func (e *evacuations) left(instance directory.Instance) bool {
	share := instanceShare(instance.ID)
	return e.over(instance.Zone, time.Duration(share*float64(min(evacuationFade, e.last()))))
}

// leftByHolder reports whether an instance gets no more requests for keys that it holds.
func (e *evacuations) leftByHolder(instance directory.Instance) bool {
	return e.over(instance.Zone, e.last())
}

// last is how long after the news the last request may be sent.
func (e *evacuations) last() time.Duration { return max(0, e.limit-evacuationMargin) }

// over reports whether a zone has been known as evacuated for a time.
func (e *evacuations) over(zone string, after time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	since, found := e.since[zone]
	return found && time.Since(since) >= after
}

// instanceShare spreads instances evenly over [0, 1), alike at each gateway.
func instanceShare(id directory.InstanceID) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return float64(hash.Sum32()) / (math.MaxUint32 + 1)
}
