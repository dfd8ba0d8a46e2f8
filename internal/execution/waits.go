package execution

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/state"
)

// ownerWaits limits the number of requests per service that wait for an owner.
type ownerWaits struct {
	mutex  sync.Mutex
	counts map[state.ServiceName]int
}

// enter counts a waiting request and reports whether the service's limit allows it.
func (w *ownerWaits) enter(service *state.Service) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.counts[service.Name] >= service.QueueLimit {
		return false
	}
	w.counts[service.Name]++
	return true
}

func (w *ownerWaits) leave(service *state.Service) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts[service.Name]--
	if w.counts[service.Name] == 0 {
		delete(w.counts, service.Name)
	}
}

func (w *ownerWaits) total() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return total
}
