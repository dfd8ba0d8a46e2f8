package forward

import (
	"net"
	"sync"
)

// Interrupt aborts an attempt from another goroutine by closing its connection; most
// back ends then stop working on the request. The zero value is ready for use.
type Interrupt struct {
	mutex      sync.Mutex
	fired      bool
	connection net.Conn
}

// Fire aborts the running attempt and makes later ones fail before they are sent.
func (i *Interrupt) Fire() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.fired = true
	if i.connection != nil {
		_ = i.connection.Close() // the attempt fails regardless of the result
	}
}

// Fired reports whether Fire was called.
func (i *Interrupt) Fired() bool {
	if i == nil {
		return false
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.fired
}

// attach sets the connection of an attempt that starts. It reports false if Fire was
// called before.
func (i *Interrupt) attach(connection net.Conn) bool {
	if i == nil {
		return true
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.fired {
		return false
	}
	i.connection = connection
	return true
}

// detach clears the connection after the attempt. It reports false if Fire was called.
func (i *Interrupt) detach() bool {
	if i == nil {
		return true
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.connection = nil
	return !i.fired
}
