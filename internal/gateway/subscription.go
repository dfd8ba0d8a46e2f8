package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/remoteclock"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/startup"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// subscription keeps the directory up to date from the stream of one controller, and switches to another
// controller if that one does not prove in time that the directory is current.
type subscription struct {
	clock    clock.Clock
	settings config.Gateway
	log      *logrus.Entry
	// reload reads the settings again, in case the seeds changed.
	reload func() (config.Gateway, error)
	// patience is how long a patient stream may be silent.
	patience time.Duration
	// progress is told which controllers answer.
	progress *startup.Progress
	// dial opens connections to controllers and other gateways; nil means TCP.
	dial wire.DialFunc
	// onTable is called with each new table.
	onTable func(*routing.Table)
	// onCluster is called with the name of the cluster to which the directory belongs.
	onCluster func(cluster string)

	// viewLock guards the fields below it.
	viewLock    sync.Mutex
	view        *directory.Directory
	cluster     message.ClusterID
	controllers []string
	// peers are the gateways that serve the directory while no controller answers.
	peers []string
	// leader is the peer address of the leading controller, to which demand is reported.
	leader atomic.Pointer[string]
	table  atomic.Pointer[routing.Table]
	// provedAt is the latest clock reading at which the directory was proved current, and confirmedAt the latest one at
	// which a controller proved it.
	provedAt atomic.Pointer[time.Duration]
	// proofReceivedAt is the clock reading when the last answer to a ping arrived.
	proofReceivedAt atomic.Pointer[time.Duration]
	// clockOrigin names the clock in readings for other gateways, and distances are those to the clocks of the processes
	// that answer.
	clockOrigin uint64
	distances   remoteclock.Distances
	// roundTrip is how long the last answered ping took, in nanoseconds.
	roundTrip   atomic.Int64
	confirmedAt atomic.Pointer[time.Duration]
	// refusals are those of connections to controllers.
	refusals refusals
	// unconfirmedAt is the clock reading when the last ping was sent to which another gateway answered that no controller
	// confirms its directory.
	unconfirmedAt atomic.Pointer[time.Duration]
	// controllerReached is true once a controller has accepted a connection.
	controllerReached atomic.Bool
	// peerStreams counts the gateways that follow the directory of this one.
	peerStreams atomic.Int64
	// updates is raised for each new table.
	updates    *broadcast.Broadcast
	meter      *link.Meter
	homeSwitch homeSwitch
}

func newSubscription(system clock.Clock, settings config.Gateway, log *logrus.Entry, reload func() (config.Gateway, error), meter *link.Meter) *subscription {
	return &subscription{
		clock: system, settings: settings, log: log, reload: reload, view: directory.New(), updates: broadcast.New(), meter: meter,
		patience: patience,
		progress: startup.New(system, log), clockOrigin: remoteclock.NewOrigin(),
		onTable: func(*routing.Table) {}, onCluster: func(string) {},
	}
}

// clusterID returns the cluster to which the directory belongs; empty until the directory has been received.
func (s *subscription) clusterID() message.ClusterID {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	return s.cluster
}

// current returns the table; nil until the directory has been received.
func (s *subscription) current() *routing.Table { return s.table.Load() }

// errAskedTwice ends a connection to a controller that meanwhile accepted an earlier one.
var errAskedTwice = eris.New("the controller has accepted another connection of this gateway")

// source is the origin of a directory stream.
type source struct {
	address string
	// peer is true for another gateway, false for a controller.
	peer bool
	// wait is how long another gateway may be silent, and peers the search in which it takes part; nil for none.
	wait  time.Duration
	peers *peerSearch
	// search is the search in which the stream takes part as a candidate; nil for none.
	search    *race
	candidate *candidate
}

// firstRequest returns the first message of a stream.
func (s *subscription) firstRequest() message.DirectoryRequest {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	return message.DirectoryRequest{Cluster: s.cluster, Revision: s.view.Revision(), Address: s.settings.PeerAddress}
}

// follow follows the stream of one controller or gateway until it breaks.
func (s *subscription) follow(ctx context.Context, from source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := wire.Dial(ctx, from.address, s.streamOptions(from))
	if !from.peer && ctx.Err() == nil {
		s.refusals.attempted(from.address, err, s.clock.Now())
	}
	if err != nil {
		return err
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, connection.Close)()
	s.controllerReached.Store(true)
	if !from.peer {
		s.progress.Reach(startup.StepControllerReached)
	}
	if from.search != nil && !from.search.connected(from.candidate, connection) {
		return errAskedTwice
	}
	if err := connection.Send(ctx, &message.Hello{Purpose: message.PurposeDirectory, From: s.settings.Name}); err != nil {
		return err
	}
	first := s.firstRequest()
	if err := connection.Send(ctx, &first); err != nil {
		return err
	}
	if first.Revision == 0 && !from.peer {
		if err := s.receiveControllers(connection, from); err != nil {
			return err
		}
	}
	pings := &pingLog{clock: s.clock}
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	defer connection.Close()
	group.Go(func() { s.ping(ctx, connection, pings) })
	return s.receive(connection, pings, from)
}

