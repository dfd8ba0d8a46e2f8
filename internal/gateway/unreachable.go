package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// unreachablePause is how long an instance to which no connection could be made gets no
// requests: about what an attempt to connect lasts. After it one request finds out whether
// the instance is back; the controllers give a holder's keys to another one meanwhile.
const unreachablePause = 400 * time.Millisecond

// unreachable remembers the instances to which no connection could be made, and bounds how often
// another one is tried: requests that need that instance are rejected at once, others go elsewhere,
// also where so many are gone that the balancer ejects none. It is safe for concurrent use.
type unreachable struct {
	// none is true while all can be reached, which is nearly always: requests take no lock then.
	none  atomic.Bool
	mutex sync.Mutex
	until map[directory.InstanceID]time.Duration
}

func newUnreachable() *unreachable {
	u := &unreachable{until: make(map[directory.InstanceID]time.Duration)}
	u.none.Store(true)
	return u
}

// note takes that no connection to an instance could be made.
func (u *unreachable) note(now time.Duration, id directory.InstanceID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.until[id] = now + unreachablePause
	u.none.Store(false)
}

// reached takes that an instance answered.
func (u *unreachable) reached(id directory.InstanceID) {
	if u.none.Load() {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.until, id)
	u.none.Store(len(u.until) == 0)
}

// paused reports whether an instance gets no requests now.
func (u *unreachable) paused(now time.Duration, id directory.InstanceID) bool {
	if u.none.Load() {
		return false
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return now < u.until[id]
}

// mayAsk reports whether an instance may get a request now. The first request after the pause
// begins another one, so that the next ones do not wait for the same connection.
func (u *unreachable) mayAsk(now time.Duration, id directory.InstanceID) bool {
	if u.none.Load() {
		return true
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	until, found := u.until[id]
	if !found {
		return true
	}
	if now < until {
		return false
	}
	u.until[id] = now + unreachablePause
	return true
}

// forget drops the instances that are not among those known.
func (u *unreachable) forget(known func(directory.InstanceID) bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for id := range u.until {
		if !known(id) {
			delete(u.until, id)
		}
	}
	u.none.Store(len(u.until) == 0)
}
