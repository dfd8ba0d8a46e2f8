package controller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/vfs"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Run runs a controller until the context ends, and then stops it gracefully.
// It returns an error when the replica cannot start or its disk fails.
func Run(ctx context.Context, settings config.Controller, log *logrus.Entry) error {
	return RunOn(ctx, vfs.System{}, settings, log)
}

// RunOn is Run on a given file layer, so that a run can inject a disk's faults. A
// replica whose disk is full leaves its group until there is room, and then begins
// anew from what the disk holds: it writes nothing of which it does not know whether
// it is there.
func RunOn(ctx context.Context, files vfs.FileSystem, settings config.Controller, log *logrus.Entry) error {
	lock, err := identity.Lock(settings.DataDirectory)
	if err != nil {
		return err
	}
	defer closeQuietly(lock, log)
	for {
		err := runOnce(ctx, files, settings, log)
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		telemetry.WithError(log, telemetry.EventDiskFull, err).Warn("the disk is full; this replica waits for room")
		if !awaitRoom(ctx, files, settings.DataDirectory) {
			return nil
		}
	}
}

func runOnce(ctx context.Context, files vfs.FileSystem, settings config.Controller, log *logrus.Entry) error {
	node, err := newNode(files, settings, log)
	if err != nil {
		return err
	}
	return node.run(ctx)
}

// node is one controller process.
type node struct {
	settings  config.Controller
	log       *logrus.Entry
	files     vfs.FileSystem
	security  *security
	formation *formation
	replica   *replica
	peers     net.Listener
	operators net.Listener
}

func newNode(files vfs.FileSystem, settings config.Controller, log *logrus.Entry) (*node, error) {
	secured, err := newSecurity(settings)
	if err != nil {
		return nil, err
	}
	n := &node{settings: settings, log: log, files: files, security: secured}
	self, err := durable.LoadIdentity(n.files, settings.DataDirectory, settings.FirstStart, newReplicaID)
	if err != nil {
		return nil, err
	}
	n.formation = &formation{
		settings: settings, log: log, dial: secured.dial(), known: self,
		save: func(next identity.Identity) error { return identity.Save(n.files, settings.DataDirectory, next) },
		self: consensus.Member{
			ID: self.Replica, Name: settings.Name, Address: settings.PeerAddress, APIAddress: settings.APIAddress,
		},
	}
	return n, n.listen()
}

// newReplicaID draws an identifier. Zero means no replica, so the highest bit
// is set.
func newReplicaID() consensus.ReplicaID {
	return consensus.ReplicaID(rand.Uint64() | 1<<63)
}

func (n *node) listen() error {
	var err error
	if n.peers, err = net.Listen("tcp", n.settings.PeerAddress); err != nil {
		return eris.Wrapf(err, "peer_address: listen on %s", n.settings.PeerAddress)
	}
	if n.operators, err = net.Listen("tcp", n.settings.APIAddress); err != nil {
		return eris.Wrapf(err, "api_address: listen on %s", n.settings.APIAddress)
	}
	n.operators = wire.Patient(n.operators, func(err error) {
		n.log.WithError(err).Debug("connection to the API not accepted")
	})
	telemetry.With(n.log, telemetry.EventListening).WithField("peer_address", n.settings.PeerAddress).
		WithField("api_address", n.settings.APIAddress).WithField("cluster_name", n.settings.ClusterName).Info("listening")
	return nil
}

