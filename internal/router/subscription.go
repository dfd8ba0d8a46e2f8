package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/startup"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// silenceTimeout is the minimum time without a frame after which a table connection is
	// closed.
	silenceTimeout = 600 * time.Millisecond
	// maxSilentPings is the number of ping intervals without a frame after which the
	// connection is closed, if that is longer than silenceTimeout.
	maxSilentPings = 3
	// maxSilence is the longest such time. It doubles once the connections to all controllers have brought no frame,
	// since a round trip may take longer than they lasted. Behind longer ones the table cannot be proved current.
	maxSilence = 5 * time.Second

	// lostControllerPause is the time for which a controller is not tried again after its
	// connection was lost. It is longer than an election with the default settings.
	lostControllerPause = 500 * time.Millisecond

	reconnectBase = 25 * time.Millisecond
	// reconnectMax is well below a router's lease as a record primary, so that the lease
	// does not expire during a change of leader.
	reconnectMax = 250 * time.Millisecond
)

// tableConnection exchanges frames with a controller.
type tableConnection interface {
	Send(message.RouterFrame) error
	Receive() (message.ControllerFrame, error)
	Close() error
}

// tableDialer opens a table connection to a controller's peer address.
type tableDialer func(ctx context.Context, address string, hello message.Hello) (tableConnection, error)

// recordReporter is the part of the record service that the subscription uses.
type recordReporter interface {
	// Report adds the record service's state to a ping whose SentNs is set.
	Report(ping *message.Ping)
	// ReportDue receives a value when a ping should be sent without waiting for the interval.
	ReportDue() <-chan struct{}
	// Renew applies the lease in a pong.
	Renew(pong message.Pong)
}

// subscription keeps the routing table up to date over a connection to a controller.
type subscription struct {
	self         state.Router
	services     []state.ServiceName
	controllers  []string
	pingInterval time.Duration
	// times are the settings that are reported to the controllers.
	times     config.RouterTimes
	dial      tableDialer
	clock     clock.Clock
	builder   *table.Builder
	freshness *table.Freshness
	log       *logrus.Entry
	// progress is told which controllers answer.
	progress *startup.Progress
	// onTableChange is called after each new version of the table.
	onTableChange func()
	// records adds its reports to pings and applies the leases in pongs.
	records recordReporter
	// guard exchanges reports about requests that may crash servers with the controllers. crashed
	// receives a value when a report must be sent at once.
	guard   *crashwatch.Guard
	crashed <-chan struct{}

	// preferred is the index of the controller that is connected to or tried next.
	preferred int
	// announced holds, by the same index, the addresses that the controllers announce, which
	// may differ from the configured ones.
	announced []string
	// served is true once the current connection has received a pong. lostController is the
	// index of the controller whose serving connection ended last, at lostAt; lostAt is zero if
	// none has.
	served         bool
	lostController int
	lostAt         time.Duration
	// resync requests a full snapshot on the next connection.
	resync bool
	nonce  uint64
	// silentConnections counts the connections that were closed without a frame since the last one that received any.
	silentConnections int
	// heard is true once the current connection has received a frame, and silent once it was closed for silence.
	heard, silent atomic.Bool
	// lastFrameAt is the clock reading at which the last frame was received, in nanoseconds.
	lastFrameAt atomic.Int64
}

// run keeps a connection to one controller open until the context ends.
func (s *subscription) run(ctx context.Context) {
	s.preferred = rand.IntN(len(s.controllers))
	failures := 0
	for ctx.Err() == nil {
		address := s.controllers[s.preferred]
		startedAt := s.clock.Now()
		s.heard.Store(false)
		s.silent.Store(false)
		err := s.connect(ctx, address)
		s.countSilence()
		s.freshness.Disconnected()
		if ctx.Err() != nil {
			return
		}
		s.recordLost()
		s.preferred = s.nextController(err)
		failures++
		if s.clock.Now()-startedAt > reconnectMax {
			failures = 1
		}
		if s.progress.Failed(address, err) {
			telemetry.WithError(s.log, telemetry.EventControllerLost, err).
				WithField(telemetry.FieldAddress, address).Warn("connection to the controller ended; reconnecting")
		}
		pause(ctx, reconnectDelay(failures))
	}
}

