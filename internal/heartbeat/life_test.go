package heartbeat

import (
	"errors"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// incarnationScript is a leader that receives heartbeats of several incarnations of a server.
type incarnationScript struct {
	t        *testing.T
	core     *Core
	view     *directory.Directory
	revision directory.Revision
}

func newIncarnationScript(t *testing.T) *incarnationScript {
	t.Helper()
	l := &incarnationScript{t: t, view: directory.New(), core: New(Config{
		Lease: time.Second, MaxLease: time.Second, Gather: time.Millisecond, MaxMoves: 4, Stripes: 4, AddressReuse: 100 * time.Millisecond,
	})}
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","keyed":true,"version":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	l.apply([]directory.Command{{Patch: &patch}})
	return l
}

func (l *incarnationScript) apply(commands []directory.Command) {
	l.t.Helper()
	for _, command := range commands {
		l.revision++
		if err := l.view.Apply(l.revision, command); err != nil {
			l.t.Fatal(err)
		}
	}
}

// beat receives a heartbeat of an incarnation at a fixed address, and returns the error.
func (l *incarnationScript) beat(now time.Duration, server string, born, sequence uint64) error {
	l.t.Helper()
	return l.beatAt("127.0.0.1:1", now, server, born, sequence)
}

// beatAt receives a heartbeat of an incarnation at an address, and returns the error.
func (l *incarnationScript) beatAt(address string, now time.Duration, server string, born, sequence uint64) error {
	l.t.Helper()
	commands, err := l.core.Receive(now, Beat{
		Instance: directory.Incarnation{Server: server, Born: born}.ID(), Service: "s", Address: address, Zone: "z", Slots: 2, Sequence: sequence,
	}, l.view)
	if err == nil {
		l.apply(commands)
	}
	return err
}

// ownedRanges returns the number of ranges that an instance owns.
func (l *incarnationScript) ownedRanges(id directory.InstanceID) int {
	count := 0
	for _, holding := range l.view.Layout("s").Holdings {
		if holding.Owner == id {
			count++
		}
	}
	return count
}

// TestNewLifeHoldsNothing checks that a server that restarts under its identifier replaces its earlier
// incarnation at once, with a sequence of its own, even if that one was heard just before. It gets keys at
// higher fences, and a late heartbeat of the earlier incarnation changes nothing.
func TestNewLifeHoldsNothing(t *testing.T) {
	l := newIncarnationScript(t)
	if err := l.beat(2*time.Second, "a", 100, 40); err != nil {
		t.Fatal(err)
	}
	l.apply(l.core.Tick(2100*time.Millisecond, l.view))
	before := l.view.Layout("s").Holdings
	if l.ownedRanges("a@100") == 0 {
		t.Fatal("the first incarnation holds no keys")
	}
	if err := l.beat(2200*time.Millisecond, "a", 200, 1); err != nil {
		t.Fatalf("first heartbeat of a later incarnation: %v", err)
	}
	if earlier, _ := l.view.Instance("a@100"); !earlier.Ended {
		t.Error("the earlier incarnation is not marked as ended")
	}
	l.apply(l.core.Tick(2300*time.Millisecond, l.view))
	if l.ownedRanges("a@100") != 0 {
		t.Error("the earlier incarnation still holds keys")
	}
	for _, holding := range l.view.Layout("s").Holdings {
		if holding.Fence <= before[0].Fence {
			t.Errorf("keys from %d have fence %d, want above %d", holding.First, holding.Fence, before[0].Fence)
		}
	}
	revision := l.view.Revision()
	if err := l.beat(2400*time.Millisecond, "a", 100, 99); err != nil {
		t.Errorf("late heartbeat of a known earlier incarnation: %v", err)
	}
	if err := l.beat(2400*time.Millisecond, "a", 150, 1); !fault.Is(err, fault.Conflict) {
		t.Errorf("heartbeat of an unknown earlier incarnation: error %v, want kind conflict", err)
	}
	if err := l.beat(2400*time.Millisecond, "a", 0, 7); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("heartbeat without a start time: error %v, want kind invalid_argument", err)
	}
	if l.view.Revision() != revision {
		t.Error("a heartbeat of an earlier incarnation changed the directory")
	}
}

