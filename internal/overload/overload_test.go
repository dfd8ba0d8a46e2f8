package overload

import (
	"testing"
	"time"
)

// testClient is a client whose state is set by the test.
type testClient struct {
	busy    bool
	evicted bool
}

func (c *testClient) Stalled(Phase) bool { return !c.busy }
func (c *testClient) Evict(Phase)        { c.evicted = true }

const (
	mebibyte = 1 << 20
	long     = time.Minute
)

func open(t *testing.T, budget *Budget, now time.Duration) (*Connection, *testClient) {
	t.Helper()
	client := &testClient{}
	opened := budget.Open(now, client)
	if opened == nil {
		t.Fatal("the connection was refused")
	}
	return opened, client
}

func TestMemoryIsReservedUpToTheLimit(t *testing.T) {
	budget := NewBudget(Limits{ConnectionBytes: TypicalConnectionBytes, Bytes: mebibyte, Connections: 10})
	first, _ := open(t, budget, 0)
	if !first.Reserve(0, mebibyte-TypicalConnectionBytes) || first.Reserve(0, 1) {
		t.Errorf("used %d", budget.Used())
	}
	first.Release()
	if budget.Used() != TypicalConnectionBytes {
		t.Errorf("used %d after the release", budget.Used())
	}
	first.Close()
	first.Close()
	if budget.Used() != 0 || budget.Peak() != mebibyte+1 {
		t.Errorf("used %d, peak %d", budget.Used(), budget.Peak())
	}
}

func TestStalledBodyGivesWay(t *testing.T) {
	budget := NewBudget(Limits{ConnectionBytes: TypicalConnectionBytes, Bytes: mebibyte, Connections: 10})
	stalled, stalledClient := open(t, budget, 0)
	moving, movingClient := open(t, budget, 0)
	unread, unreadClient := open(t, budget, 0)
	serving, servingClient := open(t, budget, 0)
	for _, each := range []*Connection{stalled, moving, unread} {
		each.Enter(0, Reading)
		each.Reserve(0, mebibyte/5)
	}
	serving.Enter(0, Serving)
	serving.Reserve(0, mebibyte/5)
	unreadClient.busy = true
	moving.Passed(long, progressBytes)
	last, _ := open(t, budget, long)
	last.Enter(long, Reading)
	if last.Reserve(long, mebibyte/4) {
		t.Fatal("reserved beyond the limit")
	}
	if !stalledClient.evicted || movingClient.evicted || unreadClient.evicted || servingClient.evicted {
		t.Errorf("evicted: stalled %t, moving %t, unread %t, serving %t",
			stalledClient.evicted, movingClient.evicted, unreadClient.evicted, servingClient.evicted)
	}
	if stalled.Enter(long, Serving) {
		t.Error("an evicted connection goes on")
	}
	stalled.Close()
	if !last.Reserve(long, mebibyte/4) {
		t.Errorf("used %d after the eviction", budget.Used())
	}
}

// TestByteByByteIsNoProgress: a client that keeps its connection busy by single bytes is evicted as well.
func TestByteByByteIsNoProgress(t *testing.T) {
	budget := NewBudget(Limits{ConnectionBytes: TypicalConnectionBytes, Bytes: mebibyte, Connections: 1})
	slow, client := open(t, budget, 0)
	slow.Enter(0, Reading)
	for second := range 60 {
		slow.Passed(time.Duration(second)*time.Second, 1)
	}
	open(t, budget, long)
	if !client.evicted {
		t.Error("the slow client keeps the only place")
	}
}

func TestIdleConnectionsGiveWayLast(t *testing.T) {
	budget := NewBudget(Limits{ConnectionBytes: TypicalConnectionBytes, Bytes: mebibyte, Connections: 2})
	idle, idleClient := open(t, budget, 0)
	reading, readingClient := open(t, budget, 0)
	reading.Enter(time.Second, Reading)
	open(t, budget, long)
	if idleClient.evicted || !readingClient.evicted {
		t.Errorf("evicted: idle %t, reading %t", idleClient.evicted, readingClient.evicted)
	}
	// The evicted connection is not closed yet, and counts as leaving.
	open(t, budget, long)
	if !idleClient.evicted {
		t.Error("the idle connection keeps its place")
	}
	idle.Close()
	reading.Close()
}

