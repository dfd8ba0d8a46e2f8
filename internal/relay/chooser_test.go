package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func named(zones ...string) []directory.Relay {
	var relays []directory.Relay
	for index, zone := range zones {
		relays = append(relays, directory.Relay{Address: fmt.Sprint("g", index), Zone: zone})
	}
	return relays
}

// network has who reaches whom: reaches[gateway][instance].
type network struct {
	reaches   [][]bool
	instances []directory.InstanceID
}

func randomNetwork(random *rand.Rand, gateways, instances int) network {
	n := network{}
	for index := range instances {
		n.instances = append(n.instances, directory.InstanceID(fmt.Sprint("i", index)))
	}
	probability := random.Float64()
	for range gateways {
		row := make([]bool, instances)
		for index := range row {
			row[index] = random.Float64() < probability
		}
		n.reaches = append(n.reaches, row)
	}
	return n
}

// relay returns what a relay tells of a request to an instance.
func (n network) relay(gateway, instance int) Outcome {
	switch {
	case n.reaches[gateway][instance]:
		return Worked
	case slices.Contains(n.reaches[gateway], true):
		return InstanceUnreachable
	default:
		return RelayUnusable
	}
}

// send sends one request through relays, and reports whether it reached its instance. forgets leaves out which
// relays were tried.
func (n network) send(random *rand.Rand, chooser *Chooser, now time.Duration, instance int, forgets bool) (reached bool, tries int) {
	request := Request{Now: now, Instance: n.instances[instance], CutOff: true}
	for {
		request.Random = [2]float64{random.Float64(), random.Float64()}
		chosen, found := chooser.Choose(request)
		if !found {
			return false, tries
		}
		tries++
		var gateway int
		_, _ = fmt.Sscanf(chosen.Address, "g%d", &gateway)
		outcome := n.relay(gateway, instance)
		if forgets {
			outcome = Declined
		}
		chooser.End(now, chosen.Address, n.instances[instance], outcome)
		if n.reaches[gateway][instance] {
			return true, tries
		}
		if !forgets {
			request.Tried = append(request.Tried, chosen.Address)
		}
		if tries > 10*MaxTries {
			return false, tries
		}
	}
}

// TestRequestIsRelayedWhileAnyGatewayReachesItsInstance checks, over random cuts between gateways and instances,
// that each request reaches its instance if any gateway does, with at most one try at each relay.
func TestRequestIsRelayedWhileAnyGatewayReachesItsInstance(t *testing.T) {
	const (
		seeds     = 300
		instances = 4
	)
	violations := func(forgets bool) int {
		count := 0
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 59))
			n := randomNetwork(random, 1+random.IntN(MaxTries), instances)
			chooser := NewChooser("own", "z")
			chooser.SetRelays(named(make([]string, len(n.reaches))...))
			now := time.Duration(0)
			for range 20 {
				now += 2 * maxPause // reports and pauses have ended
				instance := random.IntN(instances)
				any := slices.ContainsFunc(n.reaches, func(row []bool) bool { return row[instance] })
				reached, tries := n.send(random, chooser, now, instance, forgets)
				if reached != any || tries > len(n.reaches) {
					count++
				}
			}
		}
		return count
	}
	if count := violations(false); count > 0 {
		t.Errorf("%d requests failed though a gateway reaches their instance, or asked a relay twice", count)
	}
	if violations(true) == 0 {
		t.Error("a chooser that forgets which relays it tried must be caught")
	}
}

// TestDeadInstanceCostsFewTries guards against requests to a dead instance that each ask all gateways: those that
// could not reach it are not asked again for a while, and all of them at most MaxTries times.
func TestDeadInstanceCostsFewTries(t *testing.T) {
	chooser := NewChooser("own", "z")
	chooser.SetRelays(named(make([]string, 5*MaxTries)...))
	asked := 0
	ask := func(now time.Duration, cutOff bool) (tries int) {
		request := Request{Now: now, Instance: "dead", CutOff: cutOff, Random: [2]float64{0.5, 0.9}}
		for {
			chosen, found := chooser.Choose(request)
			if !found {
				return tries
			}
			tries++
			asked++
			request.Tried = append(request.Tried, chosen.Address)
			chooser.End(now, chosen.Address, "dead", InstanceUnreachable)
		}
	}
	if tries := ask(0, false); tries != maxSingleTries {
		t.Errorf("%d tries of a request while other instances are reachable, want %d", tries, maxSingleTries)
	}
	for range 10 {
		ask(reportTime/2, true)
	}
	if asked != MaxTries {
		t.Errorf("%d tries of all requests, want %d", asked, MaxTries)
	}
	if chooser.Available(Request{Now: reportTime / 2, Instance: "dead"}) || !chooser.Available(Request{Now: reportTime / 2, Instance: "other"}) {
		t.Error("only the dead instance must have no relay")
	}
	if !chooser.Available(Request{Now: 2 * reportTime, Instance: "dead"}) {
		t.Error("after a while relays must be asked again")
	}
}

