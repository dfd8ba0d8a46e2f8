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

// Servers keep a connection for their heartbeats. The leader alone decides on them, but any
// controller takes them and hands them on, many over one connection: 9,999 servers held 17,400
// descriptors and 540 MB at one leader, more than its machine had.

const (
	// forwardedCalls bounds the heartbeats of one controller that wait at the leader: those of
	// some 4,000 servers, whose answers are held back for 0.7 of each 3 s.
	forwardedCalls = 1024
	// leaderShare and followerShare are the shares of its connections from which on a controller
	// names another one to servers. The leader has those of all gateways as well.
	leaderShare   = 0.25
	followerShare = 0.6
	// anyController is the share of servers that are sent to a controller drawn from all, not
	// from those nearest to them, which may be lost together.
	anyController = 0.25
)

// forwarder hands heartbeats on to the leader. It is safe for concurrent use.
type forwarder struct {
	replica *replica
	mutex   sync.Mutex
	client  *wire.Client
}

// leader returns the client of the controller that leads.
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
	earlier := f.client
	f.client = wire.NewClient(leader.Address, message.Hello{Purpose: message.PurposeHeartbeats, Cluster: f.replica.cluster, From: f.replica.settings.Name},
		wire.Options{DialTimeout: f.replica.settings.Heartbeat.AnswerTimeout / 2, IdleTimeout: forwardedIdle, WriteTimeout: f.replica.settings.Table.WriteTimeout})
	if earlier != nil {
		f.replica.background.Go(earlier.Close)
	}
	return f.client, true
}

// forwardedIdle is how long a connection without heartbeats stays open.
const forwardedIdle = 10 * time.Second

// call hands a heartbeat or a word of leaving on, and returns the leader's answer. An error of the
// kind not_leader means that no leader could be asked.
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

// serveHeartbeats answers what another controller hands on.
func serveHeartbeats(ctx context.Context, r *replica, connection *wire.Conn) error {
	connection.SetIdleTimeout(forwardedIdle)
	return wire.ServeCalls(ctx, connection, forwardedCalls, func(ctx context.Context, call *message.HeartbeatCall) *message.HeartbeatAnswer {
		ctx, cancel := context.WithTimeout(ctx, r.settings.Heartbeat.AnswerTimeout)
		defer cancel()
		var grant heartbeat.Grant
		var err error
		if call.Beat != nil {
			grant, err = r.heartbeats.beat(ctx, *call.Beat)
		} else {
			err = r.heartbeats.leave(ctx, call.Leaving)
		}
		if err != nil {
			return &message.HeartbeatAnswer{Kind: fault.KindOf(err), Detail: detailOf(err)}
		}
		return &message.HeartbeatAnswer{Grant: grant}
	})
}

// beat takes a heartbeat here if this replica leads, and hands it on else.
func (a *api) beat(ctx context.Context, beat heartbeat.Beat) (heartbeat.Grant, error) {
	began := time.Now()
	grant, err := a.replica.heartbeats.beat(ctx, beat)
	if fault.Is(err, fault.NotLeader) && a.spreads() {
		grant, err = a.forwarder.call(ctx, message.HeartbeatCall{Beat: &beat})
	}
	a.replica.load.heartbeat(time.Since(began), err)
	return grant, err
}

// spreads reports whether there are more servers than the leader is to have connections of. Fewer
// are sent to the leader, which is one way less.
func (a *api) spreads() bool {
	living := 0
	a.replica.view(func(view *state.State) { living = view.Directory().LiveInstances() })
	return float64(living) > leaderShare*float64(a.settings.MaxConnections)
}

// leaving takes a word of leaving here if this replica leads, and hands it on else.
func (a *api) leaving(ctx context.Context, leaving directory.Incarnation) error {
	err := a.replica.heartbeats.leave(ctx, leaving)
	if fault.Is(err, fault.NotLeader) && a.spreads() {
		_, err = a.forwarder.call(ctx, message.HeartbeatCall{Leaving: leaving})
	}
	return err
}

// heartbeatAddress returns where a server is to send its next heartbeats: here, or to another
// controller once this one has its share of the connections.
func (a *api) heartbeatAddress(server string) string {
	self := a.replica.self
	share := followerShare
	if _, leads := a.replica.leadershipContext(); leads {
		share = leaderShare
	}
	if !a.spreads() || float64(a.app.Server().GetOpenConnectionsCount()) < share*float64(a.settings.MaxConnections) {
		return self.APIAddress
	}
	leader, _ := a.replica.leader()
	members := a.replica.published.Load().status.Membership.Members
	if other, found := otherController(members, self.ID, leader.ID, server, rand.Float64()); found {
		return other.APIAddress
	}
	return self.APIAddress
}

// otherController returns a controller that takes the heartbeats of a server at an address, not
// this one nor the leader, learners too: one of those whose addresses share the most with the server's, or with
// a small chance any. Random is a number in [0, 1).
func otherController(members []consensus.Member, self, leader consensus.ReplicaID, server string, random float64) (consensus.Member, bool) {
	var others, nearest []consensus.Member
	most := 0
	for _, member := range members {
		if member.ID == self || member.ID == leader {
			continue
		}
		others = append(others, member)
		shared := wire.SharedNetwork(member.APIAddress, server)
		if shared > most {
			most, nearest = shared, nil
		}
		if shared == most {
			nearest = append(nearest, member)
		}
	}
	if len(others) == 0 {
		return consensus.Member{}, false
	}
	if random < anyController {
		return others[int(random/anyController*float64(len(others)))], true
	}
	random = (random - anyController) / (1 - anyController)
	return nearest[int(random*float64(len(nearest)))], true
}
