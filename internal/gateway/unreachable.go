package gateway

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// unreachablePause is how long a holder to which no connection could be made gets no
// requests: about what an attempt to connect lasts. After it one request finds out whether
// the holder is back; the controllers give its keys to another one meanwhile.
const unreachablePause = 400 * time.Millisecond

// unreachable remembers the holders to which no connection could be made. Only they could
// run the requests for their keys, so that these are rejected at once: each would wait for
// the same connection. It is safe for concurrent use.
type unreachable struct {
	mutex sync.Mutex
	until map[directory.InstanceID]time.Duration
}

func newUnreachable() *unreachable {
	return &unreachable{until: make(map[directory.InstanceID]time.Duration)}
}

// note takes that no connection to a holder could be made.
func (u *unreachable) note(now time.Duration, id directory.InstanceID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.until[id] = now + unreachablePause
}

// reached takes that a holder answered.
func (u *unreachable) reached(id directory.InstanceID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.until, id)
}

// mayAsk reports whether a holder may get a request now. The first request after the pause
// begins another one, so that the next ones do not wait for the same connection.
func (u *unreachable) mayAsk(now time.Duration, id directory.InstanceID) bool {
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
}
