package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// spreadResult is what a way of choosing relays gave on one trace.
type spreadResult struct {
	mostInFlight, acrossZones, misses, requests int
}

// playSpread plays requests of gateways in three zones, the first cutCount of which are cut off, for ten seconds.
// choose picks the relay of a request.
func playSpread(gateways, cutCount int, choose func(random *rand.Rand, chooser *Chooser, request Request, relays []directory.Relay) (directory.Relay, bool)) spreadResult {
	const (
		step     = time.Millisecond
		length   = 10 * time.Second
		inFlight = 90 * time.Millisecond
		// perSecond is the rate of requests at each gateway.
		perSecond = 40
	)
	random := rand.New(rand.NewPCG(59, 1))
	var relays []directory.Relay
	for index := range gateways {
		relays = append(relays, directory.Relay{Address: fmt.Sprint("g", index), Zone: fmt.Sprint("z", index%3)})
	}
	var choosers []*Chooser
	for _, each := range relays[:cutCount] {
		chooser := NewChooser(each.Address, each.Zone)
		chooser.SetRelays(relays)
		choosers = append(choosers, chooser)
	}
	type running struct {
		from  int
		relay string
	}
	loads := make(map[string]int)
	ending := make(map[time.Duration][]running)
	var result spreadResult
	for now := time.Duration(0); now < length; now += step {
		for _, each := range ending[now] {
			loads[each.relay]--
			choosers[each.from].End(now, each.relay, "i", Worked)
		}
		for from, chooser := range choosers {
			if random.Float64() >= perSecond*step.Seconds() {
				continue
			}
			result.requests++
			request := Request{Now: now, Instance: "i", CutOff: true, Random: [2]float64{random.Float64(), random.Float64()}}
			for {
				chosen, found := choose(random, chooser, request, relays)
				if !found {
					break
				}
				var number int
				_, _ = fmt.Sscanf(chosen.Address, "g%d", &number)
				if number < cutCount {
					result.misses++
					chooser.End(now, chosen.Address, "i", RelayUnusable)
					request.Tried = append(request.Tried, chosen.Address)
					request.Random = [2]float64{random.Float64(), random.Float64()}
					continue
				}
				loads[chosen.Address]++
				result.mostInFlight = max(result.mostInFlight, loads[chosen.Address])
				if chosen.Zone != relays[from].Zone {
					result.acrossZones++
				}
				ending[now+inFlight] = append(ending[now+inFlight], running{from, chosen.Address})
				break
			}
		}
	}
	return result
}

// TestRelaysShareTheLoad compares ways of choosing relays on one trace, and checks that the built one loads no relay
// far beyond its share.
func TestRelaysShareTheLoad(t *testing.T) {
	built := func(_ *rand.Rand, chooser *Chooser, request Request, _ []directory.Relay) (directory.Relay, bool) {
		return chooser.Choose(request)
	}
	atRandom := func(_ *rand.Rand, chooser *Chooser, request Request, _ []directory.Relay) (directory.Relay, bool) {
		request.Random[1] = request.Random[0]
		return chooser.Choose(request)
	}
	firstOfList := func(_ *rand.Rand, chooser *Chooser, request Request, _ []directory.Relay) (directory.Relay, bool) {
		request.Random = [2]float64{}
		return chooser.Choose(request)
	}
	for _, size := range []struct{ gateways, cut int }{{11, 3}, {11, 8}, {45, 30}} {
		for _, way := range []struct {
			name   string
			choose func(*rand.Rand, *Chooser, Request, []directory.Relay) (directory.Relay, bool)
		}{{"two choices, own zone first", built}, {"at random", atRandom}, {"first of the list", firstOfList}} {
			got := playSpread(size.gateways, size.cut, way.choose)
			t.Logf("%d of %d cut off, %s: most in flight at a relay %d, %d%% across zones, %d tries at relays that are cut off, of %d requests",
				size.cut, size.gateways, way.name, got.mostInFlight, 100*got.acrossZones/got.requests, got.misses, got.requests)
			// Requests in flight if all relays that are not cut off had the same.
			mean := float64(size.cut) * 40 * 0.09 / float64(size.gateways-size.cut)
			if way.name == "two choices, own zone first" && float64(got.mostInFlight) > 3*mean+10 {
				t.Errorf("%d of %d cut off: %d requests in flight at one relay, the mean is %.1f", size.cut, size.gateways, got.mostInFlight, mean)
			}
		}
	}
}
