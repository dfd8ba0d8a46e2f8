package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Several gateways follow the same controllers, and ask each other, over paths that are silent or delayed by seed, while the
// controllers lose their quorum and get it back.

const (
	simulatedGateways = 4
	// outageTime is how long after the last disturbance an outage may be unknown: until proofs are missed, and all other
	// gateways have been asked.
	outageTime = 2*time.Second + recoveryTime
	// checkedTime is how long the checks last until the next disturbance.
	checkedTime = 5 * time.Second
)

var (
	errInferredOutage = errors.New("a gateway follows an outdated table beside one that has a proof, or cut off from all others")
	errMissedOutage   = errors.New("a gateway rejects requests in an outage of all controllers")
)

// simulatedFleet is several gateways, each with its own paths to the controllers and to the others.
type simulatedFleet struct {
	core     *simulatedCore
	gateways []*Gateway
	networks []*simulatedNetwork
}

func gatewayAddress(number int) string { return fmt.Sprintf("127.0.0.1:%d", 200+number) }

func newSimulatedFleet(t *testing.T, core *simulatedCore) *simulatedFleet {
	f := &simulatedFleet{core: core}
	for number := range simulatedGateways {
		network := newSimulatedNetwork(core)
		network.gateways = make(map[string]func(context.Context, net.Conn))
		settings := config.DefaultGateway()
		settings.Name, settings.Address = fmt.Sprintf("g%d", number), gatewayAddress(number)
		g, err := newWithClock(virtualClock{core.start}, settings, discardLog(), Options{DialPeer: network.dial})
		if err != nil {
			t.Fatal(err)
		}
		g.subscription.controllers = simulatedAddresses()
		f.gateways, f.networks = append(f.gateways, g), append(f.networks, network)
	}
	for number, network := range f.networks {
		for other, g := range f.gateways {
			if other == number {
				continue
			}
			f.gateways[number].subscription.peers = append(f.gateways[number].subscription.peers, gatewayAddress(other))
			network.gateways[gatewayAddress(other)] = func(ctx context.Context, stream net.Conn) {
				connection := wire.NewConn(stream, wire.Options{IdleTimeout: g.settings.PongTimeout, WriteTimeout: g.settings.PongTimeout})
				defer connection.Close()
				_ = g.servePeer(ctx, connection) // ends with the stream
			}
		}
	}
	return f
}

// outagePlant is a planted fault.
type outagePlant struct {
	// asksNobody gateways never ask others, and infersOutages gateways take silence for an outage.
	asksNobody, infersOutages bool
}

func (f *simulatedFleet) run(ctx context.Context, planted outagePlant) {
	for number, g := range f.gateways {
		f.networks[number].group.Go(func() { g.subscription.run(ctx) })
		if !planted.asksNobody {
			f.networks[number].group.Go(func() { g.subscription.followPeers(ctx) })
		}
	}
}

func (f *simulatedFleet) end() {
	for _, network := range f.networks {
		network.end()
	}
}

// disturb changes the paths of one gateway, to the controllers, to the others or to both, or the state of the controllers.
func (f *simulatedFleet) disturb(random *rand.Rand) {
	if random.IntN(4) == 0 {
		f.core.setRest(!f.core.isResting())
		return
	}
	number := random.IntN(len(f.gateways))
	var addresses []string
	if random.IntN(4) > 0 {
		addresses = append(addresses, simulatedAddresses()...)
	}
	if random.IntN(3) == 0 {
		addresses = append(addresses, f.gateways[number].subscription.knownPeers()...)
	}
	path := simulatedPath{silent: random.IntN(3) == 0}
	if !path.silent && random.IntN(2) == 0 {
		path.there, path.back = time.Duration(random.Int64N(int64(longestOneWay))), time.Duration(random.Int64N(int64(longestOneWay)))
	}
	network := f.networks[number]
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, address := range addresses {
		network.paths[address] = path
	}
}

