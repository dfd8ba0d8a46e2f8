package admission

import "sync"

// Limiter bounds the requests in flight, in total and for each service.
type Limiter struct {
	mutex      sync.Mutex
	total      int
	totalBound int
	services   map[string]int
}

// NewLimiter returns a limiter with the given bound on the total requests in flight.
func NewLimiter(bound int) *Limiter {
	return &Limiter{totalBound: bound, services: make(map[string]int)}
}

// Enter counts a request if it is within both bounds, and reports whether it is. A service bound of
// zero sets none.
func (l *Limiter) Enter(service string, bound int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.total >= l.totalBound {
		return false
	}
	if bound > 0 && l.services[service] >= bound {
		return false
	}
	l.total++
	l.services[service]++
	return true
}

// Leave must be called when a request that entered ends.
func (l *Limiter) Leave(service string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.total--
	l.services[service]--
	if l.services[service] == 0 {
		delete(l.services, service)
	}
}

// Total returns the number of requests in flight.
func (l *Limiter) Total() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}
