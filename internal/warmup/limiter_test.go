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
	coldService = directory.Service{Name: "s", WarmUpSeconds: coldTime.Seconds(), WarmUpPerSecond: 6.7}
	testBounds  = Bounds{Overrun: 1.5, Slack: 8}
)

// fleet holds the limiters of all gateways. Each gateway learns of cold instances after a delay of its own,
// and assumes a number of gateways of its own.
type fleet struct {
	limiters      []*Limiter
	updateDelays  []time.Duration
	gatewayCounts []int
	random        *rand.Rand
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for range fleetSize {
		f.limiters = append(f.limiters, NewLimiter(testBounds))
		f.updateDelays = append(f.updateDelays, time.Duration(f.random.Float64()*float64(500*time.Millisecond)))
		f.gatewayCounts = append(f.gatewayCounts, fleetSize-f.random.IntN(fleetSize/10))
	}
	return f
}

// maxPerSecond simulates instances that become cold at the same moment while every gateway always has
// requests for each of them. It returns the largest number of requests that one instance got within a second.
func (f *fleet) maxPerSecond(instances int, incarnation int) int {
	const step = 10 * time.Millisecond
	arrivals := make([][]time.Duration, instances)
	for now := time.Duration(0); now < coldTime; now += step {
		for gateway, limiter := range f.limiters {
			if now < f.updateDelays[gateway] {
				continue // the gateway sends nothing to an incarnation that it does not know yet
			}
			for index := range instances {
				cold := directory.Instance{
					ID: directory.InstanceID(fmt.Sprintf("i%d-%d", index, incarnation)), WarmUp: coldTime, ColdSince: directory.Revision(incarnation),
				}
				limiter.Note(now, cold, coldService, f.gatewayCounts[gateway], f.random.Float64())
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

// TestFleetStaysBelowTheBound: the bound holds although gateways assume different numbers of gateways, learn
// late of cold instances, and each instance is replaced by a new incarnation several times.
func TestFleetStaysBelowTheBound(t *testing.T) {
	bound := int(coldService.WarmUpPerSecond*testBounds.Overrun + testBounds.Slack)
	for seed := range uint64(3) {
		f := newFleet(seed)
		for incarnation := 1; incarnation <= 3; incarnation++ {
			got := f.maxPerSecond(20, incarnation)
			if got > bound {
				t.Errorf("seed %d, incarnation %d: %d requests within a second, the bound is %d", seed, incarnation, got, bound)
			}
			if got < 5 {
				t.Errorf("seed %d, incarnation %d: at most %d requests within a second, want at least 5", seed, incarnation, got)
			}
		}
	}
}

// TestColdInstanceTurnsWarm: an instance becomes warm when its time has passed or the directory says so, and
// cold again at a later revision, even with the same warm-up time.
func TestColdInstanceTurnsWarm(t *testing.T) {
	limiter := NewLimiter(testBounds)
	cold := directory.Instance{ID: "a", WarmUp: coldTime, ColdSince: 4}
	limiter.Note(0, cold, coldService, fleetSize, 0.9)
	if limiter.Take(0, "a") || !limiter.Take(0, "b") {
		t.Error("a cold instance must wait for its turn, a warm one must not")
	}
	for range 2 {
		if !limiter.Take(2*coldTime, "a") {
			t.Error("the instance must be warm once its time has passed")
		}
	}
	cold.ColdSince = 9
	limiter.Note(2*coldTime, cold, coldService, fleetSize, 0.9)
	if limiter.Take(2*coldTime, "a") {
		t.Error("the instance must be cold again at a later revision")
	}
	limiter.Note(2*coldTime, directory.Instance{ID: "a"}, coldService, fleetSize, 0.9)
	if !limiter.Take(2*coldTime, "a") {
		t.Error("the instance must be warm once the directory says so")
	}
}

// TestNothingIsSentWhileTheFleetIsUnknown: without the number of gateways, a gateway does not know its share.
func TestNothingIsSentWhileTheFleetIsUnknown(t *testing.T) {
	limiter := NewLimiter(testBounds)
	limiter.Note(0, directory.Instance{ID: "a", WarmUp: coldTime, ColdSince: 1}, coldService, 0, 0)
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
		{6.7, testBounds, 4, 6.7}, {2, Bounds{Overrun: 1.5, Slack: 100}, 2, 2}, {0, testBounds, 0, 0},
		{1, Bounds{Overrun: 1, Slack: 0}, 0, 0}, {1000, Bounds{Overrun: 1, Slack: 0}, 700, 1000},
	} {
		if got := FleetRate(c.perSecond, c.bounds); got < c.least || got > c.most {
			t.Errorf("%g a second within %+v: %g, want %g to %g", c.perSecond, c.bounds, got, c.least, c.most)
		}
	}
}
