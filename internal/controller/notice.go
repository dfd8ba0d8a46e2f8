package controller

import "sync"

// notice tells any number of waiters that something changed. It is safe for
// concurrent use.
type notice struct {
	mutex   sync.Mutex
	changed chan struct{}
}

func newNotice() *notice {
	return &notice{changed: make(chan struct{})}
}

// next returns a channel that is closed at the next change. It must be taken
// before what may change is read.
func (n *notice) next() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.changed
}

// raise tells of a change.
func (n *notice) raise() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}
