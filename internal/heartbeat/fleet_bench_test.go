package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// fleetOf is a service of instances that hold keys with some demand each, and of a quarter as
// many that hold none, whose answers wait for news.
func fleetOf(tb testing.TB, instances int) (*Core, *directory.Directory, time.Duration) {
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
	beats := func(now time.Duration, first, last int, sequence uint64) {
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
	beats(now, 0, instances, 1)
	now += 2500 * time.Millisecond
	apply(core.Tick(now, view))
	beats(now+100*time.Millisecond, 0, instances, 2)
	now += 200 * time.Millisecond
	beats(now, instances, instances+instances/4, 1)
	report := Report{Service: "s"}
	for _, holding := range view.Layout("s").Holdings {
		report.Keys, report.Counts = append(report.Keys, uint16(holding.First)), append(report.Counts, 1+uint16(holding.First%3))
	}
	core.Count(now, report)
	return core, view, now
}

// BenchmarkTickOfFleet decides what is due by itself, with keys to move to newcomers.
func BenchmarkTickOfFleet(b *testing.B) {
	for _, instances := range []int{1450, 2900, 5800} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			core, view, now := fleetOf(b, instances)
			for b.Loop() {
				core.Tick(now+10*time.Millisecond, view)
			}
		})
	}
}

// BenchmarkSlowHeartbeatOfFleet takes a heartbeat that needs a look at the whole layout.
func BenchmarkSlowHeartbeatOfFleet(b *testing.B) {
	for _, instances := range []int{1450, 2900, 5800} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			core, view, now := fleetOf(b, instances)
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

// TestHeartbeatsOfABatchLookAtTheirOwnKeys: while keys move, a heartbeat that moves none costs no
// look at the holdings of all instances, whatever their number.
func TestHeartbeatsOfABatchLookAtTheirOwnKeys(t *testing.T) {
	for _, instances := range []int{200, 400} {
		core, view, now := fleetOf(t, instances)
		batch := core.Batch(now+10*time.Millisecond, view)
		receive := func(number int, draining bool) {
			err := batch.Receive(Beat{
				Instance: directory.InstanceID(fmt.Sprintf("i-%06d@1767373210492", number)), Service: "s", Zone: "z", Slots: 2, Sequence: 3,
				Address: fmt.Sprintf("10.1.%d.%d:80", number/250, number%250+1), Draining: draining,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		receive(0, true)
		draft := batch.draft("s")
		walks, moving := draft.walks, draft.moving
		if moving == 0 {
			t.Fatal("no keys move")
		}
		for number := 1; number < instances; number++ {
			receive(number, false)
		}
		// A move looks for the part that moves, and for what its instance still holds.
		const looksOfMove, looksOfBatch = 3, 2
		if looked := draft.walks - walks; looked > looksOfMove*(draft.moving-moving)+looksOfBatch {
			t.Errorf("%d heartbeats looked at all holdings %d times, %d moves began", instances-1, looked, draft.moving-moving)
		}
		if draft.moving-moving > core.mostMoves(len(draft.candidates)) {
			t.Errorf("%d moves at a time", draft.moving-moving)
		}
	}
}

// TestChoicesLookAtABoundedNumber: a choice among n and 2n instances looks at the same number of
// them, the choices of a batch at all in turn, and none at one instance twice.
func TestChoicesLookAtABoundedNumber(t *testing.T) {
	for _, instances := range []int{100, 1000, 2000} {
		core, view, now := fleetOf(t, instances)
		draft := core.draft(now, "s", view)
		met := make(map[*candidate]int)
		for range 2 * len(draft.candidates) / mostLooked {
			window := draft.window()
			if want := min(len(draft.candidates), mostLooked); len(window) != want {
				t.Fatalf("%d of %d candidates looked at, want %d", len(window), len(draft.candidates), want)
			}
			distinct := make(map[*candidate]bool)
			for _, each := range window {
				met[each]++
				distinct[each] = true
			}
			if len(distinct) != len(window) {
				t.Fatal("a candidate is looked at twice in one choice")
			}
		}
		if len(draft.candidates) > mostLooked && len(met) != len(draft.candidates) {
			t.Errorf("%d of %d candidates met", len(met), len(draft.candidates))
		}
	}
}

// TestLostKeysGoToThoseWhoAreToldAtOnce: keys of instances that were lost go to instances whose
// answers wait, of which there are as many at 3 s between heartbeats as at one: the others would
// hear of them up to 3 s later, and nobody would serve them until then.
func TestLostKeysGoToThoseWhoAreToldAtOnce(t *testing.T) {
	for _, instances := range []int{200, 400} {
		core, view, now := fleetOf(t, instances)
		reachable := make(map[directory.InstanceID]bool)
		number := 0
		for id, known := range core.contacts {
			known.interval, known.answerableUntil = 3*time.Second, 0
			if number++; number%4 == 0 {
				known.answerableUntil = now + time.Second
				reachable[id] = true
			}
		}
		draft := core.draft(now, "s", view)
		const lost = 20
		for index := range lost {
			draft.freeHolding(&draft.layout.Holdings[index*5], "")
		}
		draft.settle()
		told := 0
		for index := range lost {
			if reachable[draft.layout.Holdings[index*5].Owner] {
				told++
			}
		}
		if told < lost {
			t.Errorf("%d of %d lost ranges go to instances that are told at once", told, lost)
		}
	}
}
