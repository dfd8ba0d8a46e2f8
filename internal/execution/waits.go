package execution

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/state"
)

// ownerWaits bounds, for each service, the requests that wait for an owner.
type ownerWaits struct {
	mutex  sync.Mutex
	counts map[state.ServiceName]int
}

// enter counts a request in and reports whether there was room.
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
