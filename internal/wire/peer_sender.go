package wire

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/message"
)

const (
	// peerQueue bounds the batches that wait for one peer.
	peerQueue = 1024
	// batchMessages bounds the messages that one frame joins.
	batchMessages = 256
	// redialPause is the least time between two attempts to connect.
	redialPause = 50 * time.Millisecond
)

// peerConnections is the number of connections to one replica.
const peerConnections = 3

// PeerSender sends consensus messages to one replica. Heartbeats and their answers
// take turns on three connections: what follows a lost packet on a connection waits
// until the packet has been sent again, which takes as long as a leader may go
// without a quorum. All else keeps its order on the first connection.
type PeerSender struct {
	connections [peerConnections]*peerConnection
	// turns is used by the caller's goroutine alone.
	turns Turns
}

// Turns chooses the connection to a replica for each message. The zero value is
// ready for use.
type Turns struct{ taken int }

// Connection returns the number of the connection that a message goes by.
func (t *Turns) Connection(sent consensus.Message) int {
	if sent.Kind != consensus.MessageHeartbeat && sent.Kind != consensus.MessageHeartbeatAnswer {
		return 0
	}
	t.taken++
	return t.taken % peerConnections
}

// NewPeerSender starts a sender to an address. Hello is sent first on each
// connection.
func NewPeerSender(address string, hello message.Hello, options Options) *PeerSender {
	sender := &PeerSender{}
	for index := range sender.connections {
		sender.connections[index] = newPeerConnection(address, hello, options)
	}
	return sender
}

// Send queues messages without waiting; they are dropped if a queue is full. One
// goroutine at a time may call it.
func (s *PeerSender) Send(messages []consensus.Message) {
	var batches [peerConnections][]consensus.Message
	for _, each := range messages {
		index := s.usable(s.turns.Connection(each))
		batches[index] = append(batches[index], each)
	}
	for index, batch := range batches {
		if len(batch) > 0 {
			s.connections[index].send(batch)
		}
	}
}

// usable returns the connection itself if it stands, else the first one: a machine that
// starts may be reached by one connection a second before another.
func (s *PeerSender) usable(connection int) int {
	if s.connections[connection].open.Load() {
		return connection
	}
	return 0
}

// Dropped returns how many messages were not sent.
func (s *PeerSender) Dropped() uint64 {
	dropped := uint64(0)
	for _, each := range s.connections {
		dropped += each.dropped.Load()
	}
	return dropped
}

// Stop closes the connections and waits for the sender's goroutines.
func (s *PeerSender) Stop() {
	for _, each := range s.connections {
		each.cancel()
	}
	for _, each := range s.connections {
		each.group.Wait()
	}
}

// peerConnection is one connection to a replica, opened again whenever it breaks.
// Messages that find no room or no connection are dropped, as the consensus
// algorithm allows; nothing is sent twice.
type peerConnection struct {
	address string
	hello   message.Hello
	options Options
	queue   chan []consensus.Message
	dropped atomic.Uint64
	// open is true while the connection stands.
	open   atomic.Bool
	cancel context.CancelFunc
	group  conc.WaitGroup
}

func newPeerConnection(address string, hello message.Hello, options Options) *peerConnection {
	ctx, cancel := context.WithCancel(context.Background())
	connection := &peerConnection{
		address: address,
		hello:   hello,
		options: options,
		queue:   make(chan []consensus.Message, peerQueue),
		cancel:  cancel,
	}
	connection.group.Go(func() { connection.run(ctx) })
	return connection
}

// send queues messages without waiting.
func (c *peerConnection) send(messages []consensus.Message) {
	select {
	case c.queue <- messages:
	default:
		c.dropped.Add(uint64(len(messages)))
	}
}

func (c *peerConnection) run(ctx context.Context) {
	for ctx.Err() == nil {
		connection, err := c.connect(ctx)
		if err != nil {
			c.dropWaiting()
			pause(ctx, redialPause)
			continue
		}
		c.open.Store(true)
		c.write(ctx, connection)
		c.open.Store(false)
		connection.Close()
	}
}

func (c *peerConnection) connect(ctx context.Context) (*Conn, error) {
	connection, err := Dial(ctx, c.address, c.options)
	if err != nil {
		return nil, err
	}
	if err := connection.Send(ctx, &c.hello); err != nil {
		connection.Close()
		return nil, err
	}
	return connection, nil
}

// write sends batches until a write fails, the peer closes, or the context
// ends.
func (c *peerConnection) write(ctx context.Context, connection *Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The peer sends nothing on this connection; a read ends when it closes.
	var watching conc.WaitGroup
	defer watching.Wait()
	defer connection.Close()
	watching.Go(func() {
		defer cancel()
		connection.awaitClose()
	})
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-c.queue:
			batch = c.joinWaiting(batch)
			frame := message.ConsensusBatch{Cluster: c.hello.Cluster, Messages: batch}
			if err := connection.Send(ctx, &frame); err != nil {
				c.dropped.Add(uint64(len(batch)))
				return
			}
		}
	}
}

// joinWaiting adds batches that wait already, so that one write carries them.
func (c *peerConnection) joinWaiting(batch []consensus.Message) []consensus.Message {
	for len(batch) < batchMessages {
		select {
		case next := <-c.queue:
			batch = append(batch[:len(batch):len(batch)], next...)
		default:
			return batch
		}
	}
	return batch
}

// dropWaiting empties the queue: messages that waited for a connection are out
// of date once it stands.
func (c *peerConnection) dropWaiting() {
	for {
		select {
		case batch := <-c.queue:
			c.dropped.Add(uint64(len(batch)))
		default:
			return
		}
	}
}
