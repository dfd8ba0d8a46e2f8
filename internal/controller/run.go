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

	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/descriptor"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/listen"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/startup"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/vfs"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Options are optional parts that the caller of RunWith may set.
type Options struct {
	// Files is the file system of the data folder, so that disk faults can be injected; nil means the operating system's.
	Files vfs.FileSystem
	// Reload reads the settings again; nil if they do not change.
	Reload func() (config.Controller, error)
}

// Run is RunWith without options.
func Run(ctx context.Context, settings config.Controller, log *logrus.Entry) error {
	return RunWith(ctx, settings, log, Options{})
}

// RunOn is RunWith on a given file system.
func RunOn(ctx context.Context, files vfs.FileSystem, settings config.Controller, log *logrus.Entry) error {
	return RunWith(ctx, settings, log, Options{Files: files})
}

// RunWith runs a controller until the context ends and then stops it gracefully. It returns an error if the
// replica cannot start or its disk fails. A replica whose disk is full, or that has no descriptor left for its files,
// leaves its group until that has passed, and then restarts from the content of the disk: it never continues after a
// write whose outcome is unknown.
func RunWith(ctx context.Context, settings config.Controller, log *logrus.Entry, options Options) error {
	if options.Files == nil {
		options.Files = vfs.System{}
	}
	progress, endWatch := watchProgress(ctx, log)
	defer endWatch()
	progress.WaitFor("the lock of the data folder " + settings.DataDirectory)
	lock, err := lockDataFolder(ctx, settings.DataDirectory, log)
	if err != nil {
		return err
	}
	defer closeQuietly(lock, log)
	progress.Reach(startup.StepDataFolderLocked)
	for {
		err := runOnce(ctx, options, settings, log, progress)
		switch {
		case errors.Is(err, syscall.ENOSPC):
			progress.WaitFor("free space for the data folder " + settings.DataDirectory)
			telemetry.WithError(log, telemetry.EventDiskFull, err).Warn("disk is full; replica waits for free space")
		case descriptor.Exhausted(err):
			progress.WaitFor("a file descriptor for the files of the data folder")
			telemetry.WithError(log, telemetry.EventNoDescriptor, err).Warn("no descriptor is left; replica waits for some")
		default:
			return err
		}
		if !awaitDiskSpace(ctx, options.Files, settings.DataDirectory) {
			return nil
		}
	}
}

// watchProgress returns the progress of this process, which is logged until the context ends or endWatch is called.
func watchProgress(ctx context.Context, log *logrus.Entry) (progress *startup.Progress, endWatch func()) {
	progress = startup.New(clock.NewSystem(), log)
	ctx, cancel := context.WithCancel(ctx)
	var watcher conc.WaitGroup
	watcher.Go(func() { background.Keep(ctx, log, "readiness", progress.Watch) })
	return progress, func() {
		cancel()
		watcher.Wait()
	}
}

// lockRetryInterval is the wait before another attempt to lock the data folder.
const lockRetryInterval = 50 * time.Millisecond

// lockDataFolder locks the data folder. While another process holds it, which is most likely the former process of
// this replica that still ends, or no descriptor is left, it waits until the context ends.
func lockDataFolder(ctx context.Context, folder string, log *logrus.Entry) (*identity.FolderLock, error) {
	for attempt := 0; ; attempt++ {
		lock, err := identity.Lock(folder)
		if !errors.Is(err, identity.ErrLocked) && !descriptor.Exhausted(err) {
			return lock, err
		}
		if attempt == 0 {
			telemetry.WithError(log, telemetry.EventDataFolderWaiting, err).Warn("data folder cannot be locked yet; waiting")
		}
		if clock.Sleep(ctx, lockRetryInterval); ctx.Err() != nil {
			return nil, eris.Wrapf(ctx.Err(), "lock %s", folder)
		}
	}
}

