package controller

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/tablestream"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// tableStream serves the routing table to one router: a snapshot if the router
// holds nothing that the history leads on from, then deltas, and a pong for
// each ping. Only the leader serves streams, since it alone knows every router.
type tableStream struct {
	replica    *replica
	cluster    message.ClusterID
	connection *wire.Conn
	router     state.RouterID
	// process is what the router said of itself.
	process state.Router
	// times are the settings that the router told, nil for none, and mismatches
	// their problems.
	times      *config.RouterTimes
	mismatches []config.Mismatch
	// leadership ends when this replica stops leading.
	leadership context.Context
	// position is how far the router's table has come.
	position tablestream.Position
	pongs    chan message.Pong
}

// serveTable runs one stream until the connection or the leadership ends.
func serveTable(ctx context.Context, r *replica, cluster message.ClusterID, connection *wire.Conn) error {
	var first message.RouterFrame
	if err := connection.Receive(&first); err != nil {
		return err
	}
	if first.Hello == nil {
		return eris.New("a table connection must begin with a hello")
	}
	leadership, leads := r.leadershipContext()
	if !leads || r.turns.current().Err() != nil {
		return refuseTable(ctx, r, connection)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatching := context.AfterFunc(leadership, func() {
		cancel()
		connection.Close()
	})
	defer stopWatching()
	stream := &tableStream{
		replica: r, cluster: cluster, connection: connection,
		router: first.Hello.Router.ID, process: first.Hello.Router, times: first.Hello.Times, leadership: leadership,
		position: tablestream.Subscribe(*first.Hello, r.tablePosition(), r.history),
		pongs:    make(chan message.Pong, r.settings.Table.QueueFrames),
	}
	telemetry.With(r.log, telemetry.EventRouterJoined).WithField("router", stream.router).
		WithField("revision", stream.position.Sent()).Info("router subscribed")
	defer r.routers.leave(stream.router)
	stream.mismatches = r.routers.join(*first.Hello, r.settings)
	stream.logMismatches()
	return stream.run(ctx, cancel)
}

// framesAfterRefusal bounds the frames that a refused router may still send.
const framesAfterRefusal = 16

// refuseTable names the leader, so that the router goes there, and waits for
// the router to hang up: a connection that is closed with frames unread is
// reset, by which the refusal may be lost.
func refuseTable(ctx context.Context, r *replica, connection *wire.Conn) error {
	refusal := message.Refusal{Kind: fault.NotLeader, From: r.self.Address}
	if leader, known := r.leader(); known {
		refusal.Detail = leader.Address
	}
	if err := connection.Send(ctx, &message.ControllerFrame{Refusal: &refusal}); err != nil {
		return err
	}
	for range framesAfterRefusal {
		var ignored message.RouterFrame
		if err := connection.Receive(&ignored); err != nil {
			return err
		}
	}
	return nil
}

func (s *tableStream) run(ctx context.Context, cancel context.CancelFunc) error {
	defer cancel()
	readEnded := make(chan error, 1)
	s.replica.background.Go(func() {
		defer cancel()
		readEnded <- s.readPings(ctx)
	})
	writeEnded := s.write(ctx)
	s.connection.Close()
	if readError := <-readEnded; readError != nil && writeEnded == nil {
		return readError
	}
	return writeEnded
}

// readPings passes the router's pings on to answerPings until the connection
// ends. A router whose pings find no room is held up by the connection.
func (s *tableStream) readPings(ctx context.Context) error {
	pings := make(chan message.Ping, s.replica.settings.Table.QueueFrames)
	ctx, cancel := context.WithCancel(ctx)
	answered := make(chan error, 1)
	s.replica.background.Go(func() {
		// A failed round ends the stream, so that the router looks elsewhere.
		defer s.connection.Close()
		answered <- s.answerPings(ctx, pings)
	})
	err := s.receivePings(ctx, pings)
	cancel()
	if answerError := <-answered; err == nil {
		return answerError
	}
	return err
}

func (s *tableStream) receivePings(ctx context.Context, pings chan<- message.Ping) error {
	for {
		var frame message.RouterFrame
		if err := s.connection.Receive(&frame); err != nil {
			return err
		}
		if frame.Ping == nil {
			continue
		}
		select {
		case pings <- *frame.Ping:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// answerPings answers all pings that wait by one quorum round, which begins
// after the last of them came. A round for each ping would fall behind where a
// round takes longer than the time between two pings.
func (s *tableStream) answerPings(ctx context.Context, pings <-chan message.Ping) error {
	for {
		waiting, err := takePings(ctx, pings)
		if err != nil {
			return err
		}
		revision, err := s.replica.ReadRevision(ctx)
		if err != nil {
			return err
		}
		for _, ping := range waiting {
			pong := s.replica.routers.pong(s.router, ping, revision, s.replica.clock.Now())
			s.replica.partitions.grant(s, ping, &pong)
			s.answerQuarantine(ping, &pong)
			select {
			case s.pongs <- pong:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// answerQuarantine takes what a router tells of requests under which servers crash, and tells it of
// those that it does not know.
func (s *tableStream) answerQuarantine(ping message.Ping, pong *message.Pong) {
	if ping.Quarantine != nil {
		s.replica.suspects.hear(s.leadership, string(s.router), *ping.Quarantine)
		pong.Heard = ping.Quarantine.Number
	}
	s.replica.view(func(view *state.State) {
		if current := view.Directory().Suspects(); current.Revision > ping.Suspects {
			known := current.ForSenders()
			pong.Suspects = &known
		}
	})
}

// takePings waits for one ping and takes those that wait behind it.
func takePings(ctx context.Context, pings <-chan message.Ping) ([]message.Ping, error) {
	var waiting []message.Ping
	select {
	case ping := <-pings:
		waiting = append(waiting, ping)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for range cap(pings) {
		select {
		case ping := <-pings:
			waiting = append(waiting, ping)
		default:
			return waiting, nil
		}
	}
	return waiting, nil
}

func (s *tableStream) write(ctx context.Context) error {
	if err := s.writeNotice(ctx); err != nil {
		return err
	}
	for {
		changed, err := s.writeTable(ctx)
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case pong := <-s.pongs:
			if err := s.catchUp(ctx); err != nil {
				return err
			}
			if err := s.connection.Send(ctx, &message.ControllerFrame{Pong: &pong}); err != nil {
				return err
			}
		case <-changed:
		}
	}
}

// writeTable sends what the router lacks, and returns a channel that is closed
// at the next change.
func (s *tableStream) writeTable(ctx context.Context) (<-chan struct{}, error) {
	changes, changed, reached := s.position.Next(s.replica.history)
	for !reached {
		if err := s.writeWhole(ctx); err != nil {
			return changed, err
		}
		changes, changed, reached = s.position.Next(s.replica.history)
	}
	for _, change := range changes {
		if err := s.writeChange(ctx, change); err != nil {
			return changed, err
		}
	}
	return changed, nil
}

func (s *tableStream) writeChange(ctx context.Context, change *tablestream.Change) error {
	frame, due, err := s.position.Take(change)
	if err != nil || !due {
		return err
	}
	return s.connection.SendFrame(ctx, frame)
}

// catchUp tells the router of changes that did not touch its part.
func (s *tableStream) catchUp(ctx context.Context) error {
	if s.position.Subset().Whole() {
		return nil
	}
	if _, err := s.writeTable(ctx); err != nil {
		return err
	}
	delta, behind := s.position.CatchUp()
	if !behind {
		return nil
	}
	return s.connection.Send(ctx, &message.ControllerFrame{Delta: &delta})
}

func (s *tableStream) writeWhole(ctx context.Context) error {
	whole := s.replica.whole.get(s.replica, s.position.MinSnapshotRevision())
	send := func(frame wire.Frame) error { return s.connection.SendFrame(ctx, frame) }
	if err := whole.send(s.position.Subset(), s.replica.settings.Table.SnapshotObjects, send); err != nil {
		return err
	}
	s.position.SentTable(whole.table)
	return nil
}
