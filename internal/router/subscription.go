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
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// silenceLimit is how long a table connection may bring no frame.
	silenceLimit = 600 * time.Millisecond
	// silentPings is how many pings may stay unanswered when pings are rare.
	silentPings = 3

	// avoidLost is how long a lost controller is left out; it is longer than an
	// election with the default settings.
	avoidLost = 500 * time.Millisecond

	reconnectBase = 25 * time.Millisecond
	// reconnectMax is well below a router's lease as a record primary, so that
	// a change of leader does not end it.
	reconnectMax = 250 * time.Millisecond
)

// tableConnection carries frames between a router and a controller.
type tableConnection interface {
	Send(message.RouterFrame) error
	Receive() (message.ControllerFrame, error)
	Close() error
}

// tableDialer opens a table connection to a controller's peer address.
type tableDialer func(ctx context.Context, address string, hello message.Hello) (tableConnection, error)

// recordReporter is the record service as the subscription sees it.
type recordReporter interface {
	// Report completes a ping whose SentNs is set.
	Report(ping *message.Ping)
	// ReportDue gets a token when a ping should go out soon.
	ReportDue() <-chan struct{}
	// Renew takes the lease in a pong.
	Renew(pong message.Pong)
}

// subscription keeps the routing table current.
type subscription struct {
	self        state.Router
	services    []state.ServiceName
	controllers []string
	interval    time.Duration
	// times are the settings that the controllers are told.
	times     config.RouterTimes
	dial      tableDialer
	clock     clock.Clock
	builder   *table.Builder
	freshness *table.Freshness
	log       *logrus.Entry
	// changed is called after each new version of the table.
	changed func()
	// records adds to pings and takes leases from pongs.
	records recordReporter
	// guard tells and hears of requests under which servers crash, and crashed gets an entry when the
	// controllers are to be told at once.
	guard   *crashwatch.Guard
	crashed <-chan struct{}

	// preferred is the index of the controller that answered last.
	preferred int
	// announced holds, by the same index, the addresses that controllers
	// announce of themselves, which may differ from the configured ones.
	announced []string
	// served is true once the present connection brought a pong. lost is the
	// controller whose serving connection ended last, at lostAt; zero for never.
	served bool
	lost   int
	lostAt time.Duration
	// resync asks for a whole snapshot on the next connection.
	resync bool
	nonce  uint64
	// heard is the clock reading of the last frame, in nanoseconds.
	heard atomic.Int64
}

// run keeps one connection open until the context ends.
func (s *subscription) run(ctx context.Context) {
	s.preferred = rand.IntN(len(s.controllers))
	failures := 0
	for ctx.Err() == nil {
		address := s.controllers[s.preferred]
		began := s.clock.Now()
		err := s.connect(ctx, address)
		s.freshness.Disconnected()
		if ctx.Err() != nil {
			return
		}
		s.noteLost()
		s.preferred = s.next(err)
		failures++
		if s.clock.Now()-began > reconnectMax {
			failures = 1
		}
		telemetry.WithError(s.log, telemetry.EventControllerLost, err).
			WithField(telemetry.FieldAddress, address).Warn("table connection ended")
		pause(ctx, reconnectDelay(failures))
	}
}

// refusedError carries a controller's refusal of the table connection.
type refusedError struct {
	refusal message.Refusal
}

// Error implements the error interface.
func (e *refusedError) Error() string {
	return fmt.Sprintf("the controller refused: %s: %s", e.refusal.Kind, e.refusal.Detail)
}

// next returns the index of the controller to try after a connection ended: the
// leader that a refusal names, if it is known here, else the one after the last.
// A controller whose connection was lost a moment ago is left out: while it is
// cut off in silence, the others name it as the leader until they elect another.
func (s *subscription) next(ended error) int {
	count := len(s.controllers)
	chosen := (s.preferred + 1) % count
	var refused *refusedError
	if errors.As(ended, &refused) && refused.refusal.Kind == fault.NotLeader {
		if named := s.find(refused.refusal.Detail); named >= 0 {
			chosen = named
		}
	}
	if s.avoids(chosen) {
		chosen = (s.preferred + 1) % count
	}
	if s.avoids(chosen) {
		chosen = (chosen + 1) % count
	}
	return chosen
}

