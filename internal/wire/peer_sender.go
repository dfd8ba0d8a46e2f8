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
	// peerQueueBatches bounds the batches queued for one connection.
	peerQueueBatches = 1024
	// maxBatchMessages is the size at which no further batch is joined into a frame.
	maxBatchMessages = 256
	// redialDelay is the wait after a failed attempt to connect.
	redialDelay = 50 * time.Millisecond
)

// peerConnections is the number of connections to one replica.
const peerConnections = 3

// PeerSender sends consensus messages to one replica. Heartbeats and their answers
// rotate over three connections: whatever follows a lost packet on a connection waits
// for the retransmission, which takes as long as a leader may go without a quorum.
// All other messages keep their order on the first connection.
type PeerSender struct {
	connections [peerConnections]*peerConnection
	// turns is used only by the goroutine that calls Send.
	turns Turns
}

// Turns selects the connection to a replica for each message, by rotation for
// heartbeats. The zero value is ready for use.
type Turns struct{ heartbeats int }

// Connection returns the index of the connection that a message is sent on.
func (t *Turns) Connection(sent consensus.Message) int {
	if sent.Kind != consensus.MessageHeartbeat && sent.Kind != consensus.MessageHeartbeatAnswer {
		return 0
	}
	t.heartbeats++
	return t.heartbeats % peerConnections
}

// NewPeerSender starts a sender to an address. It sends hello first on each
// connection.
func NewPeerSender(address string, hello message.Hello, options Options) *PeerSender {
	sender := &PeerSender{}
	for index := range sender.connections {
		sender.connections[index] = newPeerConnection(address, hello, options)
	}
	return sender
}

// Send queues messages without blocking and drops those whose queue is full. It
// must not be called concurrently.
func (s *PeerSender) Send(messages []consensus.Message) {
	var batches [peerConnections][]consensus.Message
	for _, each := range messages {
		index := s.openOrFirst(s.turns.Connection(each))
		batches[index] = append(batches[index], each)
	}
	for index, batch := range batches {
		if len(batch) > 0 {
			s.connections[index].send(batch)
		}
	}
}

// openOrFirst returns the given connection index if that connection is open, else the
// first one: a replica that is starting may be reachable on one connection a second
// before another.
func (s *PeerSender) openOrFirst(connection int) int {
	if s.connections[connection].open.Load() {
		return connection
	}
	return 0
}

// Dropped returns the number of messages that were dropped.
func (s *PeerSender) Dropped() uint64 {
	dropped := uint64(0)
	for _, connection := range s.connections {
		dropped += connection.dropped.Load()
	}
	return dropped
}

// Stop closes the connections and waits for the sender's goroutines.
func (s *PeerSender) Stop() {
	for _, connection := range s.connections {
		connection.cancel()
	}
	for _, connection := range s.connections {
		connection.group.Wait()
	}
}

// peerConnection is one connection to a replica, reopened whenever it breaks.
// Messages that find the queue full or no connection are dropped, as the consensus
// algorithm allows; nothing is sent twice.
type peerConnection struct {
	address string
	hello   message.Hello
	options Options
	queue   chan []consensus.Message
	dropped atomic.Uint64
	// open is true while the connection is established.
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
		queue:   make(chan []consensus.Message, peerQueueBatches),
		cancel:  cancel,
	}
	connection.group.Go(func() { connection.run(ctx) })
	return connection
}

// send queues messages without blocking; it drops them if the queue is full.
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
			c.dropQueued()
			sleep(ctx, redialDelay)
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

// write sends batches until a write fails, the peer closes the connection or the
// context ends.
func (c *peerConnection) write(ctx context.Context, connection *Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The peer sends nothing on this connection, so a read returns only when it closes.
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
			batch = c.appendQueued(batch)
			frame := message.ConsensusBatch{Cluster: c.hello.Cluster, Messages: batch}
			if err := connection.Send(ctx, &frame); err != nil {
				c.dropped.Add(uint64(len(batch)))
				return
			}
		}
	}
}

// appendQueued appends batches that are already queued, so that one write carries them.
func (c *peerConnection) appendQueued(batch []consensus.Message) []consensus.Message {
	for len(batch) < maxBatchMessages {
		select {
		case next := <-c.queue:
			batch = append(batch[:len(batch):len(batch)], next...)
		default:
			return batch
		}
	}
	return batch
}

// dropQueued empties the queue: messages that waited for a connection would be
// out of date once it is established.
func (c *peerConnection) dropQueued() {
	for {
		select {
		case batch := <-c.queue:
			c.dropped.Add(uint64(len(batch)))
		default:
			return
		}
	}
}
