package records

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// linkFaults silently drops what routers send each other over links that are cut. The
// controllers, played by the harness, reach every router all the time.
type linkFaults struct {
	mutex sync.Mutex
	// listeners maps each address to the router that listens on it.
	listeners map[string]state.RouterID
	// isolated holds the routers that neither reach other routers nor are reached by them.
	isolated map[state.RouterID]bool
}

func newLinkFaults() *linkFaults {
	return &linkFaults{listeners: make(map[string]state.RouterID), isolated: make(map[state.RouterID]bool)}
}

func (c *linkFaults) addListener(address string, id state.RouterID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listeners[address] = id
}

func (c *linkFaults) setIsolated(id state.RouterID, isolated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isolated[id] = isolated
}

func (c *linkFaults) isCut(from state.RouterID, address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isolated[from] || c.isolated[c.listeners[address]]
}

// dialer returns the function with which a router opens connections.
func (c *linkFaults) dialer(from state.RouterID) wire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &cutConnection{Conn: connection, cut: func() bool { return c.isCut(from, address) }}, nil
	}
}

// cutConnection drops what is written while its link is cut.
type cutConnection struct {
	net.Conn
	cut func() bool
}

// Write implements net.Conn.
func (c *cutConnection) Write(bytes []byte) (int, error) {
	if c.cut() {
		return len(bytes), nil
	}
	return c.Conn.Write(bytes)
}

// TestKeysOfAPrimaryThatOthersDoNotReachAreServedByItsBackup cuts a primary off from all
// other routers while the controllers still receive its pings.
func TestKeysOfAPrimaryThatOthersDoNotReachAreServedByItsBackup(t *testing.T) {
	h := newHarness(t, 3)
	key, answered := h.newKey(), h.newKey()
	for h.placed(answered).Primary != h.placed(key).Primary {
		answered = h.newKey()
	}
	placed := h.placed(key)
	entry := h.member(placed.Backup)
	claim, granted := h.claim(entry, answered)
	if granted.Verdict != record.Granted {
		t.Fatalf("first claim: %s", granted.Verdict)
	}
	kept := &record.Answer{Status: 201, Body: []byte("own")}
	if !entry.service.Complete(context.Background(), record.Completion{Claim: claim, Status: record.Completed, Answer: kept}) {
		t.Fatal("completion not recorded")
	}
	h.links.setIsolated(placed.Primary, true)
	if _, answer := h.claim(entry, key); answer.Verdict != record.Granted {
		t.Errorf("a new request through the backup: %s", answer.Verdict)
	}
	if _, answer := h.claim(entry, answered); answer.Verdict != record.AnswerKept {
		t.Errorf("a resend through the backup: %s", answer.Verdict)
	}
	if h.placed(key).LostBefore != 0 {
		t.Error("records count as lost although the backup had them")
	}
	h.links.setIsolated(placed.Primary, false)
	back := h.member(placed.Primary)
	if _, answer := h.claim(back, key); answer.Verdict != record.InProgress {
		t.Errorf("a resend through the old primary after it reconnected: %s", answer.Verdict)
	}
}

// TestRouterThatJoinsTakesNoCopyFromACutOffPrimary guards against the loss of the only reachable copy:
// while a primary cannot reach its backup, a joining router must not replace the backup, because it could
// not receive the records. The backup's complete copy serves the keys once the primary counts as cut off.
func TestRouterThatJoinsTakesNoCopyFromACutOffPrimary(t *testing.T) {
	h := newHarness(t, 2)
	primary := h.state.Partitions()[0].Primary
	backup := h.member(h.state.Partitions()[0].Backup)
	var keys []record.Key
	for _, placed := range h.state.Partitions() {
		key := h.newKey()
		for h.placed(key).Number != placed.Number {
			key = h.newKey()
		}
		if placed.Primary == primary {
			keys = append(keys, key)
		}
	}
	h.links.setIsolated(primary, true)
	h.await("the report of the backup", func() bool { return len(backup.service.prober.unreachable()) > 0 })
	h.members = append(h.members, h.start("router-2", "first"))
	for _, key := range keys {
		if _, answer := h.claim(backup, key); answer.Verdict != record.Granted {
			t.Errorf("a new request through the backup: %s", answer.Verdict)
		}
	}
}
