package gateway

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// drains remembers since when each instance drains. It is safe for concurrent use.
type drains struct {
	allowed time.Duration
	mutex   sync.Mutex
	since   map[directory.InstanceID]time.Time
}

func newDrains(allowed time.Duration) *drains {
	return &drains{allowed: allowed, since: make(map[directory.InstanceID]time.Time)}
}

// note takes a new table.
func (d *drains) note(table *routing.Table) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	earlier := d.since
	d.since = make(map[directory.InstanceID]time.Time)
	for _, name := range table.Services() {
		service, _ := table.Service(name)
		for _, instance := range service.Instances {
			if instance.State != directory.InstanceDraining {
				continue
			}
			since, found := earlier[instance.ID]
			if !found {
				since = time.Now()
			}
			d.since[instance.ID] = since
		}
	}
}

// mayServe reports whether a draining instance still gets requests for keys that
// it holds.
func (d *drains) mayServe(instance directory.Instance) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	since, found := d.since[instance.ID]
	return found && time.Since(since) < d.allowed
}
