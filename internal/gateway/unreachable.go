package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// unreachablePause is how long an instance to which a connection failed gets no requests: about as long as an
// attempt to connect takes. After it, one request probes the instance; meanwhile the controllers give a
// holder's keys to another instance.
const unreachablePause = 400 * time.Millisecond

// unreachable records the instances to which a connection failed, and bounds how often they are tried again:
// requests that need such an instance are rejected at once, and others are sent elsewhere, even if so many
// instances failed that the balancer ejects none. It is safe for concurrent use.
type unreachable struct {
	// none is true while all instances are reachable, which is nearly always; requests then take no lock.
	none        atomic.Bool
	mutex       sync.Mutex
	pausedUntil map[directory.InstanceID]time.Duration
	// lostSince is when most instances became unreachable; zero while most are reachable.
	lostSince time.Duration
}

func newUnreachable() *unreachable {
	u := &unreachable{pausedUntil: make(map[directory.InstanceID]time.Duration)}
	u.none.Store(true)
	return u
}

// record notes that a connection to an instance failed.
func (u *unreachable) record(now time.Duration, id directory.InstanceID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.pausedUntil[id] = now + unreachablePause
	u.none.Store(false)
}

// markReachable removes the record of an instance that answered.
func (u *unreachable) markReachable(id directory.InstanceID) {
	if u.none.Load() {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.pausedUntil, id)
	u.none.Store(len(u.pausedUntil) == 0)
}

// paused reports whether an instance gets no requests now.
func (u *unreachable) paused(now time.Duration, id directory.InstanceID) bool {
	if u.none.Load() {
		return false
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return now < u.pausedUntil[id]
}

// mayAsk reports whether a request may be sent to an instance now. The first request after the pause starts
// another pause, so that the next ones do not wait for the same connection attempt.
func (u *unreachable) mayAsk(now time.Duration, id directory.InstanceID) bool {
	if u.none.Load() {
		return true
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	until, found := u.pausedUntil[id]
	if !found {
		return true
	}
	if now < until {
		return false
	}
	u.pausedUntil[id] = now + unreachablePause
	return true
}

// forget drops the instances that are no longer known.
func (u *unreachable) forget(known func(directory.InstanceID) bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for id := range u.pausedUntil {
		if !known(id) {
			delete(u.pausedUntil, id)
		}
	}
	u.none.Store(len(u.pausedUntil) == 0)
}

// count returns the number of unreachable instances.
func (u *unreachable) count() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.pausedUntil)
}

// updateLost records whether most of the known instances are unreachable. It reports whether that changed, and
// since when most were unreachable.
func (u *unreachable) updateLost(now time.Duration, known int) (most, changed bool, since time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	most = known > 0 && 2*len(u.pausedUntil) > known
	since = u.lostSince
	switch {
	case most && since == 0:
		u.lostSince = now
		return true, true, now
	case !most && since != 0:
		u.lostSince = 0
		return false, true, since
	default:
		return most, false, since
	}
}
