package controller

import (
	"sync"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// instanceNotifier wakes heartbeats that wait for a change of their instance. Hundreds wait at a time while
// the directory changes many times a second, and most changes concern few instances. It is safe for concurrent
// use.
type instanceNotifier struct {
	mutex   sync.Mutex
	waiting map[directory.InstanceID]chan struct{}
}

func newInstanceNotifier() *instanceNotifier {
	return &instanceNotifier{waiting: make(map[directory.InstanceID]chan struct{})}
}

// Next returns a channel that is closed at the next change of an instance. The caller must obtain it before it
// reads the state, so that no change is missed. An instance sends one heartbeat at a time, and the channel is
// kept until it is closed, so there is at most one per instance.
func (n *instanceNotifier) Next(id directory.InstanceID) <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	waiting, found := n.waiting[id]
	if !found {
		waiting = make(chan struct{})
		n.waiting[id] = waiting
	}
	return waiting
}

// NotifyCommand wakes the instances that an applied command concerns.
func (n *instanceNotifier) NotifyCommand(command directory.Command) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.notifyCommandLocked(command)
}

func (n *instanceNotifier) notifyCommandLocked(command directory.Command) {
	for _, each := range command.Batch {
		n.notifyCommandLocked(each)
	}
	for _, instance := range command.Instances {
		n.wake(instance.ID)
	}
	if command.Layout != nil {
		// Keys that an instance must release still name it as owner and are marked as revoked. Free
		// keys were released, or the lease of their owner has expired: no instance needs to be notified.
		for _, holding := range command.Layout.Changed {
			n.wake(holding.Owner)
		}
	}
	if command.Zone != nil {
		// The instances of the zone must release their keys.
		n.wakeAll()
	}
	if command.Patch != nil {
		// The settings of a service may have changed.
		n.wakeAll()
	}
}

// NotifyAll wakes all waiting heartbeats.
func (n *instanceNotifier) NotifyAll() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.wakeAll()
}

func (n *instanceNotifier) wake(id directory.InstanceID) {
	if waiting, found := n.waiting[id]; found {
		close(waiting)
		delete(n.waiting, id)
	}
}

func (n *instanceNotifier) wakeAll() {
	for id := range n.waiting {
		n.wake(id)
	}
}