// refusedError is a controller's refusal of the table connection.
type refusedError struct {
	refusal message.Refusal
}

// Error implements the error interface.
func (e *refusedError) Error() string {
	return fmt.Sprintf("the controller refused: %s: %s", e.refusal.Kind, e.refusal.Detail)
}

// nextController returns the index of the controller to try after a connection ended: the
// leader that a refusal names, if its address is known, else the next one in the list. A
// controller whose connection was lost within lostControllerPause is skipped if there are
// others: if it is partitioned from the network, the others name it as the leader until they
// have elected a new one.
func (s *subscription) nextController(cause error) int {
	count := len(s.controllers)
	chosen := (s.preferred + 1) % count
	var refused *refusedError
	if errors.As(cause, &refused) && refused.refusal.Kind == fault.NotLeader {
		if leader := s.indexOf(refused.refusal.Detail); leader >= 0 {
			chosen = leader
		}
	}
	if s.wasJustLost(chosen) {
		chosen = (s.preferred + 1) % count
	}
	if s.wasJustLost(chosen) {
		chosen = (chosen + 1) % count
	}
	return chosen
}

// wasJustLost reports whether the controller's connection was lost within
// lostControllerPause.
func (s *subscription) wasJustLost(index int) bool {
	return s.lostAt != 0 && index == s.lostController && s.clock.Now()-s.lostAt < lostControllerPause
}

// recordLost records the loss of the current connection if it has served this router.
func (s *subscription) recordLost() {
	if s.served {
		s.lostController = s.preferred
		s.lostAt = s.clock.Now()
	}
	s.served = false
}

// recordServed records that the current connection serves this router.
func (s *subscription) recordServed() {
	if s.served {
		return
	}
	s.served = true
	s.progress.LogAnswered(s.controllers[s.preferred])
	s.progress.Dependencies.Forget()
}

// indexOf returns the index of the controller with the configured address, or that announced
// the address when it refused this router; -1 if there is none.
func (s *subscription) indexOf(address string) int {
	if address == "" {
		return -1
	}
	if configured := slices.Index(s.controllers, address); configured >= 0 {
		return configured
	}
	return slices.Index(s.announced, address)
}

// recordAnnounced stores the address that the current controller announces in its refusal.
func (s *subscription) recordAnnounced(refusal message.Refusal) {
	if refusal.From == "" {
		return
	}
	if s.announced == nil {
		s.announced = make([]string, len(s.controllers))
	}
	s.announced[s.preferred] = refusal.From
}

func reconnectDelay(failures int) time.Duration {
	delay := reconnectBase
	for i := 1; i < failures && delay < reconnectMax; i++ {
		delay *= 2
	}
	delay = min(delay, reconnectMax)
	return delay/2 + rand.N(delay/2+1)
}

// pause sleeps for the duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connect opens a connection and serves it until it fails. It always returns an error.
func (s *subscription) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hello := message.Hello{Purpose: message.PurposeTable, Cluster: s.builder.Table().Cluster(), From: string(s.self.ID)}
	connection, err := s.dial(ctx, address, hello)
	if err != nil {
		return err
	}
	s.progress.Reach(startup.StepControllerReached)
	s.lastFrameAt.Store(int64(s.clock.Now()))
	s.guard.Connected()
	if err := connection.Send(message.RouterFrame{Hello: s.hello()}); err != nil {
		_ = connection.Close()
		return err
	}
	var group conc.WaitGroup
	group.Go(func() {
		s.pingUntil(ctx, connection)
		// Closing the connection makes receive return.
		_ = connection.Close()
	})
	err = s.receive(connection)
	cancel()
	group.Wait()
	return err
}

func (s *subscription) hello() *message.RouterHello {
	view := s.builder.Table()
	return &message.RouterHello{
		Router: s.self, Cluster: view.Cluster(),
		Revision: view.Revision(), Digest: view.Digest(), Resync: s.resync, Services: s.services, Times: &s.times,
	}
}

