// Package broadcast wakes any number of goroutines that wait for a change.
package broadcast

import "sync"

// Broadcast is safe for concurrent use.
type Broadcast struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// New returns a broadcast that has told of nothing yet.
func New() *Broadcast { return &Broadcast{changed: make(chan struct{})} }

// Next returns a channel that is closed at the next change. It must be taken before
// what may change is read, so that no change is missed.
func (b *Broadcast) Next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// Raise tells of a change.
func (b *Broadcast) Raise() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}