// avoids reports whether the controller's connection was lost a moment ago.
func (s *subscription) avoids(index int) bool {
	return s.lostAt != 0 && index == s.lost && s.clock.Now()-s.lostAt < avoidLost
}

// noteLost remembers the controller that served this router until now.
func (s *subscription) noteLost() {
	if s.served {
		s.lost = s.preferred
		s.lostAt = s.clock.Now()
	}
	s.served = false
}

// find returns the index of the controller that is configured under an address,
// or that announced it when it refused this router; -1 if there is none.
func (s *subscription) find(address string) int {
	if address == "" {
		return -1
	}
	if configured := slices.Index(s.controllers, address); configured >= 0 {
		return configured
	}
	return slices.Index(s.announced, address)
}

// learn keeps the address that the controller on this connection announces.
func (s *subscription) learn(refusal message.Refusal) {
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

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connect serves one connection until it fails. It always returns an error.
func (s *subscription) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hello := message.Hello{Purpose: message.PurposeTable, Cluster: s.builder.Table().Cluster(), From: string(s.self.ID)}
	connection, err := s.dial(ctx, address, hello)
	if err != nil {
		return err
	}
	s.heard.Store(int64(s.clock.Now()))
	s.guard.Connected()
	if err := connection.Send(message.RouterFrame{Hello: s.hello()}); err != nil {
		_ = connection.Close()
		return err
	}
	var group conc.WaitGroup
	group.Go(func() {
		s.pingUntil(ctx, connection)
		// Closing ends the receiving side as well.
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

// pingUntil sends pings until the context ends, a write fails, or the
// connection was silent for too long.
func (s *subscription) pingUntil(ctx context.Context, connection tableConnection) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	limit := max(silenceLimit, silentPings*s.interval)
	for {
		s.nonce++
		now := s.clock.Now()
		if now-time.Duration(s.heard.Load()) > limit {
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

func (s *subscription) receive(connection tableConnection) error {
	for {
		frame, err := connection.Receive()
		if err != nil {
			return err
		}
		s.heard.Store(int64(s.clock.Now()))
		if err := s.take(frame); err != nil {
			return err
		}
	}
}

func (s *subscription) take(frame message.ControllerFrame) error {
	switch {
	case frame.Snapshot != nil:
		complete, err := s.builder.ApplySnapshot(*frame.Snapshot)
		if complete {
			s.resync = false
			s.guard.SetSecret(string(s.builder.Table().Cluster()))
			telemetry.With(s.log, telemetry.EventTableSnapshot).
				WithField(telemetry.FieldRevision, frame.Snapshot.Revision).Info("routing table received")
			s.advance()
		}
		return s.checked(err)
	case frame.Delta != nil:
		err := s.builder.ApplyDelta(*frame.Delta)
		if err == nil {
			s.advance()
		}
		return s.checked(err)
	case frame.Pong != nil:
		s.served = true
		s.freshness.Observe(*frame.Pong, s.builder.Table().Revision())
		s.records.Renew(*frame.Pong)
		s.takeSuspects(*frame.Pong)
		return nil
	case frame.Notice != nil:
		for _, problem := range frame.Notice.Problems {
			telemetry.With(s.log, telemetry.EventSettingsMismatch).WithField("problem", problem).Warn("settings do not fit those of other processes")
		}
		return nil
	case frame.Refusal != nil:
		s.learn(*frame.Refusal)
		return &refusedError{refusal: *frame.Refusal}
	default:
		return eris.New("the controller sent an empty frame")
	}
}

func (s *subscription) takeSuspects(pong message.Pong) {
	s.guard.Acknowledge(pong.Heard)
	if pong.Suspects != nil {
		s.guard.SetSuspects(*pong.Suspects)
	}
}

func (s *subscription) advance() {
	s.freshness.Advance(s.builder.Table().Revision())
	s.changed()
}

// checked asks for a whole snapshot after a message that did not fit the table.
func (s *subscription) checked(err error) error {
	if table.NeedsSnapshot(err) {
		s.resync = true
		telemetry.WithError(s.log, telemetry.EventTableDigest, err).Warn("routing table is fetched anew")
	}
	return err
}