// isCalm reports whether the path of a gateway to one of the addresses is not disturbed.
func (f *simulatedFleet) isCalm(number int, addresses ...string) bool {
	return slices.ContainsFunc(addresses, func(address string) bool { return f.networks[number].path(address) == simulatedPath{} })
}

// isIsolated reports whether all paths of a gateway are silent.
func (f *simulatedFleet) isIsolated(number int) bool {
	addresses := append(simulatedAddresses(), f.gateways[number].subscription.knownPeers()...)
	return !slices.ContainsFunc(addresses, func(address string) bool { return !f.networks[number].path(address).silent })
}

// provenOther reports whether a gateway has a calm path to another one that has one to a controller, and reachesOther whether
// it has one to any other.
func (f *simulatedFleet) provenOther(number int) (provenOther, reachesOther bool) {
	for other := range f.gateways {
		if other != number && f.isCalm(number, gatewayAddress(other)) {
			reachesOther = true
			provenOther = provenOther || f.isCalm(other, simulatedAddresses()...)
		}
	}
	return provenOther, reachesOther
}

// check checks what a gateway does with a request once the last disturbance is long past.
func (f *simulatedFleet) check(number int) error {
	g := f.gateways[number]
	held := g.subscription.revision()
	failure := routeOne(g, "/known/1")
	proven, reaches := f.provenOther(number)
	if f.core.isResting() {
		// One that had no proof before the outage knows nothing of the changes until then.
		if failure != nil && reaches && g.subscription.age() >= 0 {
			return fmt.Errorf("%w: g%d: %w", errMissedOutage, number, failure)
		}
		return nil
	}
	needed := f.core.revisionAt(time.Now().Add(-configurationBound))
	if failure == nil && held < needed && (proven || f.isIsolated(number)) {
		return fmt.Errorf("%w: g%d has revision %d, %s ago it was %d", errInferredOutage, number, held, configurationBound, needed)
	}
	return nil
}

// simulateOutages runs one seed and returns the first violation.
func simulateOutages(t *testing.T, seed uint64, planted outagePlant) (violation error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		start := time.Now()
		core := &simulatedCore{view: directory.New(), start: start}
		applyPatch(t, core.view, routesPatch("1", "known"))
		core.since = append(core.since, start)
		f := newSimulatedFleet(t, core)
		ctx, cancel := context.WithCancel(context.Background())
		f.run(ctx, planted)
		disturbed := start
		for time.Since(start) < 2*simulatedTime && violation == nil {
			time.Sleep(simulatedStep)
			if random.IntN(20) == 0 && !core.isResting() {
				core.change(t)
			}
			if time.Since(disturbed) > outageTime+checkedTime || random.IntN(2000) == 0 {
				f.disturb(random)
				disturbed = time.Now()
			}
			for number, g := range f.gateways {
				if planted.infersOutages {
					raise(&g.subscription.unconfirmedAt, g.clock.Now())
				}
				if time.Since(disturbed) > outageTime && violation == nil {
					violation = f.check(number)
				}
			}
		}
		cancel()
		f.end()
	})
	return violation
}

// TestOutagesAreNeitherInferredNorMissed guards against a gateway that takes its own silence, or that of some others, for an
// outage, and against a fleet that stops because its controllers have no quorum.
func TestOutagesAreNeitherInferredNorMissed(t *testing.T) {
	for seed := range uint64(10) {
		if violation := simulateOutages(t, seed, outagePlant{}); violation != nil {
			t.Errorf("seed %d: %v", seed, violation)
		}
	}
}

// TestPlantedOutageFaults checks that the checks of TestOutagesAreNeitherInferredNorMissed find what they are there for.
func TestPlantedOutageFaults(t *testing.T) {
	for planted, want := range map[outagePlant]error{
		{asksNobody: true}:    errMissedOutage,
		{infersOutages: true}: errInferredOutage,
	} {
		found := error(nil)
		for seed := uint64(0); seed < 20 && found == nil; seed++ {
			found = simulateOutages(t, seed, planted)
		}
		if !errors.Is(found, want) {
			t.Errorf("%+v: found %v, want %v", planted, found, want)
		}
	}
}
