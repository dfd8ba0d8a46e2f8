package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// A gateway that no controller answers takes the directory from another gateway that
// one does answer. A directory passes on once only: a gateway serves it to others while
// its own comes from a controller.

const (
	// peerLookInterval is the time between two looks whether a controller answers.
	peerLookInterval = 100 * time.Millisecond
	// peerRetryPause is the wait after no other gateway could serve the directory: most
	// likely the controllers elect a leader, which takes some tenths of a second.
	peerRetryPause = 300 * time.Millisecond
	// peerGather is how long a stream to another gateway waits after a change for
	// further ones.
	peerGather = 20 * time.Millisecond
	// peerPingsWaiting bounds the pings of one gateway that wait for their answer.
	peerPingsWaiting = 4
	// maxPeerStreams bounds the gateways that take the directory from this one: twice
	// as many as are told of it, see maxPeers of the controllers.
	maxPeerStreams = 8
	// maxPeerConnections bounds the connections of other gateways for all purposes.
	maxPeerConnections = 4096
	// placeIdle is how long a gateway that asks for places may be silent.
	placeIdle = time.Minute
)

// confirmed reports whether a controller has confirmed of late that the directory is
// current.
func (s *subscription) confirmed() bool {
	confirmed := s.confirmedAt.Load()
	return confirmed != nil && s.clock.Now()-*confirmed < s.settings.PongTimeout+s.settings.PingInterval
}

// lostControllers reports whether controllers confirmed the directory once and do not any
// more. A gateway that has just started waits for them: a whole directory would fill the
// narrow link of another gateway.
func (s *subscription) lostControllers() bool { return s.confirmedAt.Load() != nil && !s.confirmed() }

// runPeers takes the directory from other gateways while no controller answers, until
// the context ends.
func (s *subscription) runPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if peers := s.knownPeers(); len(peers) > 0 && s.lostControllers() {
			for _, address := range peers {
				s.followPeer(ctx, address)
			}
			clock.Sleep(ctx, peerRetryPause)
		}
		clock.Sleep(ctx, peerLookInterval)
	}
}

func (s *subscription) knownPeers() []string {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	return slices.Clone(s.peers)
}

// followPeer takes the stream of another gateway until it breaks or a controller
// answers again.
func (s *subscription) followPeer(ctx context.Context, address string) {
	if s.confirmed() || ctx.Err() != nil {
		return
	}
	err := s.follow(ctx, source{address: address, peer: true})
	telemetry.WithError(s.log, telemetry.EventControllerLost, err).WithField(telemetry.FieldAddress, address).
		WithField("table_age_ms", s.age().Milliseconds()).Info("directory stream from another gateway ended")
}

var (
	errControllerAnswers = eris.New("a controller answers again")
	errNotConfirmed      = eris.New("no controller confirms this gateway's directory: ask another gateway")
)

// servePeersOn serves other gateways until the context ends.
func (g *Gateway) servePeersOn(ctx context.Context, listener net.Listener) error {
	server := &wire.Server{
		MaxConnections: maxPeerConnections,
		Panicked:       telemetry.PanicLogger(g.log),
		Options: wire.Options{
			IdleTimeout: g.settings.PongTimeout, WriteTimeout: g.settings.PongTimeout, ReadBufferBytes: placeReadBuffer,
		},
	}
	return server.Serve(ctx, listener, func(ctx context.Context, connection *wire.Conn) {
		if err := g.servePeer(ctx, connection); err != nil {
			g.log.WithError(err).WithField(telemetry.FieldAddress, connection.RemoteAddress()).Debug("connection of another gateway ended")
		}
	})
}

// servePeer serves what another gateway asks for.
func (g *Gateway) servePeer(ctx context.Context, connection *wire.Conn) error {
	var hello message.Hello
	if err := connection.Receive(&hello); err != nil {
		return err
	}
	switch hello.Purpose {
	case message.PurposeDirectory:
		return g.subscription.servePeer(ctx, connection)
	case message.PurposePlaces:
		connection.SetIdleTimeout(placeIdle)
		return g.places.keeper.serve(ctx, connection)
	default:
		return eris.Errorf("purpose %q is not served by a gateway", hello.Purpose)
	}
}

// errPeersServed ends a connection beyond the bound.
var errPeersServed = eris.New("as many gateways as may take the directory from this one")

// servePeer serves the directory to one gateway: what it lacks, then each change, and a pong
// for each ping while the own directory is confirmed.
func (s *subscription) servePeer(ctx context.Context, connection *wire.Conn) error {
	defer s.peerStreams.Add(-1)
	if s.peerStreams.Add(1) > maxPeerStreams {
		return errPeersServed
	}
	var first message.DirectoryRequest
	if err := connection.Receive(&first); err != nil {
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
		if connection.Receive(&request) != nil {
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
	for {
		changed := s.updates.Next()
		if !s.confirmed() {
			return errNotConfirmed
		}
		update := s.updateAfter(cluster, sent)
		if update.Changes != nil {
			if err := connection.Send(ctx, &update); err != nil {
				return err
			}
			sent = update.Changes.To
			if update.Cluster != "" {
				cluster = update.Cluster
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ping := <-pings:
			if err := connection.Send(ctx, &message.DirectoryUpdate{Pong: ping}); err != nil {
				return err
			}
		case <-changed:
			clock.Sleep(ctx, peerGather)
		}
	}
}

// updateAfter returns what a gateway lacks that holds a revision of a cluster's
// directory.
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
