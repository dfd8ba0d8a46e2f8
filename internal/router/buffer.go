package router

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// buffer bounds, for each service, the requests that wait for an owner.
type buffer struct {
	mutex   sync.Mutex
	waiting map[state.ServiceName]int
}

func newBuffer() *buffer {
	return &buffer{waiting: make(map[state.ServiceName]int)}
}

// enter counts a request in once, and reports whether there was room.
func (b *buffer) enter(exchange *Exchange, now time.Duration) bool {
	if exchange.history.Waiting {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	name := exchange.service.Name
	if b.waiting[name] >= exchange.service.QueueLimit {
		return false
	}
	b.waiting[name]++
	exchange.history.Waiting = true
	exchange.history.WaitingSince = now
	return true
}

// leave counts a request out if it was counted in.
func (b *buffer) leave(exchange *Exchange) {
	if !exchange.history.Waiting {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	name := exchange.service.Name
	b.waiting[name]--
	if b.waiting[name] == 0 {
		delete(b.waiting, name)
	}
}

// total returns the number of waiting requests.
func (b *buffer) total() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := 0
	for _, count := range b.waiting {
		total += count
	}
	return total
}
