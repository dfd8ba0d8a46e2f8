package admission

import "sync"

// Limiter bounds the requests in flight in all and for each service.
type Limiter struct {
	mutex    sync.Mutex
	total    int
	bound    int
	services map[string]int
}

// NewLimiter returns a limiter with the given bound on all requests in flight.
func NewLimiter(bound int) *Limiter {
	return &Limiter{bound: bound, services: make(map[string]int)}
}

// Enter counts a request in and reports whether it was within both bounds. A
// service bound of zero sets none.
func (l *Limiter) Enter(service string, bound int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.total >= l.bound {
		return false
	}
	if bound > 0 && l.services[service] >= bound {
		return false
	}
	l.total++
	l.services[service]++
	return true
}

// Leave counts a request out.
func (l *Limiter) Leave(service string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.total--
	l.services[service]--
	if l.services[service] == 0 {
		delete(l.services, service)
	}
}

// Total returns the requests in flight.
func (l *Limiter) Total() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}
