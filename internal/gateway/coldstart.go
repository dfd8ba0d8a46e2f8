package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/warmup"
)

// coldStarts limits the requests that this gateway sends to cold instances. It is safe for concurrent use.
type coldStarts struct {
	mutex   sync.Mutex
	limiter *warmup.Limiter
}

func newColdStarts(bounds warmup.Bounds) *coldStarts {
	return &coldStarts{limiter: warmup.NewLimiter(bounds)}
}

// update applies a new table.
func (c *coldStarts) update(now time.Duration, table *routing.Table, known func(directory.InstanceID) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, instance := range table.Changed {
		service, found := table.Service(instance.Service)
		if found && service.Config.LimitsCold() && instance.State != directory.InstanceGone {
			c.limiter.Note(now, *instance, service.Config, table.Gateways, rand.Float64())
		}
	}
	c.limiter.Forget(known)
}

// cold reports whether an instance is cold.
func (c *coldStarts) cold(now time.Duration, id directory.InstanceID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.limiter.Cold(now, id)
}

// allows reports whether a request may be sent to an instance now.
func (c *coldStarts) allows(now time.Duration, id directory.InstanceID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.limiter.Allows(now, id)
}

// take is like allows, and counts the request if it may be sent.
func (c *coldStarts) take(now time.Duration, id directory.InstanceID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.limiter.Take(now, id)
}