func runOnce(ctx context.Context, options Options, settings config.Controller, log *logrus.Entry, progress *startup.Progress) error {
	node, err := newNode(options, settings, log, progress)
	if err != nil {
		return err
	}
	defer node.closeListeners()
	if err := node.listen(ctx); err != nil {
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
	// progress tells how far the start has come.
	progress     *startup.Progress
	metrics      *metrics
	replica      *replica
	connections  *connections
	peerListener net.Listener
	apiListener  net.Listener
}

func newNode(options Options, settings config.Controller, log *logrus.Entry, progress *startup.Progress) (*node, error) {
	progress.WaitFor("the files of the certificate")
	security, err := newSecurity(settings)
	if err != nil {
		return nil, err
	}
	progress.WaitFor("the files of the data folder " + settings.DataDirectory)
	n := &node{
		settings: settings, log: log, files: options.Files, security: security, progress: progress, metrics: newMetrics(),
		connections: newConnections(settings, log),
	}
	progress.Register(n.metrics.registry)
	self, err := durable.LoadIdentity(n.files, settings.DataDirectory, settings.FirstStart, newReplicaID)
	if err != nil {
		return nil, err
	}
	n.formation = &formation{
		settings: settings, log: log, dial: security.dial(), own: self, reload: options.Reload, progress: progress,
		save: func(next identity.Identity) error { return identity.Save(n.files, settings.DataDirectory, next) },
		self: consensus.Member{
			ID: self.Replica, Name: settings.Name, Address: settings.PeerAddress, APIAddress: settings.APIAddress,
		},
	}
	return n, nil
}

// newReplicaID returns a random identifier. Its highest bit is set because zero means no replica.
func newReplicaID() consensus.ReplicaID {
	return consensus.ReplicaID(rand.Uint64() | 1<<63)
}

func (n *node) listen(ctx context.Context) error {
	n.progress.WaitFor("the addresses peer_address and api_address")
	listeners, err := listen.All(ctx, n.log, listen.Address{Setting: "peer_address", Address: n.settings.PeerAddress},
		listen.Address{Setting: "api_address", Address: n.settings.APIAddress})
	if err != nil {
		return err
	}
	n.peerListener = descriptor.Bound(listeners[0], n.connections.budget.AdmitsPeer)
	n.apiListener = listeners[1]
	telemetry.With(n.log, telemetry.EventListening).WithField("peer_address", n.settings.PeerAddress).
		WithField("api_address", n.settings.APIAddress).WithField("cluster_name", n.settings.ClusterName).Info("listening")
	n.progress.Reach(startup.StepListening)
	return nil
}

// closeListeners closes the listeners that are open, so that the replica can listen again when it restarts.
func (n *node) closeListeners() {
	for _, listener := range []net.Listener{n.peerListener, n.apiListener} {
		if listener != nil {
			_ = listener.Close() // fails if its server has closed it
		}
	}
}

// run forms or joins the group and then runs the replica. The peer listener serves from the start, since
// controllers form a group by asking each other, and so does the API, which rejects calls until the replica runs.
func (n *node) run(ctx context.Context) error {
	serveContext, stopServing := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer stopServing()
	ready := make(chan struct{})
	group.Go(func() { n.servePeers(serveContext, ready) })
	group.Go(func() {
		n.keep(serveContext, "certificates", func(ctx context.Context) { n.security.store.Watch(ctx, n.settings.TLS.ReloadInterval, n.log) })
	})
	service := newAPI(n.settings.API, n.log, n.security, n.metrics.registry, n.progress.Ready, n.connections.budget.ClientPlaces)
	n.connections.attach(service.app.Server())
	group.Go(func() { n.serveAPI(service) })
	if err := n.prepareReplica(ctx); err != nil {
		n.stopAPI(service)
		if errors.Is(err, ctx.Err()) {
			return nil
		}
		return err
	}
	close(ready)
	return n.runReplica(ctx, serveContext, &group, service)
}

// prepareReplica forms or joins the group and recovers the state. Its error is that of the context if that ends before.
func (n *node) prepareReplica(ctx context.Context) error {
	n.progress.WaitFor("the other controllers, to form a group or join theirs")
	if err := n.formation.run(ctx); err != nil {
		return err
	}
	n.progress.Reach(startup.StepGroupKnown)
	n.progress.WaitFor("the state in the data folder " + n.settings.DataDirectory)
	return n.startReplica()
}

func (n *node) startReplica() error {
	self := n.formation.identity()
	disk, err := durable.Open(n.files, n.settings.DataDirectory, self, durable.Options{})
	if err != nil {
		telemetry.WithError(n.log, telemetry.EventDiskFailed, err).Error("cannot open the data directory")
		return err
	}
	n.replica, err = newReplica(n.settings, n.log, n.formation.self, disk, n.metrics)
	if err != nil {
		return err
	}
	n.replica.cluster = self.Cluster
	n.metrics.attach(n.replica)
	telemetry.With(n.log, telemetry.EventRecovered).WithField("index", disk.Initial.Snapshot.Index).
		WithField("entries", len(disk.Initial.Entries)).Info("state recovered from the data directory")
	n.progress.Reach(startup.StepStateRecovered)
	return nil
}

// runReplica runs the replica and the services that depend on it. A planned stop first transfers the
// leadership, so that no caller has to wait for an election.
func (n *node) runReplica(ctx, serveContext context.Context, group *conc.WaitGroup, service *api) error {
	r := n.replica
	driveContext, stopDriving := context.WithCancel(context.Background())
	defer stopDriving()
	r.peers = newPeers(r, n.security.dial(), n.formation.member)
	defer r.peers.stop()
	r.leases = newLeaseSender(driveContext, n.settings.Lease, r.results)
	n.formation.attach(r.formationStatus, r.requestJoin)
	service.attach(r)
	n.progress.Follow(r.ready)
	group.Go(func() { n.keep(serveContext, "platform", newPlatformPoller(n.settings.Platform, r).run) })
	group.Go(func() {
		n.keep(serveContext, "joining", func(ctx context.Context) { n.formation.keepJoining(ctx, r.isActiveVoter) })
	})
	ended := make(chan error, 1)
	group.Go(func() {
		ended <- background.Result(n.log, "replica", func() error { return r.run(driveContext) })
	})
	var err error
	select {
	case err = <-ended:
		telemetry.WithError(n.log, telemetry.EventDiskFailed, err).Error("replica stopped by a disk failure")
	case <-ctx.Done():
		n.handOver()
		stopDriving()
		err = <-ended
	}
	n.stopAPI(service)
	r.leases.stop()
	return err
}

// keep runs a loop in the background, see background.Keep.
func (n *node) keep(ctx context.Context, loop string, run func(context.Context)) {
	background.Keep(ctx, n.log, loop, run)
}

func (n *node) serveAPI(service *api) {
	listener := n.security.listener(service.listener(n.apiListener))
	err := background.Result(n.log, "api server", func() error { return service.serve(listener) })
	if err != nil {
		telemetry.WithError(n.log, telemetry.EventFailed, err).Error("intent API server stopped")
	}
}

func (n *node) stopAPI(service *api) {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	if err := service.stop(ctx); err != nil {
		n.log.WithError(err).Debug("API calls were still open at shutdown")
	}
	// A server that has not begun to serve yet is not stopped, and would begin later.
	_ = n.apiListener.Close() // fails if the server has closed it
}

// handOver asks other voters to take over the leadership until one does. It repeats the request after an
// election timeout, since the chosen voter may have just failed, and gives up when no voter has answered for
// two election timeouts.
func (n *node) handOver() {
	telemetry.With(n.log, telemetry.EventStopping).Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	if _, leads := n.replica.leadershipContext(); !leads {
		return
	}
	const pollInterval = 5 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	consensusSettings := n.settings.Consensus
	electionTimeout := time.Duration(consensusSettings.ElectionTicks) * consensusSettings.TickInterval
	lastActive := time.Now() // when another voter was last known to be active
	var lastRequest time.Time
	for n.replica.published.Load().status.Role == consensus.RoleLeader {
		if time.Since(lastRequest) > electionTimeout && n.replica.Transfer(ctx) == nil {
			lastRequest = time.Now()
			lastActive = lastRequest
		}
		if time.Since(lastActive) > 2*electionTimeout {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	telemetry.With(n.log, telemetry.EventLeaderTransferred).Info("leadership transferred")
}

// servePeers accepts connections from controllers, routers and gateways.
func (n *node) servePeers(ctx context.Context, ready <-chan struct{}) {
	err := n.connections.peers.Serve(ctx, n.security.listener(n.peerListener), func(ctx context.Context, connection *wire.Conn) {
		if err := n.servePeer(ctx, connection, ready); err != nil {
			n.log.WithError(err).Debug("peer connection ended")
		}
	})
	if err != nil && ctx.Err() == nil {
		telemetry.WithError(n.log, telemetry.EventFailed, err).Error("peer listener stopped")
	}
}

func (n *node) servePeer(ctx context.Context, connection *wire.Conn, ready <-chan struct{}) error {
	var hello message.Hello
	if err := connection.ReceiveShort(&hello); err != nil {
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
		return serveDemand(ctx, n.replica, connection, hello.From)
	case message.PurposeHeartbeats:
		return serveHeartbeats(ctx, n.replica, connection)
	case message.PurposeTable:
		return serveTable(ctx, n.replica, n.replica.cluster, connection)
	default:
		return eris.Errorf("purpose %q is not served by a controller", hello.Purpose)
	}
}

func closeQuietly(closer io.Closer, log *logrus.Entry) {
	if err := closer.Close(); err != nil {
		log.WithError(err).Debug("close")
	}
}
