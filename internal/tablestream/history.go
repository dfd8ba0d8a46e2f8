package tablestream

import (
	"cmp"
	"slices"
	"sync"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Change is one delta of the routing table.
type Change struct {
	// Delta must not be modified.
	Delta message.TableDelta
	// Differences holds the XOR difference of each changed section's digest.
	Differences state.SectionDigests

	once  sync.Once
	frame wire.Frame
	err   error
}

// Encoded returns the change as a frame for routers. The first call encodes it;
// all streams share the result.
func (c *Change) Encoded() (wire.Frame, error) {
	c.once.Do(func() { c.frame, c.err = wire.Encode(&message.ControllerFrame{Delta: &c.Delta}) })
	return c.frame, c.err
}

// History keeps the latest changes of the routing table, so that a router that
// reconnects gets the changes that it missed. It is safe for concurrent use.
type History struct {
	mutex   sync.Mutex
	limit   int
	changes []*Change
	// newest is the revision after the last change.
	newest state.Revision
	// changed is closed and replaced whenever a change is added.
	changed chan struct{}
}

// NewHistory returns an empty history that begins at a revision and keeps at most
// limit changes.
func NewHistory(limit int, newest state.Revision) *History {
	return &History{limit: limit, newest: newest, changed: make(chan struct{})}
}

// Apply applies the command of a log entry to the state and records the change of
// the routing table. The caller must synchronize access to the state.
func (h *History) Apply(to *state.State, index uint64, command state.Command) state.Result {
	previous := to.Revision()
	result := to.Apply(index, command)
	if len(result.Changed) > 0 {
		h.add(message.TableDelta{
			From: previous, To: to.Revision(), Objects: result.Changed, Digest: to.Digest(),
		}, result.Differences)
	}
	return result
}

func (h *History) add(delta message.TableDelta, differences state.SectionDigests) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = append(h.changes, &Change{Delta: delta, Differences: differences})
	if len(h.changes) > h.limit {
		h.changes = slices.Clone(h.changes[len(h.changes)-h.limit/2:])
	}
	h.newest = delta.To
	h.signal()
}

// Reset discards all changes, e.g. after a snapshot from the leader was installed.
func (h *History) Reset(newest state.Revision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = nil
	h.newest = newest
	h.signal()
}

func (h *History) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// After returns the changes since a revision and a channel that is closed at the
// next change. It returns false if the history does not reach back to the
// revision.
func (h *History) After(revision state.Revision) ([]*Change, <-chan struct{}, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if revision == h.newest {
		return nil, h.changed, true
	}
	position, found := slices.BinarySearchFunc(h.changes, revision, func(change *Change, from state.Revision) int {
		return cmp.Compare(change.Delta.From, from)
	})
	if !found {
		return nil, h.changed, false
	}
	return h.changes[position:len(h.changes):len(h.changes)], h.changed, true
}

// Reaches reports whether the history has all changes since a revision.
func (h *History) Reaches(revision state.Revision) bool {
	_, _, reached := h.After(revision)
	return reached
}
