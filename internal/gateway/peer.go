package gateway

import (
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/remoteclock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// A gateway that gets no answer from a controller follows the directory of another gateway that does. A
// directory is passed on only once: a gateway serves it to others only while its own comes from a controller.

const (
	// peerPollInterval is the interval at which the gateway checks whether a controller answers.
	peerPollInterval = 100 * time.Millisecond
	// peerRetryPause is the delay after no other gateway could serve the directory: most likely the
	// controllers are electing a leader, which takes several 100 ms.
	peerRetryPause = 300 * time.Millisecond
	// peerUpdateDelay is the delay after a change in which further ones are collected for one update.
	peerUpdateDelay = 20 * time.Millisecond
	// peerPingsWaiting bounds the unanswered pings of one gateway.
	peerPingsWaiting = 4
	// maxPeerStreams bounds the gateways that follow the directory of this one: twice as many as the
	// controllers refer to it, see maxPeers in package controller.
	maxPeerStreams = 8
	// maxPeerConnections bounds the connections of other gateways for all purposes.
	maxPeerConnections = 4096
	// placeIdleTimeout is the idle timeout of the connection of a gateway that requests places.
	placeIdleTimeout = time.Minute
)

// confirmed reports whether a controller has recently confirmed that the directory is current.
func (s *subscription) confirmed() bool {
	confirmed := s.confirmedAt.Load()
	return confirmed != nil && s.clock.Now()-*confirmed < s.settings.PongTimeout+s.settings.PingInterval
}

// lostControllers reports whether controllers once confirmed the directory and no longer do. A gateway that
// has just started waits for them: a whole directory would saturate the narrow link of another gateway.
func (s *subscription) lostControllers() bool { return s.confirmedAt.Load() != nil && !s.confirmed() }

// followPeers follows the directory of other gateways while no controller answers, until the context ends.
func (s *subscription) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if s.lostControllers() {
			s.askPeers(ctx)
		}
		clock.Sleep(ctx, peerPollInterval)
	}
}

// askPeers asks the known gateways side by side until a controller answers.
func (s *subscription) askPeers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	search := &peerSearch{limit: s.settings.PongTimeout}
	for _, address := range s.knownPeers() {
		group.Go(func() { s.askPeer(ctx, address, search) })
	}
	for ctx.Err() == nil && !s.confirmed() {
		clock.Sleep(ctx, peerPollInterval)
	}
}

// askPeer asks one gateway until the context ends. It waits longer for the next answers after none has come in time.
func (s *subscription) askPeer(ctx context.Context, address string, search *peerSearch) {
	wait := s.settings.PongTimeout
	for ctx.Err() == nil {
		if search.mayAsk(address) {
			before := s.age()
			s.followPeer(ctx, source{address: address, peer: true, wait: wait, peers: search})
			search.release(address)
			wait = min(2*wait, patience)
			if s.age() < before {
				wait = s.settings.PongTimeout
			}
		}
		clock.Sleep(ctx, peerRetryPause)
	}
}

func (s *subscription) knownPeers() []string {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	return slices.Clone(s.peers)
}

// followPeer follows the stream of another gateway until it breaks, is silent for longer than the wait, or a
// controller answers again.
func (s *subscription) followPeer(ctx context.Context, from source) {
	err := s.follow(ctx, from)
	if ctx.Err() != nil || errors.Is(err, errOtherPeer) {
		return
	}
	if errors.Is(err, errControllerAnswers) || s.progress.Failed(from.address, err) {
		telemetry.WithError(s.log, telemetry.EventControllerLost, err).WithField(telemetry.FieldAddress, from.address).
			WithField(fieldTableAge, ageMs(s.age())).Info("directory stream from another gateway ended")
	}
}

var (
	errControllerAnswers = eris.New("a controller answers again")
	errOtherPeer         = eris.New("another gateway confirms the directory already")
	errNotConfirmed      = eris.New("no controller confirms this gateway's directory: ask another gateway")
)

// peerConnections returns the number of open connections of other gateways.
func (g *Gateway) peerConnections() int {
	if server := g.peerServer.Load(); server != nil {
		return server.Connections()
	}
	return 0
}

// servePeersOn serves other gateways until the context ends.
func (g *Gateway) servePeersOn(ctx context.Context, listener net.Listener) error {
	server := &wire.Server{
		MaxConnections: maxPeerConnections,
		Panicked:       telemetry.PanicLogger(g.log),
		Options: wire.Options{
			IdleTimeout: g.settings.PongTimeout, WriteTimeout: g.settings.PongTimeout, ReadBufferBytes: placeReadBuffer,
		},
	}
	g.peerServer.Store(server)
	return server.Serve(ctx, listener, func(ctx context.Context, connection *wire.Conn) {
		if err := g.servePeer(ctx, connection); err != nil {
			g.log.WithError(err).WithField(telemetry.FieldAddress, connection.RemoteAddress()).Debug("connection of another gateway ended")
		}
	})
}

