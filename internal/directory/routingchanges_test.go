package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// moves plays a fleet whose keys move: an instance's range is cut, revoked, freed and granted
// to another one, with service times that change beside it.
type moves struct {
	t        *testing.T
	random   *rand.Rand
	view     *Directory
	revision Revision
	count    int
}

func newMoves(t *testing.T, seed uint64, instances, ranges int) *moves {
	t.Helper()
	m := &moves{t: t, random: rand.New(rand.NewPCG(seed, seed)), view: New(), count: instances}
	var announced []Instance
	for number := range instances {
		announced = append(announced, Instance{ID: m.id(number), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", number/200, number%200), Zone: "z", Slots: 2, State: InstanceReady})
	}
	m.apply(Command{Instances: announced})
	var holdings []Holding
	keys := int(MaxKey) + 1
	for number := range ranges {
		holdings = append(holdings, Holding{
			First: Key(number * keys / ranges), Last: Key((number+1)*keys/ranges) - 1, Fence: 1, Owner: m.id(number % instances), Granted: true,
		})
	}
	m.put(holdings...)
	return m
}

func (m *moves) id(number int) InstanceID {
	return InstanceID(fmt.Sprintf("instance-%04x", number*40503))
}

func (m *moves) apply(command Command) {
	m.t.Helper()
	m.revision++
	if err := m.view.Apply(m.revision, command); err != nil {
		m.t.Fatal(err)
	}
}

func (m *moves) put(changed ...Holding) {
	m.t.Helper()
	m.apply(Command{Layout: &PutLayout{Service: "s", After: m.view.Layout("s").Revision, Changed: changed}})
}

// step brings one range a step further on its way to another instance.
func (m *moves) step() {
	m.t.Helper()
	layout := m.view.Layout("s")
	holding := layout.Holdings[m.random.IntN(len(layout.Holdings))]
	holding.Routed = 0
	switch {
	case holding.Owner == "":
		holding.Owner, holding.Fence = m.id(m.random.IntN(m.count)), holding.Fence+1
	case holding.Revoked:
		holding.Owner, holding.Revoked, holding.Granted, holding.Handover = "", false, false, "left for the next holder"
	case !holding.Granted:
		holding.Granted, holding.Handover = true, ""
	default:
		holding.Last = holding.First + Key(m.random.IntN(holding.Width()))
		holding.Revoked = true
	}
	m.put(holding)
	if m.random.IntN(4) == 0 {
		m.apply(Command{Times: []InstanceTime{{ID: m.id(m.random.IntN(m.count)), ServiceTime: time.Duration(m.random.IntN(900)) * time.Millisecond}}})
	}
}

// sameRoutes fails unless a gateway sends each request where the controllers' directory says.
func sameRoutes(t *testing.T, view, gateway *Directory) {
	t.Helper()
	wanted, got := view.Layout("s"), gateway.Layout("s")
	// Routes change at the ends of ranges alone, so that those of both sides tell of all keys.
	for _, holding := range slices.Concat(wanted.Holdings, got.Holdings) {
		for _, key := range []Key{holding.First, holding.Last} {
			want, _ := wanted.At(key)
			have, found := got.At(key)
			if !found || !want.routesAs(have) {
				t.Fatalf("key %d: want %+v, got %+v", key, want, have)
			}
		}
	}
	for instance := range view.EachInstance() {
		if held, _ := gateway.Instance(instance.ID); held.ServiceTime != instance.ServiceTime || held.State != instance.State {
			t.Fatalf("instance: want %+v, got %+v", instance, held)
		}
	}
}

// TestGatewaysFollowMoves: gateways that take changes together, however many, route as the
// controllers' directory says, and so does one that takes them from another gateway.
func TestGatewaysFollowMoves(t *testing.T) {
	for seed := range uint64(20) {
		m := newMoves(t, seed, 30, 300)
		first, second := New(), New()
		for range 30 {
			for range 1 + m.random.IntN(40) {
				m.step()
			}
			if err := first.TakeRouting(m.view.RoutingSince(first.Revision())); err != nil {
				t.Fatal(err)
			}
			sameRoutes(t, m.view, first)
			if m.random.IntN(3) == 0 {
				if err := second.TakeRouting(first.RoutingSince(second.Revision())); err != nil {
					t.Fatal(err)
				}
				sameRoutes(t, m.view, second)
			}
		}
	}
}

// TestStepsOfAMoveAreToldOnce: while nobody may serve keys, what becomes of them is not told;
// changes of service times do not repeat the instance.
func TestStepsOfAMoveAreToldOnce(t *testing.T) {
	m := newMoves(t, 1, 10, 10)
	holding := m.view.Layout("s").Holdings[3]
	told := func() bool {
		changes := m.view.RoutingSince(m.revision - 1)
		return len(changes.Holders) > 0
	}
	for _, step := range []struct {
		name   string
		change func()
		told   bool
	}{
		{"revoked", func() { holding.Revoked = true }, true},
		{"freed", func() { holding.Owner, holding.Revoked, holding.Granted = "", false, false }, false},
		{"given to another one", func() { holding.Owner, holding.Fence = m.id(7), 2 }, false},
		{"granted", func() { holding.Granted = true }, true},
	} {
		step.change()
		m.put(holding)
		if told() != step.told {
			t.Errorf("keys are %s: told %v, want %v", step.name, told(), step.told)
		}
	}
	m.apply(Command{Times: []InstanceTime{{ID: m.id(1), ServiceTime: time.Second}}})
	if changes := m.view.RoutingSince(m.revision - 1); len(changes.Instances) > 0 || len(changes.Times) == 0 {
		t.Errorf("a service time is told by %d instances and %d bytes", len(changes.Instances), len(changes.Times))
	}
}

// TestChangesAfterAGapAreRefused, as are bytes that were cut or name an unknown instance.
func TestChangesAfterAGapAreRefused(t *testing.T) {
	m := newMoves(t, 1, 10, 100)
	gateway := New()
	if err := gateway.TakeRouting(m.view.RoutingSince(0)); err != nil {
		t.Fatal(err)
	}
	before := m.revision
	m.step()
	missed := m.revision
	m.step()
	if gateway.TakeRouting(m.view.RoutingSince(missed)) == nil {
		t.Error("changes after a gap were taken")
	}
	m.apply(Command{Instances: []Instance{{ID: "new", Service: "s", Address: "10.9.9.9:80", State: InstanceReady}}})
	m.put(Holding{Last: MaxKey, Fence: 99, Owner: "new", Granted: true})
	changes := m.view.RoutingSince(before)
	changes.Instances = nil
	if gateway.TakeRouting(changes) == nil {
		t.Error("keys of an unknown instance were taken")
	}
	whole := m.view.RoutingSince(0)
	for cut := range len(whole.Holders[0].Packed) {
		_, _ = unpackHolders(whole.Holders[0].Packed[:cut], m.view.knownReferences(), 1) // must not panic
	}
}

// TestSharedReferences: instances whose references are alike are told by their identifiers.
func TestSharedReferences(t *testing.T) {
	m := newMoves(t, 1, 10, 100)
	known := m.view.knownReferences()
	shared := &references{instances: known.instances, shared: map[Reference]bool{ReferenceOf(m.id(3)): true}}
	holdings := m.view.Layout("s").Holdings
	unpacked, err := unpackHolders(packHolders(holdings, shared), shared, 1)
	if err != nil || len(unpacked) != len(holdings) {
		t.Fatalf("%d holdings, %v", len(unpacked), err)
	}
	for index := range holdings {
		if !holdings[index].routesAs(unpacked[index]) {
			t.Errorf("want %+v, got %+v", holdings[index], unpacked[index])
		}
	}
}

// BenchmarkRoutingChanges tells what a change of a holder costs a gateway: bytes on its link
// and the time to make and to take them, at 3,000 ranges and 25 changes in a message. Before
// the changes were packed a change took 52 bytes and each move 3 changes; packed it takes 6
// bytes and a move 2 changes. The number of gateways multiplies the sending alone: a message
// is made once.
func BenchmarkRoutingChanges(b *testing.B) {
	const ranges, gathered = 3000, 25
	for _, instances := range []int{150, 1000} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			m := newMoves(&testing.T{}, 1, instances, ranges)
			gateway := New()
			if err := gateway.TakeRouting(m.view.RoutingSince(0)); err != nil {
				b.Fatal(err)
			}
			bytes, told := 0, 0
			for b.Loop() {
				b.StopTimer()
				for range gathered {
					m.step()
				}
				b.StartTimer()
				changes := m.view.RoutingSince(gateway.Revision())
				encoded, err := codec.Marshal(changes)
				if err != nil {
					b.Fatal(err)
				}
				bytes, told = bytes+len(encoded), told+gathered
				if err := gateway.TakeRouting(changes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(told), "bytes/step")
		})
	}
}
