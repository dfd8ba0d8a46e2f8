package controller

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// instanceNews wakes the heartbeats that wait for news of their instance. Hundreds wait
// at a time while the directory changes many times a second, and most changes concern
// few instances. It is safe for concurrent use.
type instanceNews struct {
	mutex   sync.Mutex
	waiting map[directory.InstanceID]chan struct{}
}

func newInstanceNews() *instanceNews {
	return &instanceNews{waiting: make(map[directory.InstanceID]chan struct{})}
}

// Next returns a channel that is closed at the next news of an instance. It must be taken
// before what may change is read, so that no change is missed. An instance sends one
// heartbeat at a time, and the channel stays until it is closed, so that there is one at
// most for each instance.
func (n *instanceNews) Next(id directory.InstanceID) <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	waiting, found := n.waiting[id]
	if !found {
		waiting = make(chan struct{})
		n.waiting[id] = waiting
	}
	return waiting
}

// Applied wakes those whom an applied command concerns.
func (n *instanceNews) Applied(command directory.Command) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.applied(command)
}

func (n *instanceNews) applied(command directory.Command) {
	for _, each := range command.Batch {
		n.applied(each)
	}
	for _, instance := range command.Instances {
		n.wake(instance.ID)
	}
	if command.Layout != nil {
		// Keys that an instance is to let go are still its own, marked as revoked. Those
		// that are free were let go, or their owner's lease has ended: it has no news.
		for _, holding := range command.Layout.Changed {
			n.wake(holding.Owner)
		}
	}
	if command.Zone != nil {
		// The instances of the zone are to let their keys go.
		n.wakeAll()
	}
	if command.Patch != nil {
		// A service may have changed its way.
		n.wakeAll()
	}
}

// RaiseAll wakes all.
func (n *instanceNews) RaiseAll() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.wakeAll()
}

func (n *instanceNews) wake(id directory.InstanceID) {
	if waiting, found := n.waiting[id]; found {
		close(waiting)
		delete(n.waiting, id)
	}
}

func (n *instanceNews) wakeAll() {
	for id := range n.waiting {
		n.wake(id)
	}
}
