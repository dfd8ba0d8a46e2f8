package wire

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	failures []error
}

func (f *failing) Accept() (net.Conn, error) {
	next := f.failures[0]
	f.failures = f.failures[1:]
	if next != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", next)}
	}
	return &net.TCPConn{}, nil
}

// TestListenerOutlastsWantOfDescriptors: it accepts again once there are some; another failure
// ends it. One that found none ended the API of a leader of 9,999 servers for good.
func TestListenerOutlastsWantOfDescriptors(t *testing.T) {
	told := 0
	listener := Patient(&failing{failures: []error{syscall.EMFILE, syscall.ENFILE, nil, syscall.EINVAL}}, func(error) { told++ })
	if connection, err := listener.Accept(); err != nil || connection == nil || told != 2 {
		t.Errorf("connection %v, error %v, told %d times", connection, err, told)
	}
	if _, err := listener.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("another failure: %v", err)
	}
}
