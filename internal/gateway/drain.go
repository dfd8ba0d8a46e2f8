package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// drains records since when each instance has been draining. It is safe for concurrent use.
type drains struct {
	clock clock.Clock
	limit time.Duration
	mutex sync.Mutex
	// since has readings of the clock.
	since map[directory.InstanceID]time.Duration
}

func newDrains(system clock.Clock, limit time.Duration) *drains {
	return &drains{clock: system, limit: limit, since: make(map[directory.InstanceID]time.Duration)}
}

// update applies a new table.
func (d *drains) update(table *routing.Table) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if table.Whole {
		maps.DeleteFunc(d.since, func(id directory.InstanceID, _ time.Duration) bool { return !table.Knows(id) })
	}
	for _, instance := range table.Changed {
		if instance.State != directory.InstanceDraining {
			delete(d.since, instance.ID)
			continue
		}
		if _, found := d.since[instance.ID]; !found {
			d.since[instance.ID] = d.clock.Now()
		}
	}
}

// mayServe reports whether a draining instance still gets requests for keys that it holds.
func (d *drains) mayServe(instance directory.Instance) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	since, found := d.since[instance.ID]
	return found && d.clock.Now()-since < d.limit
}
