package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/remoteclock"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// The streams of one gateway run on a virtual clock, over a network that delays bytes, silences connections, resets
// them and takes controllers away, by seed. After each step it is checked that no proof claims more than the gateway
// has, and, once the network has been left alone for long enough, that changes arrive in time.

const (
	simulatedControllers = 3
	simulatedTime        = 90 * time.Second
	simulatedStep        = 50 * time.Millisecond
	// longestDelay is the longest delay in each direction.
	longestDelay = time.Second
	// simulatedDrift is how much faster or slower the clock of a controller runs than that of the gateway.
	simulatedDrift = 5e-4
	// settleTime is how long after a disturbance changes may be late: until the silence is noticed, all controllers
	// are asked in turn, and one of them has accepted a connection and answered twice.
	settleTime = 900*time.Millisecond + simulatedControllers*(raceStagger+firstBytesTimeout) + 4*2*longestDelay
)

// virtualClock reads the time of a synctest bubble.
type virtualClock struct{ start time.Time }

func (c virtualClock) Now() time.Duration { return time.Since(c.start) }

// simulatedCore is the directory that all simulated controllers serve, and when each of its revisions began.
type simulatedCore struct {
	mutex sync.Mutex
	view  *directory.Directory
	since []time.Time
	start time.Time
	// rests is true while the controllers have no quorum: nothing changes, and pings are not answered.
	rests bool
	// vouchesEarly answers pings before the changes that the answer vouches for.
	vouchesEarly bool
}

// change adds a revision.
func (c *simulatedCore) change(t *testing.T) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	applyPatch(t, c.view, fmt.Sprintf(`{"set":{"services":[{"name":"s%d","version":1}]}}`, c.view.Revision()))
	c.since = append(c.since, time.Now())
}

func (c *simulatedCore) setRest(rests bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rests = rests
}

func (c *simulatedCore) isResting() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rests
}

// revisionAt returns the newest revision from before a moment.
func (c *simulatedCore) revisionAt(moment time.Time) directory.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := directory.Revision(0)
	for index, since := range c.since {
		if since.Before(moment) {
			newest = directory.Revision(index + 1)
		}
	}
	return newest
}

// changesAfter returns the update that a gateway lacks; nil for none.
func (c *simulatedCore) changesAfter(held directory.Revision) *message.DirectoryUpdate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.view.Revision() <= held {
		return nil
	}
	changes := c.view.RoutingSince(held)
	return &message.DirectoryUpdate{Cluster: "c", Changes: &changes}
}

// serve serves the directory on one connection: changes at once, and an answer to each ping after the changes.
func (c *simulatedCore) serve(ctx context.Context, stream net.Conn, address string) {
	connection := wire.NewConn(stream, wire.Options{})
	defer connection.Close()
	var hello message.Hello
	var first message.DirectoryRequest
	if connection.Receive(&hello) != nil || connection.Receive(&first) != nil {
		return
	}
	if first.Revision == 0 && connection.Send(ctx, &message.DirectoryUpdate{Leader: "leader"}) != nil {
		return
	}
	pings := make(chan uint64, pingsKept)
	var reading conc.WaitGroup
	defer reading.Wait()
	defer connection.Close()
	reading.Go(func() {
		defer close(pings)
		receivePings(ctx, connection, pings)
	})
	c.write(ctx, connection, first.Revision, pings, address)
}

// clockReading returns a reading of the clock of one controller. Their origins lie apart, and each runs at a rate of its own.
func (c *simulatedCore) clockReading(address string) remoteclock.Reading {
	number := xxhash.Sum64String(address)
	rate := 1 + simulatedDrift*(2*float64(number%1000)/1000-1)
	return remoteclock.ReadingAt(number|1, time.Duration(number%uint64(time.Hour))+time.Duration(rate*float64(time.Since(c.start))))
}

func (c *simulatedCore) write(ctx context.Context, connection *wire.Conn, held directory.Revision, pings <-chan uint64, address string) {
	ticker := time.NewTicker(simulatedStep)
	defer ticker.Stop()
	for {
		var answer *message.DirectoryUpdate
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case ping, open := <-pings:
			if !open {
				return
			}
			if c.isResting() {
				continue
			}
			pinged := c.clockReading(address)
			answer = &message.DirectoryUpdate{Pong: ping, ProvedAt: &pinged}
		}
		update := c.changesAfter(held)
		if c.vouchesEarly && answer != nil {
			update = nil
		}
		if update != nil {
			held = update.Changes.To
			if connection.Send(ctx, update) != nil {
				return
			}
		}
		if answer != nil && connection.Send(ctx, answer) != nil {
			return
		}
	}
}

