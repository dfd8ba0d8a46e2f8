package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Each server keeps a connection for its heartbeats. Only the leader decides on heartbeats, but any
// controller accepts them and forwards many over one connection: 9,999 servers connected to a single
// leader took 17,400 file descriptors and 540 MB there, more than its machine had.

const (
	// maxForwardedCalls bounds the heartbeats of one controller that are pending at the leader: those of about
	// 4,000 servers, whose answers are held back for 0.7 s of every 3 s.
	maxForwardedCalls = 1024
	// leaderConnectionShare and followerConnectionShare are the shares of its connections above which a
	// controller refers servers to another one. The leader also holds the connections of all gateways.
	leaderConnectionShare   = 0.25
	followerConnectionShare = 0.6
	// randomControllerShare is the share of servers that are referred to a controller chosen from all instead
	// of the nearest ones, which may fail together.
	randomControllerShare = 0.25
)

// forwarder forwards heartbeats to the leader. It is safe for concurrent use.
type forwarder struct {
	replica *replica
	mutex   sync.Mutex
	client  *wire.Client
}

// leader returns a client of the leading controller, or false if no other controller is known to lead.
func (f *forwarder) leader() (*wire.Client, bool) {
	leader, known := f.replica.leader()
	if !known || leader.ID == f.replica.self.ID {
		return nil, false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.client != nil && f.client.Address() == leader.Address {
		return f.client, true
	}
	previous := f.client
	f.client = wire.NewClient(leader.Address, message.Hello{Purpose: message.PurposeHeartbeats, Cluster: f.replica.cluster, From: f.replica.settings.Name},
		wire.Options{DialTimeout: f.replica.settings.Heartbeat.AnswerTimeout / 2, IdleTimeout: forwardingIdleTimeout, WriteTimeout: f.replica.settings.Table.WriteTimeout})
	if previous != nil {
		f.replica.background.Go(previous.Close)
	}
	return f.client, true
}

// forwardingIdleTimeout is how long a connection without heartbeats stays open.
const forwardingIdleTimeout = 10 * time.Second

// call forwards a heartbeat or a leave notice and returns the answer of the leader. An error of the kind
// not_leader means that there was no leader to ask.
func (f *forwarder) call(ctx context.Context, call message.HeartbeatCall) (heartbeat.Grant, error) {
	client, known := f.leader()
	if !known {
		return heartbeat.Grant{}, fault.New(fault.NotLeader, "this replica does not lead: ask the leader")
	}
	var answer message.HeartbeatAnswer
	if err := client.Call(ctx, &call, &answer); err != nil {
		return heartbeat.Grant{}, fault.Newf(fault.Unavailable, "the leader did not answer this replica: %v", err)
	}
	if answer.Kind != "" {
		return heartbeat.Grant{}, fault.New(answer.Kind, answer.Detail)
	}
	return answer.Grant, nil
}

func (f *forwarder) close() {
	f.mutex.Lock()
	client := f.client
	f.client = nil
	f.mutex.Unlock()
	if client != nil {
		client.Close()
	}
}

// serveHeartbeats answers the calls that another controller forwards.
func serveHeartbeats(ctx context.Context, r *replica, connection *wire.Conn) error {
	connection.SetIdleTimeout(forwardingIdleTimeout)
	return wire.ServeCalls(ctx, connection, maxForwardedCalls, func(ctx context.Context, call *message.HeartbeatCall) *message.HeartbeatAnswer {
		ctx, cancel := context.WithTimeout(ctx, r.settings.Heartbeat.AnswerTimeout)
		defer cancel()
		var grant heartbeat.Grant
		var err error
		if call.Beat != nil {
			grant, err = r.heartbeats.receive(ctx, *call.Beat)
		} else {
			err = r.heartbeats.leave(ctx, call.Leaving)
		}
		if err != nil {
			return &message.HeartbeatAnswer{Kind: fault.KindOf(err), Detail: detailOf(err)}
		}
		return &message.HeartbeatAnswer{Grant: grant}
	})
}

// handleBeat processes a heartbeat if this replica leads, and otherwise forwards it.
func (a *api) handleBeat(ctx context.Context, beat heartbeat.Beat) (heartbeat.Grant, error) {
	startedAt := time.Now()
	grant, err := a.replica.heartbeats.receive(ctx, beat)
	if fault.Is(err, fault.NotLeader) && a.spreadsHeartbeats() {
		grant, err = a.forwarder.call(ctx, message.HeartbeatCall{Beat: &beat})
	}
	a.replica.load.heartbeat(time.Since(startedAt), err)
	return grant, err
}

// spreadsHeartbeats reports whether there are more servers than the leader should hold connections for. A
// smaller number is redirected to the leader, which saves one hop.
func (a *api) spreadsHeartbeats() bool {
	instances := 0
	a.replica.view(func(view *state.State) { instances = view.Directory().LiveInstances() })
	return float64(instances) > leaderConnectionShare*float64(a.settings.MaxConnections)
}

// handleLeave processes a leave notice if this replica leads, and otherwise forwards it.
func (a *api) handleLeave(ctx context.Context, leaving directory.Incarnation) error {
	err := a.replica.heartbeats.leave(ctx, leaving)
	if fault.Is(err, fault.NotLeader) && a.spreadsHeartbeats() {
		_, err = a.forwarder.call(ctx, message.HeartbeatCall{Leaving: leaving})
	}
	return err
}

// heartbeatAddress returns where a server should send its next heartbeats: to this controller, or to another
// one once this one has its share of the connections.
func (a *api) heartbeatAddress(server string) string {
	self := a.replica.self
	share := followerConnectionShare
	if _, leads := a.replica.leadershipContext(); leads {
		share = leaderConnectionShare
	}
	if !a.spreadsHeartbeats() || float64(a.app.Server().GetOpenConnectionsCount()) < share*float64(a.settings.MaxConnections) {
		return self.APIAddress
	}
	leader, _ := a.replica.leader()
	members := a.replica.published.Load().status.Membership.Members
	if other, found := otherController(members, self.ID, leader.ID, server, rand.Float64()); found {
		return other.APIAddress
	}
	return self.APIAddress
}

// otherController chooses a controller for the heartbeats of a server, neither this one nor the leader, but
// possibly a learner: one of those whose addresses share the longest prefix with that of the server or, with a
// small probability, any. random is a number in [0, 1).
func otherController(members []consensus.Member, self, leader consensus.ReplicaID, server string, random float64) (consensus.Member, bool) {
	var others, nearest []consensus.Member
	longestShared := 0
	for _, member := range members {
		if member.ID == self || member.ID == leader {
			continue
		}
		others = append(others, member)
		shared := wire.SharedNetwork(member.APIAddress, server)
		if shared > longestShared {
			longestShared, nearest = shared, nil
		}
		if shared == longestShared {
			nearest = append(nearest, member)
		}
	}
	if len(others) == 0 {
		return consensus.Member{}, false
	}
	if random < randomControllerShare {
		return others[int(random/randomControllerShare*float64(len(others)))], true
	}
	random = (random - randomControllerShare) / (1 - randomControllerShare)
	return nearest[int(random*float64(len(nearest)))], true
}
