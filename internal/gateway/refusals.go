package gateway

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"
)

// refusals records which controllers refuse connections, as machines do on which no controller runs. It is safe for
// concurrent use.
type refusals struct {
	mutex sync.Mutex
	// refusedAt has the clock reading of the last refusal of each address that has accepted no connection since.
	refusedAt map[string]time.Duration
}

// attempted records how an attempt to connect to a controller ended.
func (r *refusals) attempted(address string, err error, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		delete(r.refusedAt, address)
		return
	}
	if r.refusedAt == nil {
		r.refusedAt = make(map[string]time.Duration)
	}
	r.refusedAt[address] = now
}

// byMajority returns the latest clock reading since which more than half of the controllers have refused; false if so many
// do not. Addresses that are no longer those of controllers are forgotten.
func (r *refusals) byMajority(controllers []string) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var readings []time.Duration
	for address, reading := range r.refusedAt {
		if slices.Contains(controllers, address) {
			readings = append(readings, reading)
		} else {
			delete(r.refusedAt, address)
		}
	}
	majority := len(controllers)/2 + 1
	if len(readings) < majority {
		return 0, false
	}
	slices.Sort(readings)
	return readings[len(readings)-majority], true
}
