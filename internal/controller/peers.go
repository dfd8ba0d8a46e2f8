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

// peers sends consensus messages to the other replicas. It is used by the
// replica's goroutine alone.
type peers struct {
	settings config.Controller
	cluster  message.ClusterID
	log      *logrus.Entry
	dial     wire.DialFunc
	// member finds the member that bears an identifier.
	member  func(consensus.ReplicaID) (consensus.Member, bool)
	senders map[consensus.ReplicaID]*wire.PeerSender
	// background runs what the replica's goroutine must not wait for.
	background *conc.WaitGroup
}

// newPeers returns the senders of a replica. Told finds members that other replicas
// told of, beyond those of the replica's own log.
func newPeers(r *replica, dial wire.DialFunc, told func(consensus.ReplicaID) (consensus.Member, bool)) *peers {
	return &peers{
		settings: r.settings,
		cluster:  r.cluster,
		log:      r.log,
		dial:     dial,
		member: func(id consensus.ReplicaID) (consensus.Member, bool) {
			if member, found := reachable(r.core.Status(), id); found {
				return member, true
			}
			return told(id)
		},
		senders:    make(map[consensus.ReplicaID]*wire.PeerSender),
		background: &r.background,
	}
}

// send queues messages by receiver. Messages to replicas without an address are
// dropped.
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

// address prefers this replica's own settings to what the member announced, so
// that each replica may reach the others by its own path.
func (p *peers) address(member consensus.Member) string {
	for _, configured := range p.settings.Controllers {
		if configured.Name == member.Name {
			return configured.PeerAddress
		}
	}
	return member.Address
}

// forget stops the senders to replicas that are no longer members.
func (p *peers) forget(status consensus.Status) {
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

// receiveConsensus feeds one peer's messages to the core until the connection
// ends. A full inbox drops messages.
func (r *replica) receiveConsensus(ctx context.Context, connection *wire.Conn) error {
	for ctx.Err() == nil {
		var batch message.ConsensusBatch
		if err := connection.Receive(&batch); err != nil {
			return err
		}
		if batch.Cluster != r.cluster {
			return eris.Errorf("messages of cluster %q came to cluster %q", batch.Cluster, r.cluster)
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
		r.contact.heard(r.clock.Now(), incoming.From)
		select {
		case r.inbox <- incoming:
		default:
			r.metrics.droppedMessages.Inc()
		}
	}
}
