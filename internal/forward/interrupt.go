package forward

import (
	"net"
	"sync"
)

// Interrupt gives an attempt up from another goroutine, by closing its connection:
// most back ends then stop work on the request. The zero value is ready for use.
type Interrupt struct {
	mutex sync.Mutex
	fired bool
	open  net.Conn
}

// Fire gives up the attempt that runs and refuses later ones.
func (i *Interrupt) Fire() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.fired = true
	if i.open != nil {
		_ = i.open.Close() // the attempt fails in any case
	}
}

// Fired reports whether the attempt was given up.
func (i *Interrupt) Fired() bool {
	if i == nil {
		return false
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.fired
}

// attach names the connection of the attempt that begins. It reports false if the
// attempt was given up before.
func (i *Interrupt) attach(connection net.Conn) bool {
	if i == nil {
		return true
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.fired {
		return false
	}
	i.open = connection
	return true
}

// detach ends the attempt. It reports false if the attempt was given up.
func (i *Interrupt) detach() bool {
	if i == nil {
		return true
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.open = nil
	return !i.fired
}
