package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
)

// A gateway follows the directory over a simulated network, as in TestStreamsBringChangesAndProofs, whose paths also
// fall silent and delay one direction alone, for longer than the bound. After each step a request for a known route is
// read: if it is routed, the table must have all changes that are older than the bound, whatever the network does.

const (
	// longestOneWay is the longest delay of one direction while the other has none.
	longestOneWay = 4 * time.Second
	// recoveryTime is how long after a disturbance requests may still be rejected on a network without delays: the first
	// answers of a new stream wait behind those that were delayed before.
	recoveryTime = longestOneWay + settleTime
)

var (
	errFollowedOutdated = errors.New("a request was routed by a table that lacks an older change")
	errRejectedCurrent  = errors.New("a request was rejected though nothing disturbs the network")
)

// disturbOneWay changes the delay of one direction, or the silence, of all paths or of one.
func (n *simulatedNetwork) disturbOneWay(random *rand.Rand, addresses []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if random.IntN(2) == 0 {
		addresses = addresses[random.IntN(len(addresses)):][:1]
	}
	path := simulatedPath{}
	switch delay := time.Duration(random.Int64N(int64(longestOneWay))); random.IntN(5) {
	case 0:
		path.there = delay
	case 1, 2:
		path.back = delay
	case 3:
		path.silent = true
	default:
	}
	for _, address := range addresses {
		n.paths[address] = path
	}
}

// isCalm reports whether no path is disturbed.
func (n *simulatedNetwork) isCalm() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, path := range n.paths {
		if path != (simulatedPath{}) {
			return false
		}
	}
	return true
}

// simulateFollowing runs one seed with a staleness limit, and returns the first violation, and how many requests were routed
// and rejected.
func simulateFollowing(t *testing.T, seed uint64, limit time.Duration) (routed, rejected int, violation error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		start := time.Now()
		core := &simulatedCore{view: directory.New(), start: start}
		applyPatch(t, core.view, routesPatch("1", "known"))
		core.since = append(core.since, start)
		network := newSimulatedNetwork(core)
		settings := config.DefaultGateway()
		settings.Name, settings.Address, settings.StalenessLimit = "g", "127.0.0.1:1", limit
		g, err := newWithClock(virtualClock{start}, settings, discardLog(), Options{DialPeer: network.dial})
		if err != nil {
			t.Fatal(err)
		}
		addresses := simulatedAddresses()
		g.subscription.controllers = slices.Clone(addresses)
		ctx, cancel := context.WithCancel(context.Background())
		network.group.Go(func() { g.subscription.run(ctx) })
		disturbed := start
		for time.Since(start) < simulatedTime && violation == nil {
			time.Sleep(simulatedStep)
			if random.IntN(20) == 0 {
				core.change(t)
			}
			if random.IntN(200) == 0 {
				network.disturbOneWay(random, addresses)
				disturbed = time.Now()
			}
			settled := network.isCalm() && time.Since(disturbed) > recoveryTime
			held := g.subscription.revision()
			if failure := routeOne(g, "/known/1"); failure != nil {
				rejected++
				if settled {
					violation = fmt.Errorf("%w: %s after the last disturbance: %w", errRejectedCurrent, time.Since(disturbed), failure)
				}
				continue
			}
			routed++
			if needed := core.revisionAt(time.Now().Add(-configurationBound)); held < needed {
				violation = fmt.Errorf("%w: revision %d, %s ago it was %d", errFollowedOutdated, held, configurationBound, needed)
			}
		}
		cancel()
		network.end()
	})
	return routed, rejected, violation
}

// TestRoutesAreFollowedOnlyWithinTheBound guards against requests that run by an older route because no proof arrives, or
// because proofs and changes arrive late.
func TestRoutesAreFollowedOnlyWithinTheBound(t *testing.T) {
	routed, rejected := 0, 0
	for seed := range uint64(40) {
		followed, refused, violation := simulateFollowing(t, seed, configurationBound)
		if violation != nil {
			t.Errorf("seed %d: %v", seed, violation)
		}
		routed, rejected = routed+followed, rejected+refused
	}
	if routed == 0 || rejected == 0 {
		t.Errorf("%d requests were routed and %d rejected: the seeds do not meet both", routed, rejected)
	}
}

// TestPlantedLimitsAreFound checks that the checks of TestRoutesAreFollowedOnlyWithinTheBound find a gateway that follows
// tables for too long, and one that rejects requests by tables that are current.
func TestPlantedLimitsAreFound(t *testing.T) {
	for limit, want := range map[time.Duration]error{
		configurationBound + 500*time.Millisecond: errFollowedOutdated,
		100 * time.Millisecond:                    errRejectedCurrent,
	} {
		found := error(nil)
		for seed := uint64(0); seed < 40 && found == nil; seed++ {
			_, _, found = simulateFollowing(t, seed, limit)
		}
		if !errors.Is(found, want) {
			t.Errorf("limit of %s: found %v, want %v", limit, found, want)
		}
	}
}