// streamOptions returns the options of the connection for a stream.
func (s *subscription) streamOptions(from source) wire.Options {
	options := wire.Options{
		DialTimeout: s.settings.BackEnd.ConnectTimeout, IdleTimeout: s.settings.PongTimeout, WriteTimeout: s.settings.PongTimeout,
		Passed: countAs(s.meter, link.Directory), Dial: s.dial,
	}
	if from.search == nil {
		options.IdleTimeout = from.wait
		return options
	}
	if from.candidate.patient {
		options.DialTimeout, options.IdleTimeout, options.SilenceTimeout = s.patience, s.patience, s.patience
	}
	count := options.Passed
	options.Passed = func(received, sent int) {
		count(received, sent)
		if received > 0 {
			from.search.heard(from.candidate)
		}
	}
	return options
}

func (s *subscription) ping(ctx context.Context, connection *wire.Conn, pings *pingLog) {
	ticker := time.NewTicker(s.settings.PingInterval)
	defer ticker.Stop()
	for {
		if connection.Send(ctx, &message.DirectoryRequest{Ping: pings.next()}) != nil {
			connection.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *subscription) receive(connection *wire.Conn, pings *pingLog, from source) error {
	logged := false
	for {
		var update message.DirectoryUpdate
		if err := connection.Receive(&update); err != nil {
			return err
		}
		if from.peer && s.confirmed() {
			return errControllerAnswers
		}
		if err := s.apply(update, from); err != nil {
			return err
		}
		if sentAt, known := pings.sentAt(update.Unconfirmed); known && from.peer {
			raise(&s.unconfirmedAt, sentAt)
			if from.peers != nil {
				from.peers.release(from.address)
			}
		}
		sentAt, known := pings.sentAt(update.Pong)
		if !known {
			if from.search != nil {
				from.search.searchWithoutProof(from.candidate, s.proofTimeout(update))
			}
			continue
		}
		if from.search != nil && !from.search.claim(from.candidate) {
			return errOtherController
		}
		if from.peers != nil && !from.peers.claim(from.address) {
			return errOtherPeer
		}
		if from.search != nil {
			connection.SetIdleTimeout(s.patience)
			connection.SetSilenceTimeout(s.patience)
		}
		s.recordProof(sentAt, update, from)
		if home := s.homeToSwitchTo(from); home != "" {
			from.search.beginSwitch(home)
		}
		if !logged {
			logged = true
			s.logConfirmed(from)
		}
	}
}

// logConfirmed logs the first proof of a stream, with the failed attempts at its address before.
func (s *subscription) logConfirmed(from source) {
	line := telemetry.With(s.log, telemetry.EventTableCurrent).WithField(telemetry.FieldAddress, from.address).
		WithField("peer", from.peer).WithField(telemetry.FieldRevision, s.revision())
	s.progress.WithAnswered(from.address, line).Info("directory confirmed")
	if !from.peer {
		s.progress.Dependencies.Forget()
	}
}

func (s *subscription) revision() directory.Revision {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	return s.view.Revision()
}

// changesTimeoutFactor is the factor on the pong timeout by which the wait for a proof is extended while bytes
// arrive: changes take time on a narrow link, and the proof is queued behind them.
const changesTimeoutFactor = 4

// proofTimeout returns how long to wait for a proof after an update until other controllers are asked.
func (s *subscription) proofTimeout(update message.DirectoryUpdate) time.Duration {
	if update.Changes != nil {
		return changesTimeoutFactor * s.settings.PongTimeout
	}
	return s.settings.PongTimeout
}

// apply applies an update. After an error the whole directory is requested.
func (s *subscription) apply(update message.DirectoryUpdate, from source) error {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	if update.Peers != nil {
		s.peers = update.Peers
	}
	if update.Controllers != nil {
		s.controllers = update.Controllers
	}
	if update.Leader != "" {
		s.leader.Store(&update.Leader)
	}
	if update.Changes == nil {
		return nil
	}
	earlier := s.table.Load()
	if update.Cluster != "" && update.Cluster != s.cluster {
		s.cluster = update.Cluster
		s.onCluster(string(update.Cluster))
		s.view = directory.New()
		earlier = nil
	}
	if err := s.view.MergeRouting(*update.Changes); err != nil {
		s.cluster = ""
		return err
	}
	if !s.view.Configured() {
		return nil
	}
	table := routing.Build(s.view, earlier)
	s.table.Store(table)
	s.progress.Reach(startup.StepTableReceived)
	s.logItemsInForce(table, from)
	s.onTable(table)
	s.updates.Raise()
	return nil
}
