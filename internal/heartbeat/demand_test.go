package heartbeat

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// TestRatesAgreeWithSums compares the rates of ranges with plain sums, also after the values were rescaled.
func TestRatesAgreeWithSums(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	expected := make(map[directory.Key]float64)
	rates := newKeyRates(0, demandWindow)
	now := time.Duration(0)
	for range 400 {
		elapsed := time.Duration(random.IntN(400)) * time.Millisecond
		now += elapsed
		rates.advance(now)
		for key := range expected {
			expected[key] *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		}
		key := directory.Key(random.IntN(200) * 327)
		rates.count(key, 3*demandWindow.Seconds())
		expected[key] += 3
		first := directory.Key(random.IntN(keyCount))
		last := first + directory.Key(random.IntN(keyCount-int(first)))
		want := 0.0
		for key, rate := range expected {
			if first <= key && key <= last {
				want += rate
			}
		}
		if got := rates.between(first, last); math.Abs(got-want) > 1e-6 {
			t.Fatalf("at %s keys %d to %d have rate %f, want %f", now, first, last, got, want)
		}
	}
}

// TestWidestRanges checks that ranges from either end are as wide as the rate allows.
func TestWidestRanges(t *testing.T) {
	rates := newKeyRates(0, demandWindow)
	for _, key := range []directory.Key{10, 20, 30} {
		rates.count(key, demandWindow.Seconds())
	}
	for _, test := range []struct {
		rate        float64
		front, back directory.Key
	}{{0, 9, 31}, {1, 19, 21}, {2.5, 29, 11}, {3, 40, 0}} {
		if front := rates.widestFrom(0, 40, test.rate); front != test.front {
			t.Errorf("rate %v: the widest range from 0 ends at %d, want %d", test.rate, front, test.front)
		}
		if back := rates.widestTo(0, 40, test.rate); back != test.back {
			t.Errorf("rate %v: the widest range to 40 starts at %d, want %d", test.rate, back, test.back)
		}
	}
}

// TestHotKeysSideBySideAreSpread checks that 64 adjacent hot keys, which take 16 instances to serve, are
// spread within three heartbeats of each after the first layout was granted. With demand counted in buckets
// of 16 keys, and 16 moves at a time, four instances got all of them.
func TestHotKeysSideBySideAreSpread(t *testing.T) {
	const instances, hotKeys, interval = 40, 64, time.Second
	s := newScript(t)
	s.core.config.MaxMoves = 16
	var ids []directory.InstanceID
	for index := range instances {
		ids = append(ids, directory.InstanceID(fmt.Sprintf("i%02d", index)))
	}
	round := func() {
		for _, id := range ids {
			s.now += interval / instances
			s.countHotKeys(hotKeys, ids)
			beatWithHoldings(t, s, id)
		}
		s.apply(s.core.Tick(s.now, s.view)...)
	}
	for range 6 {
		round()
	}
	busiest, maxHotKeys := directory.InstanceID(""), 0
	hotKeysByOwner := make(map[directory.InstanceID]int)
	for key := range directory.Key(hotKeys) {
		if holding, found := s.view.Layout("s").At(key); found && holding.Granted && !holding.Revoked {
			hotKeysByOwner[holding.Owner]++
		}
	}
	for id, keys := range hotKeysByOwner {
		if keys > maxHotKeys {
			busiest, maxHotKeys = id, keys
		}
	}
	if maxHotKeys > 6 || len(hotKeysByOwner) < 14 {
		t.Errorf("%d instances hold the hot keys, %s holds %d of them", len(hotKeysByOwner), busiest, maxHotKeys)
	}
}

// countHotKeys reports the demand of a fortieth of a second, at 5 requests per second for each of the first
// hotKeys keys.
func (s *script) countHotKeys(hotKeys int, ids []directory.InstanceID) {
	report := Report{Service: "s"}
	for key := range uint16(hotKeys) {
		if (int(key)+int(s.now/time.Millisecond)/25)%8 == 0 {
			report.Keys, report.Counts = append(report.Keys, key), append(report.Counts, 1)
		}
	}
	for _, id := range ids {
		report.Instances = append(report.Instances, InstanceReport{ID: id, Answered: 1, BusyMs: 100})
	}
	s.core.AddReport(s.now, report)
}

// maxAnswerRanges is the number of ranges that fit an answer of 4 KiB.
const maxAnswerRanges = 165

// beatWithHoldings sends a heartbeat that reports the keys granted by the last answer.
func beatWithHoldings(t testing.TB, s *script, id directory.InstanceID) {
	t.Helper()
	grant, err := s.beat(id, func(beat *Beat) {
		for _, holding := range s.view.Layout("s").Holdings {
			if holding.Owner == id && holding.Granted && !holding.Revoked {
				holding := Held{Range: rangeOf(holding), Fence: holding.Fence}
				beat.Held = append(beat.Held, holding)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if count := len(grant.Holdings); count > maxAnswerRanges {
		t.Fatalf("at %s %s is granted %d ranges, the bound is %d", s.now, id, count, maxAnswerRanges)
	}
}

// TestRowsStayBoundedWhileHotKeysChange checks that an answer can always hold all ranges of an instance,
// while changing hot keys split ranges and lost instances add theirs. Beyond the bound, instances
// accepted no answer any more and lost all their keys.
func TestRowsStayBoundedWhileHotKeysChange(t *testing.T) {
	s := newScript(t)
	s.core.config.MaxMoves, s.core.config.Stripes = 16, 110
	var ids []directory.InstanceID
	for index := range 12 {
		ids = append(ids, directory.InstanceID(fmt.Sprintf("i%02d", index)))
	}
	random := rand.New(rand.NewPCG(3, 5))
	round := func(hot []uint16) {
		for _, id := range ids {
			s.now += time.Second / time.Duration(len(ids))
			report := Report{Service: "s"}
			for _, key := range hot {
				report.Keys, report.Counts = append(report.Keys, key), append(report.Counts, uint16(random.IntN(3)))
			}
			for _, other := range ids {
				report.Instances = append(report.Instances, InstanceReport{ID: other, Answered: 1, BusyMs: 60})
			}
			s.core.AddReport(s.now, report)
			beatWithHoldings(t, s, id)
		}
		s.apply(s.core.Tick(s.now, s.view)...)
	}
	for second := range 60 {
		if second == 10 {
			ids = ids[:7]
		}
		var hot []uint16
		for range 20 {
			hot = append(hot, uint16(random.IntN(keyCount)))
		}
		round(hot)
	}
}
