package wire

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// descriptorRetryDelay is the wait after an accept failed for lack of file descriptors: with
// short-lived connections, some are closed within it.
const descriptorRetryDelay = 20 * time.Millisecond

// retryingListener retries an accept that failed for lack of file descriptors.
type retryingListener struct {
	net.Listener
	onRetry func(error)
}

// Patient returns a listener that waits and retries while no file descriptors are left; a
// server would otherwise stop for good. It calls failed with the error of each such attempt.
func Patient(listener net.Listener, failed func(error)) net.Listener {
	return retryingListener{Listener: listener, onRetry: failed}
}

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err == nil || !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return connection, err
		}
		l.onRetry(err)
		time.Sleep(descriptorRetryDelay)
	}
}
