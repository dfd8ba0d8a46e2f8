package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// moveSimulation simulates a service whose keys move: a part of an instance's range is split off,
// revoked, released and granted to another instance, while service times change.
type moveSimulation struct {
	t        *testing.T
	random   *rand.Rand
	view     *Directory
	revision Revision
	count    int
}

func newMoveSimulation(t *testing.T, seed uint64, instances, ranges int) *moveSimulation {
	t.Helper()
	m := &moveSimulation{t: t, random: rand.New(rand.NewPCG(seed, seed)), view: New(), count: instances}
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
	m.putHoldings(holdings...)
	return m
}

func (m *moveSimulation) id(number int) InstanceID {
	return InstanceID(fmt.Sprintf("instance-%04x", number*40503))
}

func (m *moveSimulation) apply(command Command) {
	m.t.Helper()
	m.revision++
	if err := m.view.Apply(m.revision, command); err != nil {
		m.t.Fatal(err)
	}
}

func (m *moveSimulation) putHoldings(changed ...Holding) {
	m.t.Helper()
	m.apply(Command{Layout: &PutLayout{Service: "s", After: m.view.Layout("s").Revision, Changed: changed}})
}

// step advances one range by one step of its move to another instance.
func (m *moveSimulation) step() {
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
	m.putHoldings(holding)
	if m.random.IntN(4) == 0 {
		m.apply(Command{Times: []InstanceTime{{ID: m.id(m.random.IntN(m.count)), ServiceTime: time.Duration(m.random.IntN(900)) * time.Millisecond}}})
	}
}

// requireSameRouting fails unless the gateway routes each key, and sees each instance, as the
// controllers' directory does.
func requireSameRouting(t *testing.T, view, gateway *Directory) {
	t.Helper()
	wanted, got := view.Layout("s"), gateway.Layout("s")
	// The owner changes only at the ends of ranges, so checking the ends of both sides' ranges
	// covers all keys.
	for _, holding := range slices.Concat(wanted.Holdings, got.Holdings) {
		for _, key := range []Key{holding.First, holding.Last} {
			want, _ := wanted.At(key)
			have, found := got.At(key)
			if !found || !want.routesLike(have) {
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

// TestGatewaysFollowMoves checks that gateways that merge any number of changes at once route as
// the controllers' directory does, also if they get the changes from another gateway.
func TestGatewaysFollowMoves(t *testing.T) {
	for seed := range uint64(20) {
		m := newMoveSimulation(t, seed, 30, 300)
		first, second := New(), New()
		for range 30 {
			for range 1 + m.random.IntN(40) {
				m.step()
			}
			if err := first.MergeRouting(m.view.RoutingSince(first.Revision())); err != nil {
				t.Fatal(err)
			}
			requireSameRouting(t, m.view, first)
			if m.random.IntN(3) == 0 {
				if err := second.MergeRouting(first.RoutingSince(second.Revision())); err != nil {
					t.Fatal(err)
				}
				requireSameRouting(t, m.view, second)
			}
		}
	}
}

// TestStepsOfAMoveAreToldOnce checks that the steps of a move during which no instance may serve
// the keys are not sent, and that a change of a service time does not resend the instance.
func TestStepsOfAMoveAreToldOnce(t *testing.T) {
	m := newMoveSimulation(t, 1, 10, 10)
	holding := m.view.Layout("s").Holdings[3]
	holdersSent := func() bool {
		changes := m.view.RoutingSince(m.revision - 1)
		return len(changes.Holders) > 0
	}
	for _, step := range []struct {
		name   string
		change func()
		sent   bool
	}{
		{"revoked", func() { holding.Revoked = true }, true},
		{"freed", func() { holding.Owner, holding.Revoked, holding.Granted = "", false, false }, false},
		{"given to another one", func() { holding.Owner, holding.Fence = m.id(7), 2 }, false},
		{"granted", func() { holding.Granted = true }, true},
	} {
		step.change()
		m.putHoldings(holding)
		if holdersSent() != step.sent {
			t.Errorf("keys are %s: sent %v, want %v", step.name, holdersSent(), step.sent)
		}
	}
	m.apply(Command{Times: []InstanceTime{{ID: m.id(1), ServiceTime: time.Second}}})
	if changes := m.view.RoutingSince(m.revision - 1); len(changes.Instances) > 0 || len(changes.Times) == 0 {
		t.Errorf("a service time is sent as %d instances and %d bytes", len(changes.Instances), len(changes.Times))
	}
}

// TestChangesAfterAGapAreRefused also checks that changes with an unknown instance are rejected,
// and that truncated bytes cause no panic.
func TestChangesAfterAGapAreRefused(t *testing.T) {
	m := newMoveSimulation(t, 1, 10, 100)
	gateway := New()
	if err := gateway.MergeRouting(m.view.RoutingSince(0)); err != nil {
		t.Fatal(err)
	}
	before := m.revision
	m.step()
	missed := m.revision
	m.step()
	if gateway.MergeRouting(m.view.RoutingSince(missed)) == nil {
		t.Error("changes after a gap were accepted")
	}
	m.apply(Command{Instances: []Instance{{ID: "new", Service: "s", Address: "10.9.9.9:80", State: InstanceReady}}})
	m.putHoldings(Holding{Last: MaxKey, Fence: 99, Owner: "new", Granted: true})
	changes := m.view.RoutingSince(before)
	changes.Instances = nil
	if gateway.MergeRouting(changes) == nil {
		t.Error("keys of an unknown instance were accepted")
	}
	whole := m.view.RoutingSince(0)
	for cut := range len(whole.Holders[0].Packed) {
		_, _ = unpackHolders(whole.Holders[0].Packed[:cut], m.view.instanceReferences(), 1) // must not panic
	}
}

// TestSharedReferences checks that instances whose references collide are encoded by their
// identifiers.
func TestSharedReferences(t *testing.T) {
	m := newMoveSimulation(t, 1, 10, 100)
	known := m.view.instanceReferences()
	shared := &referenceIndex{instances: known.instances, shared: map[Reference]bool{ReferenceOf(m.id(3)): true}}
	holdings := m.view.Layout("s").Holdings
	unpacked, err := unpackHolders(packHolders(holdings, shared), shared, 1)
	if err != nil || len(unpacked) != len(holdings) {
		t.Fatalf("%d holdings, %v", len(unpacked), err)
	}
	for index := range holdings {
		if !holdings[index].routesLike(unpacked[index]) {
			t.Errorf("want %+v, got %+v", holdings[index], unpacked[index])
		}
	}
}

// BenchmarkRoutingChanges measures the cost of a change of a holder for a gateway: bytes on its
// link, and the time to encode and merge them, with 3,000 ranges and 25 changes in a message.
// Before the changes were packed, a change took 52 bytes and each move 3 changes; packed, it takes
// 6 bytes and a move 2 changes. The number of gateways multiplies only the cost of sending: a
// message is encoded once.
func BenchmarkRoutingChanges(b *testing.B) {
	const ranges, gathered = 3000, 25
	for _, instances := range []int{150, 1000} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			m := newMoveSimulation(&testing.T{}, 1, instances, ranges)
			gateway := New()
			if err := gateway.MergeRouting(m.view.RoutingSince(0)); err != nil {
				b.Fatal(err)
			}
			bytes, steps := 0, 0
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
				bytes, steps = bytes+len(encoded), steps+gathered
				if err := gateway.MergeRouting(changes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(steps), "bytes/step")
		})
	}
}
