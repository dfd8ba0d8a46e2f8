package wire

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestConnectionsEndOnSilence checks the socket option itself, which NewConn sets on both
// sides of a connection, since the loopback interface cannot lose packets. Without it,
// a connection whose peer is gone keeps sent bytes until the kernel gives up after many minutes.
func TestConnectionsEndOnSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection := NewConn(near, Options{})
	defer connection.Close()
	raw, err := near.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	set := 0
	if err := raw.Control(func(descriptor uintptr) {
		set, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || time.Duration(set)*time.Millisecond != SilenceTimeout {
		t.Errorf("the timeout is %d ms, %v", set, err)
	}
}
