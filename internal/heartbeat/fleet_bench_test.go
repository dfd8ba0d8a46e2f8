package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// newFleet returns a service of instances that hold keys with some demand each, and of a quarter as many
// that hold none and whose answers are pending.
func newFleet(tb testing.TB, instances int) (*Core, *directory.Directory, time.Duration) {
	tb.Helper()
	view := directory.New()
	core := New(Config{
		Lease: 5500 * time.Millisecond, MaxLease: 5500 * time.Millisecond, Gather: 2 * time.Second, MaxMoves: 16, Stripes: 110,
		HoldBack: 700 * time.Millisecond, Interval: 3 * time.Second, AddressReuse: 2 * time.Second,
	})
	core.Lead(0)
	revision := directory.Revision(0)
	apply := func(commands []directory.Command) {
		for _, command := range commands {
			revision++
			if err := view.Apply(revision, command); err != nil {
				tb.Fatal(err)
			}
		}
	}
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","keyed":true,"version":1}]}}`))
	if err != nil {
		tb.Fatal(err)
	}
	apply([]directory.Command{{Patch: &patch}})
	receiveAll := func(now time.Duration, first, last int, sequence uint64) {
		batch := core.Batch(now, view)
		for number := first; number < last; number++ {
			beat := Beat{
				Instance: directory.InstanceID(fmt.Sprintf("i-%06d@1767373210492", number)), Service: "s", Zone: "z", Slots: 2, Sequence: sequence,
				Address: fmt.Sprintf("10.1.%d.%d:80", number/250, number%250+1),
			}
			if err := batch.Receive(beat); err != nil {
				tb.Fatal(err)
			}
		}
		apply(batch.Commands())
	}
	now := 6 * time.Second
	receiveAll(now, 0, instances, 1)
	now += 2500 * time.Millisecond
	apply(core.Tick(now, view))
	receiveAll(now+100*time.Millisecond, 0, instances, 2)
	now += 200 * time.Millisecond
	receiveAll(now, instances, instances+instances/4, 1)
	report := Report{Service: "s"}
	for _, holding := range view.Layout("s").Holdings {
		report.Keys, report.Counts = append(report.Keys, uint16(holding.First)), append(report.Counts, 1+uint16(holding.First%3))
	}
	core.AddReport(now, report)
	return core, view, now
}

// grantedKeys returns what each instance lists in its heartbeats once it has got the answers.
func grantedKeys(view *directory.Directory) map[directory.InstanceID][]Held {
	held := make(map[directory.InstanceID][]Held)
	for _, holding := range view.Layout("s").Holdings {
		if holding.Granted {
			held[holding.Owner] = append(held[holding.Owner], Held{Range: rangeOf(holding), Fence: holding.Fence})
		}
	}
	return held
}

// BenchmarkTickOfFleet measures a tick with keys to move to instances that hold none.
func BenchmarkTickOfFleet(b *testing.B) {
	for _, instances := range []int{1450, 2900, 5800} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			core, view, now := newFleet(b, instances)
			for b.Loop() {
				core.Tick(now+10*time.Millisecond, view)
			}
		})
	}
}

// BenchmarkSlowHeartbeatOfFleet measures a heartbeat that needs a scan of the whole layout.
func BenchmarkSlowHeartbeatOfFleet(b *testing.B) {
	for _, instances := range []int{1450, 2900, 5800} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			core, view, now := newFleet(b, instances)
			sequence := uint64(2)
			for b.Loop() {
				sequence++
				batch := core.Batch(now+10*time.Millisecond, view)
				if err := batch.Receive(Beat{
					Instance: "i-000007@1767373210492", Service: "s", Zone: "z", Slots: 2, Sequence: sequence, Address: "10.1.0.8:80", Draining: true,
				}); err != nil {
					b.Fatal(err)
				}
				batch.Commands()
			}
		})
	}
}

