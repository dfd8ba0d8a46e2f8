package fleet

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// reservations are loopback addresses whose ports the kernel chose. Each is held
// open until its process starts, so that nothing else gets it meanwhile.
type reservations struct {
	mutex sync.Mutex
	held  map[string]net.Listener
}

func newReservations() *reservations {
	return &reservations{held: make(map[string]net.Listener)}
}

// take reserves addresses.
func (r *reservations) take(count int) ([]string, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "ask the kernel for a port")
		}
		address := listener.Addr().String()
		r.held[address] = listener
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// release gives addresses up to the process that starts next. Addresses that
// are not held are passed over.
func (r *reservations) release(addresses ...string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, address := range addresses {
		listener, found := r.held[address]
		if !found {
			continue
		}
		delete(r.held, address)
		if err := listener.Close(); err != nil {
			return eris.Wrapf(err, "release %s", address)
		}
	}
	return nil
}

// releaseAll gives up what is left.
func (r *reservations) releaseAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, listener := range r.held {
		delete(r.held, address)
		// Nothing uses the address any more.
		_ = listener.Close()
	}
}