// servePeer serves one connection of another gateway.
func (g *Gateway) servePeer(ctx context.Context, connection *wire.Conn) error {
	var hello message.Hello
	if err := connection.ReceiveShort(&hello); err != nil {
		return err
	}
	switch hello.Purpose {
	case message.PurposeDirectory:
		return g.subscription.servePeer(ctx, connection)
	case message.PurposePlaces:
		connection.SetIdleTimeout(placeIdleTimeout)
		return g.places.keeper.serve(ctx, connection)
	case message.PurposeRelay:
		return g.serveRelay(ctx, hello, connection)
	default:
		return eris.Errorf("purpose %q is not served by a gateway", hello.Purpose)
	}
}

// errTooManyPeers ends a connection beyond maxPeerStreams.
var errTooManyPeers = eris.New("the maximum number of gateways already follow the directory of this one")

// servePeer serves the directory to one gateway: the changes since its revision, then each further change, and
// a pong for each ping while this gateway's directory is confirmed. While controllers no longer confirm it, it tells so.
func (s *subscription) servePeer(ctx context.Context, connection *wire.Conn) error {
	defer s.peerStreams.Add(-1)
	if s.peerStreams.Add(1) > maxPeerStreams {
		return errTooManyPeers
	}
	var first message.DirectoryRequest
	if err := connection.ReceiveShort(&first); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pings := make(chan uint64, peerPingsWaiting)
	var reading conc.WaitGroup
	defer reading.Wait()
	defer connection.Close()
	reading.Go(func() {
		defer cancel()
		receivePings(ctx, connection, pings)
	})
	return s.writePeer(ctx, connection, first, pings)
}

func receivePings(ctx context.Context, connection *wire.Conn, pings chan<- uint64) {
	for {
		var request message.DirectoryRequest
		if connection.ReceiveShort(&request) != nil {
			return
		}
		select {
		case pings <- request.Ping:
		case <-ctx.Done():
			return
		}
	}
}

func (s *subscription) writePeer(ctx context.Context, connection *wire.Conn, first message.DirectoryRequest, pings <-chan uint64) error {
	sent, cluster := first.Revision, first.Cluster
	var ping uint64
	for {
		changed := s.updates.Next()
		update, err := s.peerUpdate(cluster, sent, ping)
		if err != nil {
			return err
		}
		if update.Changes != nil || update.Pong != 0 || update.Unconfirmed != 0 {
			if err := connection.Send(ctx, &update); err != nil {
				return err
			}
		}
		if update.Changes != nil {
			sent = update.Changes.To
		}
		if update.Cluster != "" {
			cluster = update.Cluster
		}
		ping = 0
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ping = <-pings:
		case <-changed:
			clock.Sleep(ctx, peerUpdateDelay)
		}
	}
}

// peerUpdate returns the next message to a gateway that has a revision of a cluster's directory: what it lacks, and the
// answer to a ping, unless that is zero.
func (s *subscription) peerUpdate(cluster message.ClusterID, held directory.Revision, ping uint64) (message.DirectoryUpdate, error) {
	if s.lostControllers() {
		return message.DirectoryUpdate{Unconfirmed: ping}, nil
	}
	if !s.confirmed() {
		return message.DirectoryUpdate{}, errNotConfirmed
	}
	// The proof is read before the changes, which then include all that it covers, and after the clock, from which its
	// age is counted.
	provedAt := s.clockReading()
	age := s.confirmedAge()
	update := s.updateAfter(cluster, held)
	if ping != 0 {
		update.Pong, update.ProofAgeMs, update.ProvedAt = ping, proofAgeMs(age), &provedAt
	}
	return update, nil
}

// proofAgeMs returns the age of a proof as it is passed on.
func proofAgeMs(age time.Duration) uint32 {
	return uint32(min((age+time.Millisecond-1)/time.Millisecond, math.MaxUint32-1)) + 1
}

// clockReading returns a reading of this gateway's clock for other gateways.
func (s *subscription) clockReading() remoteclock.Reading {
	return remoteclock.ReadingAt(s.clockOrigin, s.clock.Now())
}

// proofAge returns how old the proof in an update was when its source answered.
func (s *subscription) proofAge(update message.DirectoryUpdate, from source) time.Duration {
	if from.peer && update.ProofAgeMs == 0 {
		return s.settings.PongTimeout + s.settings.PingInterval // a gateway of an earlier version, see confirmed
	}
	return time.Duration(update.ProofAgeMs) * time.Millisecond
}

// updateAfter returns the changes that a gateway lacks which has a given revision of a cluster's directory.
func (s *subscription) updateAfter(cluster message.ClusterID, held directory.Revision) message.DirectoryUpdate {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	if cluster != s.cluster {
		held = 0
	}
	if s.view.Revision() <= held {
		return message.DirectoryUpdate{}
	}
	changes := s.view.RoutingSince(held)
	update := message.DirectoryUpdate{Changes: &changes}
	if held == 0 {
		update.Cluster = s.cluster
	}
	return update
}
