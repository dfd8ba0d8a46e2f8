package controller

import (
	"cmp"
	"slices"
	"sync"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// tableChange is one delta of the routing table. It is encoded once, by the
// first stream that sends it.
type tableChange struct {
	delta message.TableDelta
	once  sync.Once
	frame wire.Frame
	err   error
}

func (c *tableChange) encoded() (wire.Frame, error) {
	c.once.Do(func() { c.frame, c.err = wire.Encode(&message.ControllerFrame{Delta: &c.delta}) })
	return c.frame, c.err
}

// tableHistory keeps the newest changes of the routing table, so that a router
// that reconnects gets what it missed. It is safe for concurrent use.
type tableHistory struct {
	mutex   sync.Mutex
	limit   int
	changes []*tableChange
	// newest is the revision after the last change.
	newest state.Revision
	// changed is closed and replaced whenever a change is added.
	changed chan struct{}
}

func newTableHistory(limit int, newest state.Revision) *tableHistory {
	return &tableHistory{limit: limit, newest: newest, changed: make(chan struct{})}
}

func (h *tableHistory) add(delta message.TableDelta) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = append(h.changes, &tableChange{delta: delta})
	if len(h.changes) > h.limit {
		h.changes = slices.Clone(h.changes[len(h.changes)-h.limit/2:])
	}
	h.newest = delta.To
	h.signal()
}

// reset forgets every change, as after a snapshot from the leader.
func (h *tableHistory) reset(newest state.Revision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = nil
	h.newest = newest
	h.signal()
}

func (h *tableHistory) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// after returns the changes that lead on from a revision, and a channel that is
// closed at the next change. It returns false when the history does not reach
// back to the revision.
func (h *tableHistory) after(revision state.Revision) ([]*tableChange, <-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if revision == h.newest {
		return nil, h.changed, true
	}
	position, found := slices.BinarySearchFunc(h.changes, revision, func(change *tableChange, from state.Revision) int {
		return cmp.Compare(change.delta.From, from)
	})
	if !found {
		return nil, h.changed, false
	}
	return h.changes[position:len(h.changes):len(h.changes)], h.changed, true
}

// reaches reports whether the history leads on from a revision.
func (h *tableHistory) reaches(revision state.Revision) bool {
	_, _, reached := h.after(revision)
	return reached
}