func TestConnectionsBeyondTheSpareOnesAreRefused(t *testing.T) {
	budget := NewBudget(Limits{ConnectionBytes: TypicalConnectionBytes, Bytes: 1 << 40, Connections: 2})
	for range 2 + spareConnections {
		open(t, budget, 0)
	}
	if budget.Open(0, &testClient{}) != nil || budget.Refused() != 1 {
		t.Errorf("admitted beyond the limit, %d refused", budget.Refused())
	}
}

// TestPlacesOfTheProcessGiveWay guards against a burst that takes all descriptors and keeps them: once it rests, each further
// connection but perhaps the first is admitted and one of the burst gives way, whichever of the two bounds is lower.
func TestPlacesOfTheProcessGiveWay(t *testing.T) {
	for _, connections := range []int{2, 40, 200, 2048, 5000} {
		for _, places := range []int{1, 2, 7, 40, 64, 200, 2066, 6000} {
			budget := NewBudget(Limits{Bytes: 1 << 40, Connections: connections, Places: func() int { return places }})
			crowd := make(map[*Connection]*testClient)
			for range 2 * max(connections, places) {
				client := &testClient{}
				if opened := budget.Open(0, client); opened != nil {
					opened.Enter(0, Reading)
					crowd[opened] = client
				}
			}
			if len(crowd) > places {
				t.Fatalf("limit %d, %d places: %d connections are open", connections, places, len(crowd))
			}
			admitted := 0
			for second := range 10 {
				now := time.Duration(second+1) * time.Second
				for each, client := range crowd {
					if client.evicted {
						each.Close()
						delete(crowd, each)
					}
				}
				ordinary := budget.Open(now, &testClient{})
				if ordinary == nil {
					continue
				}
				admitted++
				if !ordinary.Enter(now, Serving) {
					t.Fatalf("limit %d, %d places: an ordinary connection was evicted", connections, places)
				}
				ordinary.Close()
			}
			if admitted < 9 {
				t.Errorf("limit %d, %d places: %d of 10 ordinary connections were admitted beside a burst at rest", connections, places, admitted)
			}
		}
	}
}

func TestNilConnectionHasNoBound(t *testing.T) {
	var none *Connection
	if !none.Reserve(0, 1<<40) || !none.Enter(0, Serving) || none.Evicted() {
		t.Error("a nil connection is bounded")
	}
	none.Take(0, 1)
	none.Passed(0, 1)
	none.Release()
	none.Close()
}

// TestReturnedMemoryIsCollectedBeforeItIsTakenAgain: memory that was returned is still there until it is collected.
func TestReturnedMemoryIsCollectedBeforeItIsTakenAgain(t *testing.T) {
	collections := 0
	budget := NewBudget(Limits{ConnectionBytes: TypicalConnectionBytes, Bytes: mebibyte, Connections: 10, Collect: func() { collections++ }})
	first, _ := open(t, budget, 0)
	for range 4 {
		if !first.Reserve(0, mebibyte/2) {
			t.Fatal("not reserved")
		}
		first.Release()
	}
	if collections != 3 {
		t.Errorf("%d collections", collections)
	}
}

func TestUnfinishedRequestsAreEvictedAtTheEnd(t *testing.T) {
	budget := NewBudget(Limits{Bytes: mebibyte, Connections: 10})
	phases := []Phase{Idle, Reading, Serving, Writing}
	for _, phase := range phases {
		connection, client := open(t, budget, 0)
		connection.Enter(0, phase)
		budget.EvictReading()
		if client.evicted != (phase == Reading) {
			t.Errorf("phase %d: evicted %t", phase, client.evicted)
		}
	}
}
