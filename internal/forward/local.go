package forward

import (
	"errors"
	"syscall"
)

// localErrors are the errors of a dial whose cause is this machine: descriptors, ports, buffers or memory are lacking.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

// IsLocal reports whether no connection was opened because this machine lacks what it takes, which says nothing of the
// other end.
func IsLocal(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