// run forms or joins the group, then runs the replica. The peer listener serves
// from the start, since a group forms by asking.
func (n *node) run(ctx context.Context) error {
	serving, stopServing := context.WithCancel(context.Background())
	var background conc.WaitGroup
	defer background.Wait()
	defer stopServing()
	ready := make(chan struct{})
	background.Go(func() { n.servePeers(serving, ready) })
	background.Go(func() { n.security.store.Watch(serving, n.settings.TLS.ReloadInterval, n.log) })
	if err := n.formation.run(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	if err := n.startReplica(); err != nil {
		return err
	}
	close(ready)
	return n.runReplica(ctx, serving, &background)
}

func (n *node) startReplica() error {
	self := n.formation.identity()
	disk, err := durable.Open(n.files, n.settings.DataDirectory, self, durable.Options{})
	if err != nil {
		telemetry.WithError(n.log, telemetry.EventDiskFailed, err).Error("the data folder cannot be read")
		return err
	}
	measured := newMetrics()
	n.replica, err = newReplica(n.settings, n.log, n.formation.self, disk, measured)
	if err != nil {
		return err
	}
	n.replica.cluster = self.Cluster
	measured.attach(n.replica)
	telemetry.With(n.log, telemetry.EventRecovered).WithField("index", disk.Initial.Snapshot.Index).
		WithField("entries", len(disk.Initial.Entries)).Info("state read from the data folder")
	return nil
}

// runReplica runs the replica and all that needs it. On a planned stop the
// leadership is handed over first, so that nothing waits for an election.
func (n *node) runReplica(ctx, serving context.Context, background *conc.WaitGroup) error {
	r := n.replica
	driving, stopDriving := context.WithCancel(context.Background())
	defer stopDriving()
	r.peers = newPeers(r, n.security.dial(), n.formation.member)
	defer r.peers.stop()
	r.leases = newLeaseSender(driving, n.settings.Lease, r.results)
	n.formation.attach(r.formationStatus, r.requestJoin)
	service := newAPI(n.settings.API, r, n.log, n.security, r.metrics.registry, r.ready)
	background.Go(func() { n.serveOperators(service) })
	background.Go(func() { newPlatformPoller(n.settings.Platform, r).run(serving) })
	background.Go(func() { n.formation.keepJoining(serving, r.belongs) })
	ended := make(chan error, 1)
	background.Go(func() { ended <- r.run(driving) })
	var err error
	select {
	case err = <-ended:
		telemetry.WithError(n.log, telemetry.EventDiskFailed, err).Error("the replica cannot go on")
	case <-ctx.Done():
		n.handOver()
		stopDriving()
		err = <-ended
	}
	n.stopOperators(service)
	r.leases.stop()
	return err
}

func (n *node) serveOperators(service *api) {
	if err := service.serve(n.security.listener(n.operators)); err != nil {
		telemetry.WithError(n.log, telemetry.EventFailed, err).Error("the intent API ended")
	}
}

func (n *node) stopOperators(service *api) {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	if err := service.stop(ctx); err != nil {
		n.log.WithError(err).Debug("calls were still open at the end")
	}
}

// handOver asks other voters to lead until one does. The order is repeated
// after an election timeout, since the voter that got it may just have died. It
// gives up when no voter has answered for two such timeouts.
func (n *node) handOver() {
	telemetry.With(n.log, telemetry.EventStopping).Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	if _, leads := n.replica.leadershipContext(); !leads {
		return
	}
	const look = 5 * time.Millisecond
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	consensusSettings := n.settings.Consensus
	electionTimeout := time.Duration(consensusSettings.ElectionTicks) * consensusSettings.TickInterval
	answered := time.Now() // when a voter was last known to answer
	var ordered time.Time
	for n.replica.published.Load().status.Role == consensus.RoleLeader {
		if time.Since(ordered) > electionTimeout && n.replica.Transfer(ctx) == nil {
			ordered = time.Now()
			answered = ordered
		}
		if time.Since(answered) > 2*electionTimeout {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	telemetry.With(n.log, telemetry.EventLeaderTransferred).Info("leadership handed over")
}

// servePeers accepts connections from controllers and routers.
func (n *node) servePeers(ctx context.Context, ready <-chan struct{}) {
	server := wire.Server{MaxConnections: n.settings.Table.StreamLimit, Options: wire.Options{WriteTimeout: n.settings.Table.WriteTimeout}, Panicked: telemetry.PanicLogger(n.log)}
	err := server.Serve(ctx, n.security.listener(n.peers), func(ctx context.Context, connection *wire.Conn) {
		if err := n.servePeer(ctx, connection, ready); err != nil {
			n.log.WithError(err).Debug("peer connection ended")
		}
	})
	if err != nil && ctx.Err() == nil {
		telemetry.WithError(n.log, telemetry.EventFailed, err).Error("the peer listener ended")
	}
}

func (n *node) servePeer(ctx context.Context, connection *wire.Conn, ready <-chan struct{}) error {
	var hello message.Hello
	if err := connection.Receive(&hello); err != nil {
		return err
	}
	if err := n.security.checkPeer(connection, hello); err != nil {
		return err
	}
	if hello.Purpose == message.PurposeFormation {
		return n.formation.serve(ctx, connection)
	}
	select {
	case <-ready:
	default:
		return errNotFormed
	}
	switch hello.Purpose {
	case message.PurposeConsensus:
		return n.replica.receiveConsensus(ctx, connection)
	case message.PurposeDirectory:
		return serveDirectory(ctx, n.replica, connection)
	case message.PurposeDemand:
		return takeDemand(ctx, n.replica, connection, hello.From)
	case message.PurposeHeartbeats:
		return serveHeartbeats(ctx, n.replica, connection)
	case message.PurposeTable:
		return serveTable(ctx, n.replica, n.replica.cluster, connection)
	default:
		return eris.Errorf("purpose %q is not served here", hello.Purpose)
	}
}

func closeQuietly(closer io.Closer, log *logrus.Entry) {
	if err := closer.Close(); err != nil {
		log.WithError(err).Debug("close")
	}
}
