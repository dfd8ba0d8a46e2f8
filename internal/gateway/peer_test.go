package gateway

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// eventuallyTimeout bounds each wait for a condition.
const eventuallyTimeout = 30 * time.Second

// stubController serves a directory to gateways and answers their pings.
type stubController struct {
	address string
	// silent keeps connections open without sending anything.
	silent atomic.Bool
	// peers are sent to each gateway.
	peers []string
	// controllers are sent before the directory, which then follows the first ping.
	controllers []string
	// wholeDirectories counts the whole directories that were sent.
	wholeDirectories atomic.Int64
	// streams counts the streams that were opened.
	streams atomic.Int64
	open    atomic.Int64
	// addService adds the service "added" to the directory.
	addService atomic.Bool
}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startStub runs a controller until the test ends.
func startStub(t *testing.T, peers ...string) *stubController {
	t.Helper()
	listener := listenOnLoopback(t)
	stub := &stubController{address: listener.Addr().String(), peers: peers}
	runInBackground(t, func(ctx context.Context) {
		_ = (&wire.Server{}).Serve(ctx, listener, stub.serve) // ends with the test
	})
	return stub
}

func runInBackground(t *testing.T, run func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

func (c *stubController) serve(ctx context.Context, connection *wire.Conn) {
	c.streams.Add(1)
	c.open.Add(1)
	defer c.open.Add(-1)
	var hello message.Hello
	var first message.DirectoryRequest
	if connection.Receive(&hello) != nil || connection.Receive(&first) != nil {
		return
	}
	view := directory.New()
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","version":1}]}}`))
	if err != nil || view.Apply(1, directory.Command{Patch: &patch}) != nil {
		return
	}
	changes := view.RoutingSince(0)
	if c.silent.Load() {
		<-ctx.Done()
		return
	}
	var ping message.DirectoryRequest
	if len(c.controllers) > 0 && first.Revision == 0 {
		if connection.Send(ctx, &message.DirectoryUpdate{Controllers: c.controllers}) != nil || connection.Receive(&ping) != nil {
			return
		}
	}
	c.wholeDirectories.Add(1)
	if connection.Send(ctx, &message.DirectoryUpdate{Cluster: "cluster", Changes: &changes, Peers: c.peers, Pong: ping.Ping}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var sending conc.WaitGroup
	defer sending.Wait()
	defer cancel()
	sending.Go(func() { c.sendAddedService(ctx, connection, view) })
	for !c.silent.Load() {
		var ping message.DirectoryRequest
		if connection.Receive(&ping) != nil || connection.Send(ctx, &message.DirectoryUpdate{Pong: ping.Ping}) != nil {
			return
		}
	}
}

// sendAddedService sends the change as soon as the service is added.
func (c *stubController) sendAddedService(ctx context.Context, connection *wire.Conn, view *directory.Directory) {
	for !c.addService.Load() {
		clock.Sleep(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
	}
	_ = connection.Send(ctx, addedService(view)) // the connection may have ended
}

// addedService adds a service to a directory and returns the change.
func addedService(view *directory.Directory) *message.DirectoryUpdate {
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"added","version":2}]}}`))
	if err != nil || view.Apply(2, directory.Command{Patch: &patch}) != nil {
		return nil
	}
	changes := view.RoutingSince(1)
	return &message.DirectoryUpdate{Cluster: "cluster", Changes: &changes}
}

// startSubscription runs the subscription of a gateway to the given controllers.
func startSubscription(t *testing.T, controllers ...string) *subscription {
	t.Helper()
	return startSubscriptionWithTimeout(t, 200*time.Millisecond, controllers...)
}

// startSubscriptionWithTimeout is like startSubscription with a pong timeout.
func startSubscriptionWithTimeout(t *testing.T, pongTimeout time.Duration, controllers ...string) *subscription {
	t.Helper()
	settings := config.DefaultGateway()
	settings.Name, settings.Address = "g", "127.0.0.1:1"
	settings.PingInterval, settings.PongTimeout = 20*time.Millisecond, pongTimeout
	s := newSubscription(testClock, settings, telemetry.New(role, "g", "error", io.Discard), nil, &link.Meter{})
	s.controllers = controllers
	runInBackground(t, s.run)
	return s
}

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, eventuallyTimeout)
		}
	}
}

// TestDirectoryFromAnotherGateway guards against a gateway without a controller that keeps an old directory,
// and sends requests for keys to instances that have lost them. It follows the directory of a gateway whose
// controller answers, and returns to a controller once one answers.
func TestDirectoryFromAnotherGateway(t *testing.T) {
	controller := startStub(t)
	connected := startSubscription(t, controller.address)
	peerListener := listenOnLoopback(t)
	runInBackground(t, func(ctx context.Context) { _ = servePeersOf(ctx, connected, peerListener) })
	eventually(t, "the first gateway is confirmed by its controller", connected.confirmed)

	unreachable := startStub(t)
	isolated := startSubscription(t, unreachable.address)
	eventually(t, "the second gateway is confirmed by its controller", isolated.confirmed)
	unreachable.silent.Store(true)
	eventually(t, "the second gateway has lost its controller", isolated.lostControllers)
	controller.addService.Store(true)
	isolated.viewLock.Lock()
	isolated.peers = []string{peerListener.Addr().String()}
	isolated.viewLock.Unlock()
	runInBackground(t, isolated.followPeers)
	eventually(t, "the gateway without a controller gets the directory", func() bool {
		_, found := isolated.knownService("added")
		return found
	})
	if isolated.confirmed() {
		t.Error("a directory from another gateway counts as confirmed by a controller and would be passed on")
	}
	unreachable.silent.Store(false)
	eventually(t, "a controller confirms again", isolated.confirmed)
}

func (s *subscription) knownService(name string) (directory.Service, bool) {
	table := s.current()
	if table == nil {
		return directory.Service{}, false
	}
	service, found := table.Service(name)
	if !found {
		return directory.Service{}, false
	}
	return service.Config, true
}

// TestUnconfirmedDirectoryIsNotPassedOn checks that a gateway whose directory is not confirmed by a controller
// rejects other gateways, so that two gateways without a controller do not confirm each other.
func TestUnconfirmedDirectoryIsNotPassedOn(t *testing.T) {
	unconfirmed := startSubscription(t)
	listener := listenOnLoopback(t)
	runInBackground(t, func(ctx context.Context) { _ = servePeersOf(ctx, unconfirmed, listener) })
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	connection, err := wire.Dial(ctx, listener.Addr().String(), wire.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if err := connection.Send(ctx, &message.Hello{Purpose: message.PurposeDirectory}); err != nil {
		t.Fatal(err)
	}
	if err := connection.Send(ctx, &message.DirectoryRequest{}); err != nil {
		t.Fatal(err)
	}
	var update message.DirectoryUpdate
	if err := connection.Receive(&update); err == nil {
		t.Errorf("it served %+v", update)
	}
}

// TestPeersAreTold checks that a controller tells its gateways of each other.
func TestPeersAreTold(t *testing.T) {
	controller := startStub(t, "127.0.0.1:7", "127.0.0.1:8")
	s := startSubscription(t, controller.address)
	eventually(t, "the gateway knows others", func() bool { return len(s.knownPeers()) == 2 })
}

// servePeersOf serves the directory of one subscription to other gateways.
func servePeersOf(ctx context.Context, s *subscription, listener net.Listener) error {
	gateway := &Gateway{settings: s.settings, subscription: s, log: s.log}
	return gateway.servePeersOn(ctx, listener)
}

// TestPassedOnProofKeepsItsAge guards against a gateway that takes the answer of another gateway for proof of the
// moment at which it asked: that one's own proof may be more than a second older.
func TestPassedOnProofKeepsItsAge(t *testing.T) {
	const proofAge = time.Second
	settings := config.DefaultGateway()
	serving := newSubscription(testClock, settings, discardLog(), nil, &link.Meter{})
	view := directory.New()
	applyPatch(t, view, routesPatch("1", "known"))
	changes := view.RoutingSince(0)
	if err := serving.apply(message.DirectoryUpdate{Cluster: "c", Changes: &changes}, source{}); err != nil {
		t.Fatal(err)
	}
	serving.confirm(testClock.Now()-proofAge, source{})
	listener := listenOnLoopback(t)
	runInBackground(t, func(ctx context.Context) {
		_ = servePeersOf(ctx, serving, listener) // ends with the test
	})
	following := newSubscription(testClock, settings, discardLog(), nil, &link.Meter{})
	runInBackground(t, func(ctx context.Context) {
		_ = following.follow(ctx, source{address: listener.Addr().String(), peer: true, wait: eventuallyTimeout}) // ends with the test
	})
	eventually(t, "the directory is proved", func() bool { return following.age() >= 0 })
	if age := following.age(); age < proofAge {
		t.Errorf("the proof is %s old, want at least %s", age, proofAge)
	}
}

// confirmedBy starts a gateway that serves others while it follows a controller.
func confirmedBy(t *testing.T, controller *stubController) (s *subscription, address string) {
	t.Helper()
	s = startSubscription(t, controller.address)
	listener := listenOnLoopback(t)
	runInBackground(t, func(ctx context.Context) {
		_ = servePeersOf(ctx, s, listener) // ends with the test
	})
	runInBackground(t, s.followPeers)
	eventually(t, "the directory is confirmed", s.confirmed)
	return s, listener.Addr().String()
}

func (s *subscription) setPeers(addresses ...string) {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	s.peers = addresses
}

// TestOutageIsToldFromAnIsolatedGateway guards against gateways that reject all requests while no controller can acknowledge
// a change, and against one that follows an old directory because nobody answers it: only a gateway that hears that others
// get no proof either goes on.
func TestOutageIsToldFromAnIsolatedGateway(t *testing.T) {
	controllers := []*stubController{startStub(t), startStub(t), startStub(t)}
	first, firstAddress := confirmedBy(t, controllers[0])
	second, secondAddress := confirmedBy(t, controllers[1])
	isolated, _ := confirmedBy(t, controllers[2])
	unreachable := listenOnLoopback(t)
	defer func() { _ = unreachable.Close() }()
	silent := unreachable.Addr().String() // accepts connections, and never answers
	first.setPeers(silent, secondAddress)
	second.setPeers(firstAddress, silent)
	isolated.setPeers(silent)
	for _, controller := range controllers {
		controller.silent.Store(true)
	}
	mayFollow := func(s *subscription) bool { return s.mayFollow(s.age()) }
	eventually(t, "the isolated gateway stops", func() bool { return !mayFollow(isolated) })
	for range 20 {
		if !mayFollow(first) || !mayFollow(second) || mayFollow(isolated) {
			t.Fatalf("in an outage the gateways follow their tables: %t and %t, and the isolated one: %t", mayFollow(first), mayFollow(second), mayFollow(isolated))
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, controller := range controllers {
		controller.silent.Store(false)
	}
	eventually(t, "all are confirmed again", func() bool { return first.confirmed() && second.confirmed() && isolated.confirmed() })
}

// TestOneOfManyPeersIsFollowed guards against changes that come from each of several gateways, and against a gateway that
// stays with one that lost its controller.
func TestOneOfManyPeersIsFollowed(t *testing.T) {
	controllers := []*stubController{startStub(t), startStub(t), startStub(t)}
	first, firstAddress := confirmedBy(t, controllers[0])
	second, secondAddress := confirmedBy(t, controllers[1])
	following, _ := confirmedBy(t, controllers[2])
	following.setPeers(firstAddress, secondAddress)
	controllers[2].silent.Store(true)
	streams := func() int64 { return first.peerStreams.Load() + second.peerStreams.Load() }
	eventually(t, "one of them is followed", func() bool { return following.lostControllers() && streams() == 1 && following.age() < time.Second })
	followedFirst := first.peerStreams.Load() == 1
	if followedFirst {
		controllers[0].silent.Store(true)
	} else {
		controllers[1].silent.Store(true)
	}
	other := first
	if followedFirst {
		other = second
	}
	eventually(t, "the other one is followed", func() bool { return other.peerStreams.Load() == 1 && following.age() < time.Second })
}
