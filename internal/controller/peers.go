package controller

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/wire"
)

var errNotFormed = eris.New("this replica belongs to no group yet")

// peers sends consensus messages to the other replicas. It is used by the replica's goroutine alone.
type peers struct {
	settings config.Controller
	cluster  message.ClusterID
	log      *logrus.Entry
	dial     wire.DialFunc
	// member finds a member by its identifier.
	member  func(consensus.ReplicaID) (consensus.Member, bool)
	senders map[consensus.ReplicaID]*wire.PeerSender
	// background runs work that must not block the goroutine of the replica.
	background *conc.WaitGroup
}

// newPeers returns the senders of a replica. learnedMember finds members that are not yet in the replica's own
// log but were learned from other replicas.
func newPeers(r *replica, dial wire.DialFunc, learnedMember func(consensus.ReplicaID) (consensus.Member, bool)) *peers {
	return &peers{
		settings: r.settings,
		cluster:  r.cluster,
		log:      r.log,
		dial:     dial,
		member: func(id consensus.ReplicaID) (consensus.Member, bool) {
			if member, found := reachable(r.core.Status(), id); found {
				return member, true
			}
			return learnedMember(id)
		},
		senders:    make(map[consensus.ReplicaID]*wire.PeerSender),
		background: &r.background,
	}
}

// send queues messages for their receivers. Messages to replicas without a known address are dropped.
func (p *peers) send(messages []consensus.Message) {
	batches := make(map[consensus.ReplicaID][]consensus.Message, len(p.senders))
	for _, outgoing := range messages {
		batches[outgoing.To] = append(batches[outgoing.To], outgoing)
	}
	for receiver, batch := range batches {
		if sender := p.sender(receiver); sender != nil {
			sender.Send(batch)
		}
	}
}

func (p *peers) sender(receiver consensus.ReplicaID) *wire.PeerSender {
	if sender, found := p.senders[receiver]; found {
		return sender
	}
	member, found := p.member(receiver)
	if !found {
		return nil
	}
	hello := message.Hello{Purpose: message.PurposeConsensus, Cluster: p.cluster, From: p.settings.Name}
	sender := wire.NewPeerSender(p.address(member), hello, wire.Options{WriteTimeout: p.settings.Table.WriteTimeout, Dial: p.dial})
	p.senders[receiver] = sender
	return sender
}

// address returns the address in the settings of this replica if there is one, otherwise the one that the
// member announced, so that each replica can use its own path to the others.
func (p *peers) address(member consensus.Member) string {
	for _, configured := range p.settings.Controllers {
		if configured.Name == member.Name {
			return configured.PeerAddress
		}
	}
	return member.Address
}

// stopFormer stops the senders to replicas that are no longer members.
func (p *peers) stopFormer(status consensus.Status) {
	for id, sender := range p.senders {
		if _, found := reachable(status, id); !found {
			delete(p.senders, id)
			p.background.Go(sender.Stop)
		}
	}
}

func (p *peers) stop() {
	for _, sender := range p.senders {
		sender.Stop()
	}
}

// receiveConsensus passes the messages of a peer to the loop until the connection ends. Messages are dropped
// while the inbox is full.
func (r *replica) receiveConsensus(ctx context.Context, connection *wire.Conn) error {
	for ctx.Err() == nil {
		var batch message.ConsensusBatch
		if err := connection.Receive(&batch); err != nil {
			return err
		}
		if batch.Cluster != r.cluster {
			return eris.Errorf("received messages of cluster %q in cluster %q", batch.Cluster, r.cluster)
		}
		r.accept(batch.Messages)
	}
	return ctx.Err()
}

func (r *replica) accept(messages []consensus.Message) {
	for _, incoming := range messages {
		if incoming.To != r.self.ID {
			continue
		}
		r.contacts.recordMessage(r.clock.Now(), incoming.From)
		select {
		case r.inbox <- incoming:
		default:
			r.metrics.droppedMessages.Inc()
		}
	}
}
