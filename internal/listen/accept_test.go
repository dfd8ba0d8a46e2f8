package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener returns one of the given errors for each Accept, or a connection for nil.
type failingListener struct {
	net.Listener
	failures []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	next := f.failures[0]
	f.failures = f.failures[1:]
	if next != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", next)}
	}
	return &net.TCPConn{}, nil
}

// TestListenerOutlastsWantOfDescriptors checks that the listener retries when file descriptors
// run out, and that any other error is returned. Without the retry, the API of a leader with
// 9,999 servers stopped for good when it found no descriptor.
func TestListenerOutlastsWantOfDescriptors(t *testing.T) {
	failures := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, nil, syscall.EINVAL}
	failing := &failingListener{failures: failures}
	listener := &retryingListener{Listener: failing, waiting: waitingLog{log: silentLog()}}
	if connection, err := listener.Accept(); err != nil || connection == nil || len(failing.failures) != 1 {
		t.Errorf("connection %v, error %v, %d failures left", connection, err, len(failing.failures))
	}
	if _, err := listener.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("another error: %v", err)
	}
}

// TestListenerOutlastsConnectionsThatFailed guards against a server that stops for good because one connection was
// reset, or its network was down, before it was accepted.
func TestListenerOutlastsConnectionsThatFailed(t *testing.T) {
	failures := []error{
		syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ETIMEDOUT,
		syscall.ENOSPC,
	}
	for _, failure := range failures {
		t.Run(failure.Error(), func(t *testing.T) {
			failing := &failingListener{failures: []error{failure, nil}}
			listener := &retryingListener{Listener: failing, waiting: waitingLog{log: silentLog()}}
			if connection, err := listener.Accept(); err != nil || connection == nil {
				t.Errorf("connection %v, error %v", connection, err)
			}
		})
	}
}
