package controller

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// tableHistory keeps the newest deltas of the routing table, so that a router
// that reconnects gets what it missed. It is safe for concurrent use.
type tableHistory struct {
	mutex  sync.Mutex
	limit  int
	deltas []message.TableDelta
	// newest is the revision after the last delta.
	newest state.Revision
	// changed is closed and replaced whenever a delta is added.
	changed chan struct{}
}

func newTableHistory(limit int, newest state.Revision) *tableHistory {
	return &tableHistory{limit: limit, newest: newest, changed: make(chan struct{})}
}

func (h *tableHistory) add(delta message.TableDelta) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.deltas = append(h.deltas, delta)
	if len(h.deltas) > h.limit {
		h.deltas = append([]message.TableDelta(nil), h.deltas[len(h.deltas)-h.limit/2:]...)
	}
	h.newest = delta.To
	h.signal()
}

// reset forgets every delta, as after a snapshot from the leader.
func (h *tableHistory) reset(newest state.Revision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.deltas = nil
	h.newest = newest
	h.signal()
}

func (h *tableHistory) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// after returns the deltas that lead on from a revision, and a channel that is
// closed at the next change. It returns false when the history does not reach
// back to the revision.
func (h *tableHistory) after(revision state.Revision) ([]message.TableDelta, <-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if revision == h.newest {
		return nil, h.changed, true
	}
	for position, delta := range h.deltas {
		if delta.From == revision {
			return h.deltas[position:len(h.deltas):len(h.deltas)], h.changed, true
		}
	}
	return nil, h.changed, false
}