// TestLifeBeforeASilentOne checks that a wrong start time keeps a server out only until the incarnation that
// reported it has been silent for a lease while the other one continues.
func TestLifeBeforeASilentOne(t *testing.T) {
	l := newIncarnationScript(t)
	const farFuture = 1 << 52
	if err := l.beat(2*time.Second, "a", farFuture, 1); err != nil {
		t.Fatal(err)
	}
	if err := l.beat(2500*time.Millisecond, "a", 100, 1); !fault.Is(err, fault.Conflict) {
		t.Errorf("while the other incarnation may be alive: error %v, want kind conflict", err)
	}
	if err := l.beat(8*time.Second, "a", 100, 2); !errors.Is(err, ErrProvisional) {
		t.Errorf("first heartbeat after the other one fell silent: error %v, want ErrProvisional", err)
	}
	if err := l.beat(9*time.Second, "a", 100, 3); err != nil {
		t.Errorf("next heartbeat: %v", err)
	}
}

// TestLifeIsKnownToTheNextLeader checks that a new leader knows the newest incarnation from the directory.
func TestLifeIsKnownToTheNextLeader(t *testing.T) {
	l := newIncarnationScript(t)
	if err := l.beat(2*time.Second, "a", 200, 1); err != nil {
		t.Fatal(err)
	}
	l.core.Lead(3 * time.Second)
	if err := l.beat(3100*time.Millisecond, "a", 100, 50); !fault.Is(err, fault.Conflict) {
		t.Errorf("earlier incarnation at a new leader: error %v, want kind conflict", err)
	}
	if err := l.beat(3100*time.Millisecond, "a", 200, 2); err != nil {
		t.Errorf("newest incarnation at a new leader: %v", err)
	}
}

// TestServerThatLeavesBeforeItIsKnown guards against registering a server again after it left. A gateway
// sent requests to a server 2.3 s after the server had announced that it leaves. The server had started at
// the address of another one, so its first heartbeat had to be confirmed by a second; it left before that,
// without a start time, and the incarnation stored as gone was not the one that had sent the heartbeat. A
// heartbeat sent earlier arrived 2.1 s after the announcement and registered a new incarnation:
//
//	21.1585 "unknown instance waits for its next heartbeat" "server":"i-188803702a@1775219583052"
//	21.8503 "instance changed" "server":"i-188803702a" "state":"gone"
//	23.9407 "instance changed" "server":"i-188803702a@1775219583052" "state":"ready"
//
// The incarnation that waits for confirmation must leave as well, and stay gone.
func TestServerThatLeavesBeforeItIsKnown(t *testing.T) {
	l := newIncarnationScript(t)
	if err := l.beat(2*time.Second, "a", 100, 40); err != nil {
		t.Fatal(err)
	}
	if err := l.beat(2100*time.Millisecond, "b", 200, 1); !errors.Is(err, ErrProvisional) {
		t.Fatalf("server at the address of another one: error %v, want ErrProvisional", err)
	}
	l.apply(l.core.Leave("b", l.view))
	if err := l.beat(5*time.Second, "b", 200, 2); err != nil {
		t.Fatalf("late heartbeat: %v", err)
	}
	for _, instance := range l.view.Incarnations("b") {
		if instance.State != directory.InstanceGone {
			t.Errorf("%s is %s after a late heartbeat of a server that left", instance.ID, instance.State)
		}
	}
	if err := l.beat(6*time.Second, "b", 300, 1); err != nil {
		t.Fatalf("later incarnation: %v", err)
	}
	if next, found := l.view.Instance(directory.Incarnation{Server: "b", Born: 300}.ID()); !found || next.State != directory.InstanceReady {
		t.Errorf("a later incarnation of the server is not ready: %+v", next)
	}
}
