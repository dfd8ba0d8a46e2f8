package gateway

import (
	"context"
	"math"
	"slices"
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
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// subscription keeps the directory by the stream of one controller, and goes to
// another one when that does not prove in time that it is current.
type subscription struct {
	clock    clock.Clock
	settings config.Gateway
	log      *logrus.Entry
	// reload reads the settings again, for seeds that changed.
	reload func() (config.Gateway, error)
	// changed is told of each new table.
	changed func(*routing.Table)
	// joined is told of the cluster whose directory this is.
	joined func(cluster string)

	// viewLock guards the fields below it.
	viewLock    sync.Mutex
	view        *directory.Directory
	cluster     message.ClusterID
	controllers []string
	// peers are gateways that serve the directory while no controller answers.
	peers []string
	// leader is the peer address of the controller that takes counts of requests.
	leader atomic.Pointer[string]
	table  atomic.Pointer[routing.Table]
	// provedAt is when the last ping that was answered was sent, and confirmedAt when
	// the last one that a controller answered was, by the clock.
	provedAt    atomic.Pointer[time.Duration]
	confirmedAt atomic.Pointer[time.Duration]
	// reached is true once a controller has accepted a connection.
	reached atomic.Bool
	// peerStreams counts the gateways that take the directory from this one.
	peerStreams atomic.Int64
	// updates tells of each new table.
	updates *broadcast.Broadcast
	meter   *link.Meter
	homing  homing
}

func newSubscription(system clock.Clock, settings config.Gateway, log *logrus.Entry, reload func() (config.Gateway, error), meter *link.Meter) *subscription {
	return &subscription{
		clock: system, settings: settings, log: log, reload: reload, view: directory.New(), updates: broadcast.New(), meter: meter,
		changed: func(*routing.Table) {}, joined: func(string) {},
	}
}

// current returns the table, nil before the first items came.
func (s *subscription) current() *routing.Table { return s.table.Load() }

// age returns how long ago the directory was proved current.
func (s *subscription) age() time.Duration {
	proved := s.provedAt.Load()
	if proved == nil {
		return -1
	}
	return s.clock.Now() - *proved
}

// confirmedAge returns how long ago a controller proved that the directory is current; the
// longest time if none did.
func (s *subscription) confirmedAge() time.Duration {
	confirmed := s.confirmedAt.Load()
	if confirmed == nil {
		return math.MaxInt64
	}
	return s.clock.Now() - *confirmed
}

// reconnectPause is the wait after all controllers were asked without success.
const reconnectPause = 20 * time.Millisecond

func (s *subscription) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.followFirst(ctx, s.candidates())
		s.reloadSeeds()
		clock.Sleep(ctx, reconnectPause)
	}
}

// reloadSeeds takes the seeds of the settings as they are now.
func (s *subscription) reloadSeeds() {
	if s.reload == nil {
		return
	}
	fresh, err := s.reload()
	if err != nil || slices.Equal(fresh.Seeds, s.settings.Seeds) {
		return
	}
	telemetry.With(s.log, telemetry.EventSettingsReloaded).WithField("seeds", fresh.Seeds).Info("seeds changed")
	s.settings.Seeds = fresh.Seeds
}

// errAskedTwice ends a connection to a controller that accepted an earlier one meanwhile.
var errAskedTwice = eris.New("the controller has accepted another connection of this gateway")

var errNoProof = eris.New("no proof of a current directory came in time")

// source is where a stream of the directory comes from.
type source struct {
	address string
	// peer is true for another gateway, false for a controller.
	peer bool
	// contest is the search that the stream takes part in as a candidate; nil for none.
	contest   *race
	candidate *candidate
}

// request returns the first message on a stream.
func (s *subscription) request() message.DirectoryRequest {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	return message.DirectoryRequest{Cluster: s.cluster, Revision: s.view.Revision(), Address: s.settings.PeerAddress}
}

// follow takes the stream of one controller or gateway until it breaks.
func (s *subscription) follow(ctx context.Context, from source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := wire.Dial(ctx, from.address, wire.Options{
		DialTimeout: s.settings.BackEnd.ConnectTimeout, IdleTimeout: s.settings.PongTimeout, WriteTimeout: s.settings.PongTimeout,
		Passed: streamOf(s.meter, link.Directory),
	})
	if err != nil {
		return err
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, connection.Close)()
	s.reached.Store(true)
	if from.contest != nil && !from.contest.connected(from.candidate, connection) {
		return errAskedTwice
	}
	if err := connection.Send(ctx, &message.Hello{Purpose: message.PurposeDirectory, From: s.settings.Name}); err != nil {
		return err
	}
	first := s.request()
	if err := connection.Send(ctx, &first); err != nil {
		return err
	}
	if first.Revision == 0 && !from.peer {
		if err := s.hearOfControllers(connection, from); err != nil {
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

// pingLog remembers when the newest pings were sent.
type pingLog struct {
	clock  clock.Clock
	number atomic.Uint64
	sentAt [pingsKept]atomic.Pointer[time.Duration]
}

const pingsKept = 16

func (l *pingLog) next() uint64 {
	now := l.clock.Now()
	number := l.number.Add(1)
	l.sentAt[number%pingsKept].Store(&now)
	return number
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
	proved := s.clock.Now()
	logged := false
	for {
		var update message.DirectoryUpdate
		if err := connection.Receive(&update); err != nil {
			return err
		}
		if from.peer && s.confirmed() {
			return errControllerAnswers
		}
		if err := s.take(update); err != nil {
			return err
		}
		if update.Pong == 0 {
			if s.clock.Now()-proved > s.patience(update) {
				return errNoProof
			}
			continue
		}
		if from.contest != nil && !from.contest.claim(from.candidate) {
			return errOtherController
		}
		proved = s.clock.Now()
		s.confirm(pings.sentAt[update.Pong%pingsKept].Load(), from)
		if s.goesHome(from) {
			return errGoesHome
		}
		if !logged {
			logged = true
			telemetry.With(s.log, telemetry.EventTableCurrent).WithField(telemetry.FieldAddress, from.address).
				WithField("peer", from.peer).WithField(telemetry.FieldRevision, s.revision()).Info("directory confirmed")
		}
	}
}

// confirm notes that the directory was current when a ping was sent.
func (s *subscription) confirm(sentAt *time.Duration, from source) {
	s.provedAt.Store(sentAt)
	if !from.peer {
		s.confirmedAt.Store(sentAt)
	}
}

func (s *subscription) revision() directory.Revision {
	s.viewLock.Lock()
	defer s.viewLock.Unlock()
	return s.view.Revision()
}

// catchUp is by how much longer a proof is waited for while changes come: they take
// their time on a narrow link, and the proof comes behind them.
const catchUp = 4

// patience is how long a proof is waited for once an update came.
func (s *subscription) patience(update message.DirectoryUpdate) time.Duration {
	if update.Changes != nil {
		return catchUp * s.settings.PongTimeout
	}
	return s.settings.PongTimeout
}

// take puts an update in force. After an error the whole directory is asked for.
func (s *subscription) take(update message.DirectoryUpdate) error {
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
		s.joined(string(update.Cluster))
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
	s.changed(table)
	s.updates.Raise()
	return nil
}
