// Package broadcast wakes any number of goroutines that wait for a change.
package broadcast

import "sync"

// Broadcast notifies waiting goroutines of changes. It is safe for concurrent use.
type Broadcast struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// New returns a Broadcast on which no change has been raised yet.
func New() *Broadcast { return &Broadcast{changed: make(chan struct{})} }

// Next returns a channel that is closed at the next change. Call it before
// reading the data that may change; otherwise a change in between is missed.
func (b *Broadcast) Next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// Raise wakes every goroutine that waits on a channel returned by Next.
func (b *Broadcast) Raise() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}
