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

// tableStream serves the routing table to one router: a snapshot if the history does not continue from the
// table that the router holds, then deltas, and a pong for each ping. Only the leader serves streams, since it
// alone knows every router.
type tableStream struct {
	replica    *replica
	cluster    message.ClusterID
	connection *wire.Conn
	router     state.RouterID
	// routerInfo is how the router describes itself.
	routerInfo state.Router
	// times are the settings that the router reported, or nil, and mismatches the problems found in them.
	times      *config.RouterTimes
	mismatches []config.Mismatch
	// leadership is cancelled when this replica stops leading.
	leadership context.Context
	// position tracks which revision the router's table has reached.
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
	if !leads || r.watchdog.stallContext().Err() != nil {
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
		router: first.Hello.Router.ID, routerInfo: first.Hello.Router, times: first.Hello.Times, leadership: leadership,
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

// refuseTable names the leader to the router and waits for the router to close the connection: closing it with
// unread frames would reset it, and the refusal could be lost.
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

// readPings passes the pings of the router to answerPings until the connection ends. A full queue of pings
// blocks the connection.
func (s *tableStream) readPings(ctx context.Context) error {
	pings := make(chan message.Ping, s.replica.settings.Table.QueueFrames)
	ctx, cancel := context.WithCancel(ctx)
	answered := make(chan error, 1)
	s.replica.background.Go(func() {
		// Closes the stream after a failed quorum round, so that the router tries another replica.
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

// answerPings answers all waiting pings with one quorum round, which begins after the last of them was
// received. One round per ping would fall behind when a round takes longer than the interval between pings.
func (s *tableStream) answerPings(ctx context.Context, pings <-chan message.Ping) error {
	for {
		waitingPings, err := takePings(ctx, pings)
		if err != nil {
			return err
		}
		revision, err := s.replica.ReadRevision(ctx)
		if err != nil {
			return err
		}
		for _, ping := range waitingPings {
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

// answerQuarantine processes the report of a router about requests under which servers crash, and adds to the
// pong the list of suspects if the router has an older one.
func (s *tableStream) answerQuarantine(ping message.Ping, pong *message.Pong) {
	if ping.Quarantine != nil {
		s.replica.suspects.handleReport(s.leadership, string(s.router), *ping.Quarantine)
		pong.Heard = ping.Quarantine.Number
	}
	s.replica.view(func(view *state.State) {
		if current := view.Directory().Suspects(); current.Revision > ping.Suspects {
			known := current.ForSenders()
			pong.Suspects = &known
		}
	})
}

// takePings waits for one ping and returns it with those queued behind it.
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

// writeTable sends the changes that the router lacks, and returns a channel that is closed at the next change.
func (s *tableStream) writeTable(ctx context.Context) (<-chan struct{}, error) {
	changes, changed, covered := s.position.Next(s.replica.history)
	for !covered {
		if err := s.writeFullTable(ctx); err != nil {
			return changed, err
		}
		changes, changed, covered = s.position.Next(s.replica.history)
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

// catchUp advances the router past changes that did not affect its part of the table.
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

func (s *tableStream) writeFullTable(ctx context.Context) error {
	encoded := s.replica.fullTable.get(s.replica, s.position.MinSnapshotRevision())
	send := func(frame wire.Frame) error { return s.connection.SendFrame(ctx, frame) }
	if err := encoded.send(s.position.Subset(), s.replica.settings.Table.SnapshotObjects, send); err != nil {
		return err
	}
	s.position.SentTable(encoded.table)
	return nil
}