// pingUntil sends pings until the context ends, a write fails, or no frame was received for
// too long.
func (s *subscription) pingUntil(ctx context.Context, connection tableConnection) {
	ticker := time.NewTicker(s.pingInterval)
	defer ticker.Stop()
	timeout := s.silence()
	for {
		s.nonce++
		now := s.clock.Now()
		if now-time.Duration(s.lastFrameAt.Load()) > timeout {
			s.silent.Store(true)
			return
		}
		ping := &message.Ping{Nonce: s.nonce, SentNs: int64(now), Revision: s.builder.Table().Revision()}
		s.records.Report(ping)
		ping.Quarantine, ping.Suspects = s.guard.Report(), s.guard.Revision()
		if err := connection.Send(message.RouterFrame{Ping: ping}); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-s.records.ReportDue():
		case <-s.crashed:
		case <-ctx.Done():
			return
		}
	}
}

// silence returns the time without a frame after which the connection is closed.
func (s *subscription) silence() time.Duration {
	silence := max(silenceTimeout, maxSilentPings*s.pingInterval)
	for range s.silentConnections / len(s.controllers) {
		silence = max(silence, min(2*silence, maxSilence))
	}
	return silence
}

// countSilence counts a connection that ended.
func (s *subscription) countSilence() {
	switch {
	case s.heard.Load():
		s.silentConnections = 0
	case s.silent.Load() && s.silence() < maxSilence:
		s.silentConnections++
	}
}

func (s *subscription) receive(connection tableConnection) error {
	for {
		frame, err := connection.Receive()
		if err != nil {
			return err
		}
		s.lastFrameAt.Store(int64(s.clock.Now()))
		s.heard.Store(true)
		if err := s.handleFrame(frame); err != nil {
			return err
		}
	}
}

func (s *subscription) handleFrame(frame message.ControllerFrame) error {
	switch {
	case frame.Snapshot != nil:
		complete, err := s.builder.ApplySnapshot(*frame.Snapshot)
		if complete {
			s.resync = false
			s.guard.SetSecret(string(s.builder.Table().Cluster()))
			telemetry.With(s.log, telemetry.EventTableSnapshot).
				WithField(telemetry.FieldRevision, frame.Snapshot.Revision).Info("routing table received")
			s.progress.Reach(startup.StepTableReceived)
			s.tableChanged()
		}
		return s.checkTable(err)
	case frame.Delta != nil:
		err := s.builder.ApplyDelta(*frame.Delta)
		if err == nil {
			s.tableChanged()
		}
		return s.checkTable(err)
	case frame.Pong != nil:
		s.recordServed()
		s.freshness.Observe(*frame.Pong, s.builder.Table().Revision())
		s.records.Renew(*frame.Pong)
		s.handleSuspects(*frame.Pong)
		return nil
	case frame.Notice != nil:
		for _, problem := range frame.Notice.Problems {
			telemetry.With(s.log, telemetry.EventSettingsMismatch).WithField("problem", problem).
				Warn("settings are inconsistent with those of other processes")
		}
		return nil
	case frame.Refusal != nil:
		s.recordAnnounced(*frame.Refusal)
		return &refusedError{refusal: *frame.Refusal}
	default:
		return eris.New("the controller sent an empty frame")
	}
}

func (s *subscription) handleSuspects(pong message.Pong) {
	s.guard.Acknowledge(pong.Heard)
	if pong.Suspects != nil {
		s.guard.SetSuspects(*pong.Suspects)
	}
}

func (s *subscription) tableChanged() {
	s.freshness.Advance(s.builder.Table().Revision())
	s.onTableChange()
}

// checkTable returns err. If only a full table can resolve it, the next connection requests
// a full snapshot.
func (s *subscription) checkTable(err error) error {
	if table.NeedsSnapshot(err) {
		s.resync = true
		telemetry.WithError(s.log, telemetry.EventTableDigest, err).Warn("routing table update does not apply; requesting a full snapshot")
	}
	return err
}
