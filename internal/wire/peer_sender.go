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

// PeerSender sends consensus messages to one replica over a connection that it
// opens again whenever it breaks. Messages that find no room or no connection
// are dropped, as the consensus algorithm allows; nothing is sent twice.
type PeerSender struct {
	address string
	hello   message.Hello
	options Options
	queue   chan []consensus.Message
	dropped atomic.Uint64
	cancel  context.CancelFunc
	group   conc.WaitGroup
}

// NewPeerSender starts a sender to an address. Hello is sent first on each
// connection.
func NewPeerSender(address string, hello message.Hello, options Options) *PeerSender {
	ctx, cancel := context.WithCancel(context.Background())
	sender := &PeerSender{
		address: address,
		hello:   hello,
		options: options,
		queue:   make(chan []consensus.Message, peerQueue),
		cancel:  cancel,
	}
	sender.group.Go(func() { sender.run(ctx) })
	return sender
}

// Send queues messages without waiting; they are dropped if the queue is full.
func (s *PeerSender) Send(messages []consensus.Message) {
	select {
	case s.queue <- messages:
	default:
		s.dropped.Add(uint64(len(messages)))
	}
}

// Dropped returns how many messages were not sent.
func (s *PeerSender) Dropped() uint64 { return s.dropped.Load() }

// Stop closes the connection and waits for the sender's goroutine.
func (s *PeerSender) Stop() {
	s.cancel()
	s.group.Wait()
}

func (s *PeerSender) run(ctx context.Context) {
	for ctx.Err() == nil {
		connection, err := s.connect(ctx)
		if err != nil {
			s.dropWaiting()
			pause(ctx, redialPause)
			continue
		}
		s.write(ctx, connection)
		connection.Close()
	}
}

func (s *PeerSender) connect(ctx context.Context) (*Conn, error) {
	connection, err := Dial(ctx, s.address, s.options)
	if err != nil {
		return nil, err
	}
	if err := connection.Send(ctx, &s.hello); err != nil {
		connection.Close()
		return nil, err
	}
	return connection, nil
}

// write sends batches until a write fails, the peer closes, or the context
// ends.
func (s *PeerSender) write(ctx context.Context, connection *Conn) {
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
		case batch := <-s.queue:
			batch = s.joinWaiting(batch)
			frame := message.ConsensusBatch{Cluster: s.hello.Cluster, Messages: batch}
			if err := connection.Send(ctx, &frame); err != nil {
				s.dropped.Add(uint64(len(batch)))
				return
			}
		}
	}
}

// joinWaiting adds batches that wait already, so that one write carries them.
func (s *PeerSender) joinWaiting(batch []consensus.Message) []consensus.Message {
	for len(batch) < batchMessages {
		select {
		case next := <-s.queue:
			batch = append(batch[:len(batch):len(batch)], next...)
		default:
			return batch
		}
	}
	return batch
}

// dropWaiting empties the queue: messages that waited for a connection are out
// of date once it stands.
func (s *PeerSender) dropWaiting() {
	for {
		select {
		case batch := <-s.queue:
			s.dropped.Add(uint64(len(batch)))
		default:
			return
		}
	}
}
