package fleet

import (
	"net"
	"testing"
)

// TestReservedPortStaysWithItsProcess takes more ports than there may be
// clients of a busy machine: none is the reserved one, though its process is
// down, and the process listens on it each time it starts.
func TestReservedPortStaysWithItsProcess(t *testing.T) {
	var ports reservations
	defer ports.release()
	addresses, err := ports.take(1)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		listener, err := net.Listen("tcp", addresses[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		others := takeMany(t)
		for _, other := range others {
			if other.Addr().String() == addresses[0] {
				t.Fatalf("the reserved port of %s went to somebody else", addresses[0])
			}
			_ = other.Close()
		}
	}
	if connection, err := net.Dial("tcp", addresses[0]); err == nil {
		_ = connection.Close()
		t.Error("the address accepts connections though its process is down")
	}
}

func takeMany(t *testing.T) []net.Listener {
	t.Helper()
	const count = 500
	listeners := make([]net.Listener, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
	}
	return listeners
}