// simulatedNetwork connects the gateway to the controllers.
type simulatedNetwork struct {
	core  *simulatedCore
	group conc.WaitGroup
	mutex sync.Mutex
	paths map[string]simulatedPath
	open  []*simulatedStream
	// gateways serve connections to the addresses of other gateways.
	gateways map[string]func(context.Context, net.Conn)
}

// simulatedPath is the way to and from one controller.
type simulatedPath struct {
	// there and back are the delays towards the controller and from it.
	there, back time.Duration
	// silent paths deliver nothing until they are no longer silent; a controller that is down accepts no connection.
	silent, down bool
}

func newSimulatedNetwork(core *simulatedCore) *simulatedNetwork {
	return &simulatedNetwork{core: core, paths: make(map[string]simulatedPath)}
}

// simulatedAddresses returns the addresses of the simulated controllers.
func simulatedAddresses() []string {
	var addresses []string
	for number := range simulatedControllers {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", 100+number))
	}
	return addresses
}

// simulatedStream is one connection to a controller.
type simulatedStream struct {
	address string
	end     context.CancelFunc
	ended   <-chan struct{}
	mutex   sync.Mutex
	silent  bool
}

func (s *simulatedStream) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *simulatedStream) isSilent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent
}

func (n *simulatedNetwork) path(address string) simulatedPath {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.paths[address]
}

// delayThere and delayBack return the delay of one direction.
func (p simulatedPath) delayThere() time.Duration { return p.there }
func (p simulatedPath) delayBack() time.Duration  { return p.back }

// dial connects to a controller, which takes one round trip. A controller that is down does not answer.
func (n *simulatedNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	path := n.path(address)
	timer := time.NewTimer(path.there + path.back)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if path := n.path(address); path.down || path.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, nearEnd := net.Pipe()
	far, farEnd := net.Pipe()
	lifetime, end := context.WithCancel(context.Background())
	stream := &simulatedStream{address: address, end: end, ended: lifetime.Done()}
	n.mutex.Lock()
	n.open = append(n.open, stream)
	n.mutex.Unlock()
	closeAll := func() {
		end()
		_ = nearEnd.Close()
		_ = farEnd.Close()
	}
	n.group.Go(func() { <-lifetime.Done(); closeAll() })
	n.group.Go(func() { n.forward(stream, nearEnd, farEnd, simulatedPath.delayThere) })
	n.group.Go(func() { n.forward(stream, farEnd, nearEnd, simulatedPath.delayBack) })
	n.group.Go(func() {
		if serve, found := n.gateways[address]; found {
			serve(lifetime, far)
			return
		}
		n.core.serve(lifetime, far, address)
	})
	return near, nil
}

type simulatedBytes struct {
	content []byte
	at      time.Time
}

// forward delivers bytes after the delay that holds when they are sent.
func (n *simulatedNetwork) forward(stream *simulatedStream, from, to net.Conn, delay func(simulatedPath) time.Duration) {
	queue := make(chan simulatedBytes, 4096)
	var reading conc.WaitGroup
	defer reading.Wait()
	defer stream.end()
	reading.Go(func() {
		defer close(queue)
		for {
			buffer := make([]byte, 16<<10)
			count, err := from.Read(buffer)
			if err != nil {
				return
			}
			queue <- simulatedBytes{content: buffer[:count], at: time.Now().Add(delay(n.path(stream.address)))}
		}
	})
	for next := range queue {
		time.Sleep(time.Until(next.at))
		for n.path(stream.address).silent && !stream.hasEnded() {
			time.Sleep(simulatedStep)
		}
		if stream.isSilent() {
			continue
		}
		if _, err := to.Write(next.content); err != nil {
			_ = from.Close()
			for range queue { // let the reader end
			}
			return
		}
	}
}

// disturb does one random thing to the network.
func (n *simulatedNetwork) disturb(random *rand.Rand, addresses []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := addresses[random.IntN(len(addresses))]
	switch random.IntN(5) {
	case 0, 1:
		delay := time.Duration(random.Int64N(int64(longestDelay)))
		for _, each := range addresses {
			n.setDelay(each, delay)
		}
	case 2:
		n.setDelay(address, time.Duration(random.Int64N(int64(longestDelay))))
	case 3:
		for _, stream := range n.open {
			if random.IntN(2) == 0 {
				stream.mutex.Lock()
				stream.silent = true
				stream.mutex.Unlock()
			}
		}
	default:
		path := n.paths[address]
		path.down = !path.down && n.downCount() < simulatedControllers-1
		n.paths[address] = path
		for _, stream := range n.open {
			if stream.address == address && random.IntN(2) == 0 {
				stream.end()
			}
		}
	}
}

