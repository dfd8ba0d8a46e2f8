package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// directoryStream serves the directory to one gateway: what it lacks, then each
// change, and a pong for each ping. Any replica serves it. A pong follows a quorum
// round, so that a gateway whose replica is cut off notices and asks another one.
type directoryStream struct {
	replica    *replica
	connection *wire.Conn
	// sent is the revision that the gateway holds.
	sent        directory.Revision
	controllers []string
	leader      string
	// address is where the gateway serves others, and peers the gateways that it was
	// told of.
	address string
	peers   []string
	pongs   chan uint64
}

var errNotLeading = eris.New("this replica does not lead")

// pingsWaiting bounds the pings of one gateway that wait for their quorum round.
const pingsWaiting = 4

// A stream waits after a change for further ones: for the shortest time, and longer
// where many streams are open, so that a controller sends a bounded number of updates
// a second.
const (
	shortestGather = 5 * time.Millisecond
	longestGather  = 60 * time.Millisecond
	gatherOfStream = time.Millisecond
)

// gatherTime returns how long a stream waits after a change, by the streams open at
// this controller.
func gatherTime(streams int) time.Duration {
	return min(max(shortestGather, time.Duration(streams)*gatherOfStream), longestGather)
}

func serveDirectory(ctx context.Context, r *replica, connection *wire.Conn) error {
	var first message.DirectoryRequest
	if err := connection.Receive(&first); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.directoryStreams.Add(1)
	defer r.directoryStreams.Add(-1)
	defer r.gateways.add(first.Address)()
	stream := &directoryStream{replica: r, connection: connection, address: first.Address, pongs: make(chan uint64, pingsWaiting)}
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

// answerPings confirms by a quorum round that the replica's directory is current,
// for each ping, until the connection ends or a round fails.
func (s *directoryStream) answerPings(ctx context.Context) {
	for ctx.Err() == nil {
		var request message.DirectoryRequest
		if err := s.connection.Receive(&request); err != nil {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, s.replica.settings.Consensus.ProposalTimeout)
		err := s.replica.readHere(bounded)
		cancel()
		if err != nil {
			return
		}
		select {
		case s.pongs <- request.Ping:
		case <-ctx.Done():
		}
	}
}

func (s *directoryStream) write(ctx context.Context) error {
	for {
		changed := s.replica.directoryChanged.Next()
		if err := s.writeChanges(ctx, 0); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case pong := <-s.pongs:
			if err := s.writeChanges(ctx, pong); err != nil {
				return err
			}
		case <-changed:
			clock.Sleep(ctx, gatherTime(int(s.replica.directoryStreams.Load())))
		}
	}
}

// writeChanges sends what the gateway lacks, with a pong if there is one.
func (s *directoryStream) writeChanges(ctx context.Context, pong uint64) error {
	changes, err := s.replica.changesAfter(s.sent)
	if err != nil {
		return err
	}
	if changes != nil {
		if err := s.connection.SendFrame(ctx, changes.frame); err != nil {
			return err
		}
		s.sent = changes.to
	}
	update := message.DirectoryUpdate{Pong: pong}
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
	if update.Controllers == nil && update.Leader == "" && update.Peers == nil && pong == 0 {
		return nil
	}
	return s.connection.Send(ctx, &update)
}

// directoryChanges are changes of the directory as they are sent to gateways.
type directoryChanges struct {
	from, to directory.Revision
	frame    wire.Frame
}

// directoryFeed keeps the newest changes that were encoded: most streams stand at the
// same revision. It is safe for concurrent use.
type directoryFeed struct {
	mutex  sync.Mutex
	newest *directoryChanges
}

// changesAfter returns the changes after a revision; nil if there are none.
func (r *replica) changesAfter(sent directory.Revision) (*directoryChanges, error) {
	r.feed.mutex.Lock()
	defer r.feed.mutex.Unlock()
	var changes *directoryChanges
	var content directory.RoutingChanges
	known := r.feed.newest
	r.view(func(view *state.State) {
		revision := view.Directory().Revision()
		switch {
		case revision <= sent:
		case known != nil && known.from == sent && known.to == revision:
			changes = known
		default:
			content = view.Directory().RoutingSince(sent)
			changes = &directoryChanges{from: sent, to: content.To}
		}
	})
	if changes == nil || changes == known {
		return changes, nil
	}
	var err error
	update := &message.DirectoryUpdate{Changes: &content}
	if sent == 0 {
		update.Cluster = r.cluster
	}
	changes.frame, err = wire.Encode(update)
	if err != nil {
		return nil, err
	}
	r.feed.newest = changes
	return changes, nil
}

// peerAddresses returns the peer addresses of the members of the group.
func (r *replica) peerAddresses() []string {
	var addresses []string
	for _, member := range r.published.Load().status.Membership.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// takeDemand takes a gateway's counts of requests while this replica leads, and gives out the
// tokens of tenants that it asks for.
func takeDemand(ctx context.Context, r *replica, connection *wire.Conn, gateway string) error {
	if leadership, leads := r.leadershipContext(); leads {
		r.heartbeats.count(leadership, gateway, message.DemandReport{})
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
		if len(report.Services) > 0 || report.Gateway != nil || len(report.Quotas) == 0 {
			r.heartbeats.count(leadership, gateway, report)
		}
		grants := r.quotas.hear(leadership, gateway, report.Quotas)
		if len(report.Quotas) == 0 {
			continue
		}
		if err := connection.Send(ctx, &message.QuotaAnswer{Grants: grants}); err != nil {
			return err
		}
	}
	return ctx.Err()
}
