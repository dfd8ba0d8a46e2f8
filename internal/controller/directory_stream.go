package controller

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/remoteclock"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// directoryStream serves the directory to one gateway: the changes it lacks, then each frame of the feed, and
// a pong for each ping. Any replica can serve it. A pong is sent only after a quorum round, so that a gateway
// whose replica is cut off notices and switches to another one.
type directoryStream struct {
	replica    *replica
	connection *wire.Conn
	// sent is the revision up to which the gateway was sent the directory.
	sent        directory.Revision
	controllers []string
	leader      string
	// address is where the gateway serves the directory to others, and peers the gateways that were last named
	// to it.
	address string
	peers   []string
	pongs   chan pong
	// pinged is closed at the first ping.
	pinged chan struct{}
	// pendingPongs wait until the gateway was sent the revision that they confirm.
	pendingPongs []pong
}

// pong confirms that the directory was current at a revision.
type pong struct {
	ping     uint64
	revision directory.Revision
	// pinged is when the ping had arrived.
	pinged remoteclock.Reading
}

var errNotLeading = eris.New("this replica does not lead")

// maxPendingPings bounds the confirmed pings of one gateway that wait to be answered.
const maxPendingPings = 4

func serveDirectory(ctx context.Context, r *replica, connection *wire.Conn) error {
	var first message.DirectoryRequest
	if err := connection.ReceiveShort(&first); err != nil {
		return err
	}
	connection.SetSilenceTimeout(wire.PatientSilenceTimeout)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.directoryStreams.Add(1)
	defer r.directoryStreams.Add(-1)
	defer r.gateways.add(first.Address)()
	stream := &directoryStream{replica: r, connection: connection, address: first.Address, pongs: make(chan pong, maxPendingPings), pinged: make(chan struct{})}
	if first.Cluster == r.cluster {
		stream.sent = first.Revision
	}
	r.background.Go(func() {
		defer cancel()
		stream.answerPings(ctx)
	})
	err := stream.write(ctx)
	connection.Close()
	return err
}

// answerPings confirms by a quorum round per ping that the replica's directory is current, until the
// connection ends or a round fails.
func (s *directoryStream) answerPings(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		var request message.DirectoryRequest
		if err := s.connection.ReceiveShort(&request); err != nil {
			return
		}
		if first {
			close(s.pinged)
		}
		pinged := s.replica.clockReading()
		readContext, cancel := context.WithTimeout(ctx, s.replica.settings.Consensus.ProposalTimeout)
		err := s.replica.confirmCurrent(readContext)
		cancel()
		if err != nil {
			return
		}
		confirmed := pong{ping: request.Ping, pinged: pinged}
		s.replica.view(func(view *state.State) { confirmed.revision = view.Directory().Revision() })
		select {
		case s.pongs <- confirmed:
		case <-ctx.Done():
		}
	}
}

func (s *directoryStream) write(ctx context.Context) error {
	if s.sent == 0 {
		if err := s.announceControllers(ctx); err != nil {
			return err
		}
	}
	for {
		frameAdded := s.replica.feed.frameAdded.Next()
		if err := s.writeFrames(ctx); err != nil {
			return err
		}
		if err := s.writeUpdate(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case confirmed := <-s.pongs:
			s.pendingPongs = append(s.pendingPongs, confirmed)
		case <-frameAdded:
		}
	}
}

// announceControllers names the controllers to a gateway that has no directory and waits for its first ping: a
// gateway that switches to another controller then does not also fetch a full directory from this one. Without
// this, after all processes were killed, each of 985 gateways fetched it from all three seeds at once, over
// 2,640 streams, which saturated the links of the seeds for two seconds.
func (s *directoryStream) announceControllers(ctx context.Context) error {
	if err := s.writeUpdate(ctx); err != nil {
		return err
	}
	select {
	case <-s.pinged:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeFrames sends the changes that the gateway lacks.
func (s *directoryStream) writeFrames(ctx context.Context) error {
	frames, err := s.replica.framesAfter(s.sent)
	if err != nil {
		return err
	}
	for _, changes := range frames {
		if err := s.connection.SendFrame(ctx, changes.frame); err != nil {
			return err
		}
		s.sent = changes.to
	}
	return nil
}

// writeUpdate sends the pongs that are due and changes of the controllers, the leader and the peers.
func (s *directoryStream) writeUpdate(ctx context.Context) error {
	update := message.DirectoryUpdate{}
	if controllers := s.replica.peerAddresses(); !slices.Equal(controllers, s.controllers) {
		s.controllers = controllers
		update.Controllers = controllers
	}
	if leader, known := s.replica.leader(); known && leader.Address != s.leader {
		s.leader = leader.Address
		update.Leader = leader.Address
	}
	if peers := s.replica.gateways.peersOf(s.address); !slices.Equal(peers, s.peers) {
		s.peers = peers
		update.Peers = peers
	}
	for len(s.pendingPongs) > 0 && s.pendingPongs[0].revision <= s.sent {
		answered := s.pendingPongs[0]
		update.Pong, update.ProvedAt = answered.ping, &answered.pinged
		s.pendingPongs = s.pendingPongs[1:]
	}
	if update.Controllers == nil && update.Leader == "" && update.Peers == nil && update.Pong == 0 {
		return nil
	}
	return s.connection.Send(ctx, &update)
}

// clockReading returns a reading of this replica's clock for other processes.
func (r *replica) clockReading() remoteclock.Reading {
	return remoteclock.ReadingAt(r.clockOrigin, r.clock.Now())
}

// peerAddresses returns the peer addresses of the members of the group.
func (r *replica) peerAddresses() []string {
	var addresses []string
	for _, member := range r.published.Load().status.Membership.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// serveDemand receives a gateway's demand reports while this replica leads, and answers with the tokens of
// tenants and instances that it asks for.
func serveDemand(ctx context.Context, r *replica, connection *wire.Conn, gateway string) error {
	if leadership, leads := r.leadershipContext(); leads {
		r.heartbeats.recordDemand(leadership, gateway, message.DemandReport{})
		r.quotas.connect(leadership, gateway)
	}
	for ctx.Err() == nil {
		var report message.DemandReport
		if err := connection.Receive(&report); err != nil {
			return err
		}
		leadership, leads := r.leadershipContext()
		if !leads {
			return errNotLeading
		}
		if len(report.Services) > 0 || report.Gateway != nil || !report.Asks() {
			r.heartbeats.recordDemand(leadership, gateway, report)
		}
		answer := r.quotas.handleReport(leadership, gateway, &report)
		if !report.Asks() {
			continue
		}
		if report.Quarantine != nil {
			r.suspects.handleReport(leadership, gateway, *report.Quarantine)
			answer.Heard = report.Quarantine.Number
		}
		if err := connection.Send(ctx, &answer); err != nil {
			return err
		}
	}
	return ctx.Err()
}