// setDelay sets the delay in each direction. The mutex must be held.
func (n *simulatedNetwork) setDelay(address string, delay time.Duration) {
	path := n.paths[address]
	path.there, path.back = delay, delay
	n.paths[address] = path
}

// downCount counts the controllers that are down. The mutex must be held.
func (n *simulatedNetwork) downCount() int {
	count := 0
	for _, path := range n.paths {
		if path.down {
			count++
		}
	}
	return count
}

// end ends all connections and waits for everything that runs.
func (n *simulatedNetwork) end() {
	n.mutex.Lock()
	for _, stream := range n.open {
		stream.end()
	}
	n.mutex.Unlock()
	n.group.Wait()
}

// plant is a planted fault.
type plant struct {
	// impatient streams end after the pong timeout.
	impatient bool
	// vouchesEarly controllers answer pings before they send the changes.
	vouchesEarly bool
}

var (
	errUnsound = errors.New("the directory lacks what it is proved to have")
	errLate    = errors.New("a change did not arrive in time")
)

// newSimulatedSubscription returns a subscription to the simulated controllers, and their addresses.
func newSimulatedSubscription(network *simulatedNetwork, start time.Time, planted plant) (*subscription, []string) {
	settings := config.DefaultGateway()
	settings.Name, settings.Address = "g", "127.0.0.1:1"
	s := newSubscription(virtualClock{start}, settings, discardLog(), nil, &link.Meter{})
	s.dial = network.dial
	if planted.impatient {
		s.patience = settings.PongTimeout
	}
	s.controllers = simulatedAddresses()
	return s, slices.Clone(s.controllers)
}

// simulateStreams runs one seed and returns the first violation.
func simulateStreams(t *testing.T, seed uint64, planted plant) (violation error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		start := time.Now()
		core := &simulatedCore{view: directory.New(), start: start, vouchesEarly: planted.vouchesEarly}
		core.change(t)
		network := newSimulatedNetwork(core)
		s, addresses := newSimulatedSubscription(network, start, planted)
		ctx, cancel := context.WithCancel(context.Background())
		network.group.Go(func() { s.run(ctx) })
		disturbed := start
		for time.Since(start) < simulatedTime && violation == nil {
			time.Sleep(simulatedStep)
			if random.IntN(20) == 0 {
				core.change(t)
			}
			if random.IntN(300) == 0 {
				network.disturb(random, addresses)
				disturbed = time.Now()
			}
			violation = checkStreams(s, core, start, disturbed)
		}
		cancel()
		network.end()
	})
	return violation
}

// checkStreams checks what the gateway has against what it is proved to have, and against what it must have.
func checkStreams(s *subscription, core *simulatedCore, start, disturbed time.Time) error {
	proved := s.provedAt.Load()
	held := s.revision()
	if proved != nil {
		if needed := core.revisionAt(start.Add(*proved)); held < needed {
			return fmt.Errorf("%w: revision %d, proved current at %s, when it was %d", errUnsound, held, *proved, needed)
		}
	}
	if time.Since(disturbed) < settleTime {
		return nil
	}
	if needed := core.revisionAt(time.Now().Add(-configurationBound)); held < needed {
		return fmt.Errorf("%w: revision %d, %s ago it was %d", errLate, held, configurationBound, needed)
	}
	return nil
}

// TestStreamsBringChangesAndProofs checks random networks: proofs are sound, and changes arrive within the bound at a
// gateway whose network is left alone, whatever came before.
func TestStreamsBringChangesAndProofs(t *testing.T) {
	for seed := range uint64(40) {
		if violation := simulateStreams(t, seed, plant{}); violation != nil {
			t.Errorf("seed %d: %v", seed, violation)
		}
	}
}

// TestPlantedStreamFaults checks that the checks of TestStreamsBringChangesAndProofs find what they are there for.
func TestPlantedStreamFaults(t *testing.T) {
	for name, planted := range map[string]struct {
		plant
		want error
	}{
		"streams that are given up before their answer":     {plant{impatient: true}, errLate},
		"controllers that vouch for what they did not send": {plant{vouchesEarly: true}, errUnsound},
	} {
		found := error(nil)
		for seed := uint64(0); seed < 40 && found == nil; seed++ {
			found = simulateStreams(t, seed, planted.plant)
		}
		if !errors.Is(found, planted.want) || !strings.Contains(found.Error(), "revision") {
			t.Errorf("%s: found %v, want %v", name, found, planted.want)
		}
	}
}