// TestRelaysThatAreCutOffAreLeftOut checks that a gateway which cannot relay is not asked for a growing time, and
// that others get its requests.
func TestRelaysThatAreCutOffAreLeftOut(t *testing.T) {
	chooser := NewChooser("g0", "z")
	chooser.SetRelays(named("z", "z", "z"))
	counts := make(map[string]int)
	for index := range 100 {
		chosen, found := chooser.Choose(Request{Instance: "i", CutOff: true, Random: [2]float64{float64(index) / 100, float64(index*37%100) / 100}})
		if !found {
			t.Fatal("a relay must be left")
		}
		counts[chosen.Address]++
		if chosen.Address == "g1" {
			chooser.End(0, "g1", "i", RelayUnusable)
		}
	}
	if counts["g0"] > 0 || counts["g1"] != 1 || counts["g2"] != 99 {
		t.Errorf("requests by relay: %v; want none through the gateway itself, one through the one that is cut off", counts)
	}
	free := func(now time.Duration) bool {
		return chooser.Available(Request{Now: now, Instance: "i", Tried: []string{"g2"}, CutOff: true})
	}
	if free(firstPause-1) || !free(firstPause) {
		t.Error("the first pause must end after firstPause")
	}
	chooser.End(firstPause, "g1", "i", RelayUnusable)
	if free(3*firstPause-1) || !free(3*firstPause) {
		t.Error("the second pause must be twice as long")
	}
}

// TestRelaysAreSpreadAndNear checks that the relay with fewer requests in flight gets the next one, and that
// another zone is used only for much less load.
func TestRelaysAreSpreadAndNear(t *testing.T) {
	chooser := NewChooser("own", "near")
	chooser.SetRelays(named("near", "far"))
	count := make(map[string]int)
	for range 3 * crossZoneLoad {
		chosen, _ := chooser.Choose(Request{Instance: "i", Random: [2]float64{0, 0.99}})
		count[chosen.Address]++
	}
	if count["g0"] != 2*crossZoneLoad || count["g1"] != crossZoneLoad {
		t.Errorf("requests by relay: %v", count)
	}
	request := Request{Instance: "i", AllowsZone: func(zone string) bool { return zone == "far" }}
	if chosen, found := chooser.Choose(request); !found || chosen.Zone != "far" {
		t.Errorf("a request that is bound to a region passes through %v", chosen)
	}
}

// TestIsolatedGatewayStopsAsking guards against a gateway that is cut off from other gateways as well, and lets
// each request wait for one relay after the other.
func TestIsolatedGatewayStopsAsking(t *testing.T) {
	chooser := NewChooser("own", "z")
	chooser.SetRelays(named(make([]string, 10)...))
	request := Request{Instance: "i", CutOff: true}
	fail := func(now time.Duration) bool {
		request.Now = now
		chosen, found := chooser.Choose(request)
		if found {
			chooser.End(now, chosen.Address, "i", RelayUnreachable)
		}
		return found
	}
	for try := range isolatedAfter {
		if !fail(0) {
			t.Fatalf("no relay for try %d", try)
		}
	}
	if fail(isolationPause - 1) {
		t.Error("relays are asked though none could be reached")
	}
	if !fail(isolationPause) || fail(isolationPause) {
		t.Error("after the pause one relay must be asked, and none if it cannot be reached either")
	}
	request.Now = 2 * isolationPause
	chosen, found := chooser.Choose(request)
	if !found {
		t.Fatal("no relay after the second pause")
	}
	chooser.End(request.Now, chosen.Address, "i", Worked)
	for range isolatedAfter - 1 {
		if !fail(request.Now) {
			t.Error("a relay that answered must end the isolation")
		}
	}
}

// TestDeadlinesOfOneInstanceLeaveTheRelay guards against a relay that is left out because an instance behind it is
// slow. Only several deadlines in a row, with no answer between them, count against the relay.
func TestDeadlinesOfOneInstanceLeaveTheRelay(t *testing.T) {
	for _, c := range []struct {
		name      string
		outcomes  []Outcome
		available bool
	}{
		{"deadlines between answers", []Outcome{Unanswered, Unanswered, Worked, Unanswered, Unanswered}, true},
		{"deadlines alone", []Outcome{Unanswered, Unanswered, Unanswered}, false},
		{"no free connection", []Outcome{Declined, Declined, Declined, Declined}, true},
	} {
		chooser := NewChooser("own", "z")
		chooser.SetRelays(named("z"))
		for _, outcome := range c.outcomes {
			chooser.End(0, "g0", "i", outcome)
		}
		if got := chooser.Available(Request{Instance: "i", CutOff: true}); got != c.available {
			t.Errorf("%s: available %v, want %v", c.name, got, c.available)
		}
	}
}
