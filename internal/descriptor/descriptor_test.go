package descriptor

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

func TestShares(t *testing.T) {
	for limit, want := range map[int]Shares{
		0:       {},
		16:      {Accepted: 4, Clients: 2},
		39:      {Accepted: 9, Clients: 4},
		64:      {Accepted: 32, Clients: 16},
		256:     {Accepted: 224, Clients: 112},
		1024:    {Accepted: 938, Clients: 588},
		4096:    {Accepted: 3754, Clients: 3404},
		4100:    {Accepted: 3758, Clients: 3408},
		16384:   {Accepted: 15018, Clients: 13707},
		1 << 20: {Accepted: 961194, Clients: 877308},
	} {
		if got := Divide(limit); got != want {
			t.Errorf("of %d descriptors: %+v, want %+v", limit, got, want)
		}
	}
}

func TestSharesAreWithinTheLimit(t *testing.T) {
	for limit := range 20000 {
		shares, next := Divide(limit), Divide(limit+1)
		if shares.Clients > shares.Accepted || shares.Accepted > limit || next.Clients < shares.Clients || next.Accepted < shares.Accepted {
			t.Fatalf("of %d descriptors: %+v, of one more: %+v", limit, shares, next)
		}
	}
}

// TestForwardingLeavesDescriptorsToBackEnds: 4,096 descriptors are enough for the default max_connections of a gateway,
// 2,048.
func TestForwardingLeavesDescriptorsToBackEnds(t *testing.T) {
	for limit, want := range map[int]Shares{
		39: {Accepted: 6, Clients: 4}, 1024: {Accepted: 656, Clients: 515}, 4096: {Accepted: 2627, Clients: 2064},
	} {
		if got := DivideForwarding(limit); got != want {
			t.Errorf("of %d descriptors: %+v, want %+v", limit, got, want)
		}
	}
}

func TestBudgetCountsClientsAndPeersTogether(t *testing.T) {
	clients, peers := 0, 0
	budget := Budget{
		Bound: 10, Divide: func(int) Shares { return Shares{Accepted: 5, Clients: 3} },
		Clients: func() int { return clients }, Peers: func() int { return peers },
	}
	for _, c := range []struct {
		clients, peers           int
		admitsClient, admitsPeer bool
	}{
		{0, 0, true, true}, {2, 2, true, true}, {3, 1, false, true}, {3, 2, false, false}, {1, 4, false, false}, {0, 5, false, false}, {0, 6, false, false},
	} {
		clients, peers = c.clients, c.peers
		if client, peer := clients < budget.ClientPlaces(), budget.AdmitsPeer(); client != c.admitsClient || peer != c.admitsPeer {
			t.Errorf("beside %d clients and %d peers: client %t, peer %t", clients, peers, client, peer)
		}
	}
}

func TestLimit(t *testing.T) {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil {
		t.Fatal(err)
	}
	if got := Limit(0); uint64(got) > own.Cur {
		t.Errorf("limit %d is above that of the process, %d", got, own.Cur)
	}
	if got := Limit(5); got != 5 {
		t.Errorf("limit %d, want the bound, 5", got)
	}
}

func TestExhausted(t *testing.T) {
	for err, want := range map[error]bool{
		&os.PathError{Op: "open", Err: syscall.EMFILE}: true, &os.PathError{Op: "open", Err: syscall.ENFILE}: true,
		&os.PathError{Op: "open", Err: syscall.EIO}: false, nil: false,
	} {
		if got := Exhausted(err); got != want {
			t.Errorf("%v: %t", err, got)
		}
	}
	if !Exhausted(fmt.Errorf("save: %w", syscall.EMFILE)) {
		t.Error("a wrapped error is not recognized")
	}
}

func TestBoundListenerClosesConnectionsBeyondTheShare(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	asked := 0
	listener := Bound(inner, func() bool { asked++; return asked > 1 })
	refused := dial(t, inner.Addr().String())
	admitted := dial(t, inner.Addr().String())
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if accepted.RemoteAddr().String() != admitted.LocalAddr().String() {
		t.Errorf("accepted %s, want %s", accepted.RemoteAddr(), admitted.LocalAddr())
	}
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("the connection beyond the share is open")
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}