// TestHeartbeatsOfABatchLookAtTheirOwnKeys checks that, while keys move, a heartbeat that moves none does
// not scan the holdings of all instances, whatever their number.
func TestHeartbeatsOfABatchLookAtTheirOwnKeys(t *testing.T) {
	for _, instances := range []int{200, 400} {
		core, view, now := newFleet(t, instances)
		batch := core.Batch(now+10*time.Millisecond, view)
		held := grantedKeys(view)
		receive := func(number int, draining bool) {
			id := directory.InstanceID(fmt.Sprintf("i-%06d@1767373210492", number))
			err := batch.Receive(Beat{
				Instance: id, Service: "s", Zone: "z", Slots: 2, Sequence: 3, Held: held[id],
				Address: fmt.Sprintf("10.1.%d.%d:80", number/250, number%250+1), Draining: draining,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		receive(0, true)
		draft := batch.draft("s")
		scans, moving := draft.layoutScans, draft.moving
		if moving == 0 {
			t.Fatal("no keys are being moved")
		}
		for number := 1; number < instances; number++ {
			receive(number, false)
		}
		// A move scans for the range to move, and for what its instance still holds.
		const scansPerMove, scansPerBatch = 3, 2
		if newScans := draft.layoutScans - scans; newScans > scansPerMove*(draft.moving-moving)+scansPerBatch {
			t.Errorf("%d heartbeats scanned all holdings %d times while %d moves started", instances-1, newScans, draft.moving-moving)
		}
		if draft.moving-moving > core.maxMoves(len(draft.candidates)) {
			t.Errorf("%d moves started at a time", draft.moving-moving)
		}
	}
}

// TestChoicesLookAtABoundedNumber checks that a choice considers the same number of candidates among n and
// 2n instances, each at most once, and that successive choices of a batch consider all in turn.
func TestChoicesLookAtABoundedNumber(t *testing.T) {
	for _, instances := range []int{100, 1000, 2000} {
		core, view, now := newFleet(t, instances)
		draft := core.draft(now, "s", view)
		considered := make(map[*candidate]int)
		for range 2 * len(draft.candidates) / maxWindow {
			window := draft.nextWindow()
			if want := min(len(draft.candidates), maxWindow); len(window) != want {
				t.Fatalf("%d of %d candidates in a window, want %d", len(window), len(draft.candidates), want)
			}
			distinct := make(map[*candidate]bool)
			for _, candidate := range window {
				considered[candidate]++
				distinct[candidate] = true
			}
			if len(distinct) != len(window) {
				t.Fatal("a window contains a candidate twice")
			}
		}
		if len(draft.candidates) > maxWindow && len(considered) != len(draft.candidates) {
			t.Errorf("%d of %d candidates considered", len(considered), len(draft.candidates))
		}
	}
}

// TestLostKeysGoToThoseWhoAreToldAtOnce checks that keys of lost instances are assigned to instances whose
// answers are pending. With 3 s between heartbeats these are as many as with 1 s; the others would learn of
// the keys up to 3 s later, and nothing would serve the keys until then.
func TestLostKeysGoToThoseWhoAreToldAtOnce(t *testing.T) {
	for _, instances := range []int{200, 400} {
		core, view, now := newFleet(t, instances)
		pendingAnswer := make(map[directory.InstanceID]bool)
		number := 0
		for id, state := range core.heartbeats {
			state.interval, state.answerableUntil = 3*time.Second, 0
			if number++; number%4 == 0 {
				state.answerableUntil = now + time.Second
				pendingAnswer[id] = true
			}
		}
		draft := core.draft(now, "s", view)
		const lost = 20
		for index := range lost {
			draft.freeHolding(&draft.layout.Holdings[index*5], "")
		}
		draft.assignUnowned()
		reached := 0
		for index := range lost {
			if pendingAnswer[draft.layout.Holdings[index*5].Owner] {
				reached++
			}
		}
		if reached < lost {
			t.Errorf("%d of %d lost ranges assigned to instances with pending answers", reached, lost)
		}
	}
}
