package fleet

import (
	"net"
	"net/netip"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// reservations are loopback addresses whose ports the kernel chose. Each port is
// held by a socket that is bound but does not listen, for as long as the fleet
// lives: nobody else gets the port while its process is down, and the process
// may listen on it all the same.
type reservations struct {
	mutex   sync.Mutex
	sockets []int
}

// take reserves addresses.
func (r *reservations) take(count int) ([]string, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := make([]string, 0, count)
	for range count {
		socket, address, err := reserve()
		if err != nil {
			return nil, eris.Wrap(err, "ask the kernel for a port")
		}
		r.sockets = append(r.sockets, socket)
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// reserve binds a socket to a free port. The address may be shared only after
// the bind, so that the kernel gives the port to nobody who asks for any.
func reserve() (int, string, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", err
	}
	address, err := bind(socket)
	if err != nil {
		_ = unix.Close(socket)
		return 0, "", err
	}
	return socket, address, nil
}

func bind(socket int) (string, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return "", err
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return "", err
	}
	known, isIPv4 := bound.(*unix.SockaddrInet4)
	if !isIPv4 {
		return "", eris.Errorf("bound to an address of type %T", bound)
	}
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	return net.JoinHostPort(loopback.String(), strconv.Itoa(known.Port)), nil
}

// release gives every address up.
func (r *reservations) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, socket := range r.sockets {
		_ = unix.Close(socket) // nothing uses the address any more
	}
	r.sockets = nil
}
