package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	fleetSize = 300
	coldTime  = 3 * time.Second
	second    = time.Second
)

var (
	carries = directory.Service{Name: "s", WarmUpSeconds: coldTime.Seconds(), WarmUpPerSecond: 6.7}
	allowed = Bounds{Overrun: 1.5, Slack: 8}
)

// fleet are the limiters of gateways, of which some hear late of cold instances, some are
// cut off and hear of nothing, and some believe in another number of gateways.
type fleet struct {
	limiters []*Limiter
	lateBy   []time.Duration
	counted  []int
	random   *rand.Rand
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for range fleetSize {
		f.limiters = append(f.limiters, NewLimiter(allowed))
		f.lateBy = append(f.lateBy, time.Duration(f.random.Float64()*float64(500*time.Millisecond)))
		f.counted = append(f.counted, fleetSize-f.random.IntN(fleetSize/10))
	}
	return f
}

// most plays instances that turn cold at the same moment while every gateway wants to send
// to each of them all the time, and returns the most requests that one got in a second.
func (f *fleet) most(instances int, incarnation int) int {
	const step = 10 * time.Millisecond
	arrivals := make([][]time.Duration, instances)
	for now := time.Duration(0); now < coldTime; now += step {
		for gateway, limiter := range f.limiters {
			if now < f.lateBy[gateway] {
				continue // a new incarnation that a gateway does not know gets nothing of it
			}
			for index := range instances {
				cold := directory.Instance{
					ID: directory.InstanceID(fmt.Sprintf("i%d-%d", index, incarnation)), WarmUp: coldTime, ColdSince: directory.Revision(incarnation),
				}
				limiter.Note(now, cold, carries, f.counted[gateway], f.random.Float64())
				if limiter.Take(now, cold.ID) {
					arrivals[index] = append(arrivals[index], now)
				}
			}
		}
	}
	highest := 0
	for _, times := range arrivals {
		first := 0
		for last := range times {
			for times[last]-times[first] >= second {
				first++
			}
			highest = max(highest, last-first+1)
		}
	}
	return highest
}

// TestFleetStaysBelowTheBound: with lists that differ, gateways that hear late, and a new
// incarnation of each instance after the other.
func TestFleetStaysBelowTheBound(t *testing.T) {
	bound := int(carries.WarmUpPerSecond*allowed.Overrun + allowed.Slack)
	for seed := range uint64(3) {
		f := newFleet(seed)
		for incarnation := 1; incarnation <= 3; incarnation++ {
			got := f.most(20, incarnation)
			if got > bound {
				t.Errorf("seed %d, incarnation %d: %d requests within a second, the bound is %d", seed, incarnation, got, bound)
			}
			if got < 5 {
				t.Errorf("seed %d, incarnation %d: %d requests within a second at most: a cold instance must get some", seed, incarnation, got)
			}
		}
	}
}

// TestColdInstanceTurnsWarm: by its time, or by the directory; and cold again under a later
// revision, though it is told the same time.
func TestColdInstanceTurnsWarm(t *testing.T) {
	limiter := NewLimiter(allowed)
	cold := directory.Instance{ID: "a", WarmUp: coldTime, ColdSince: 4}
	limiter.Note(0, cold, carries, fleetSize, 0.9)
	if limiter.Take(0, "a") || !limiter.Take(0, "b") {
		t.Error("a cold instance must wait for its turn, a warm one must not")
	}
	for range 2 {
		if !limiter.Take(2*coldTime, "a") {
			t.Error("it must be warm once its time has passed")
		}
	}
	cold.ColdSince = 9
	limiter.Note(2*coldTime, cold, carries, fleetSize, 0.9)
	if limiter.Take(2*coldTime, "a") {
		t.Error("it must be cold again under a later revision")
	}
	limiter.Note(2*coldTime, directory.Instance{ID: "a"}, carries, fleetSize, 0.9)
	if !limiter.Take(2*coldTime, "a") {
		t.Error("it must be warm once the directory says so")
	}
}

// TestNothingIsSentWhileTheFleetIsUnknown: the share of a gateway is not known then.
func TestNothingIsSentWhileTheFleetIsUnknown(t *testing.T) {
	limiter := NewLimiter(allowed)
	limiter.Note(0, directory.Instance{ID: "a", WarmUp: coldTime, ColdSince: 1}, carries, 0, 0)
	if limiter.Take(coldTime-1, "a") {
		t.Error("a gateway that does not know its share must send nothing")
	}
}

func TestFleetRateStaysWithinWhatIsCarried(t *testing.T) {
	for _, c := range []struct {
		perSecond   float64
		bounds      Bounds
		least, most float64
	}{
		{6.7, allowed, 4, 6.7}, {2, Bounds{Overrun: 1.5, Slack: 100}, 2, 2}, {0, allowed, 0, 0},
		{1, Bounds{Overrun: 1, Slack: 0}, 0, 0}, {1000, Bounds{Overrun: 1, Slack: 0}, 700, 1000},
	} {
		if got := FleetRate(c.perSecond, c.bounds); got < c.least || got > c.most {
			t.Errorf("%g a second within %+v: %g, want %g to %g", c.perSecond, c.bounds, got, c.least, c.most)
		}
	}
}
