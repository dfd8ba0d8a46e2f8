package wire

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/message"
)

// maxPendingCalls bounds the calls of one client that wait for answers.
const maxPendingCalls = 4096

// silentCall is how long a call must have waited on a connection that brought
// nothing meanwhile for the connection to be given up: after a cut, a new one
// stands sooner than the old one recovers.
const silentCall = 200 * time.Millisecond

// errTooManyCalls refuses a call before it is sent.
var errTooManyCalls = errors.New("too many calls wait for answers")

// Client makes calls to one address, many at the same time on one connection,
// which is opened when needed. It is safe for concurrent use.
type Client struct {
	address string
	hello   message.Hello
	options Options

	mutex  sync.Mutex
	live   *clientConnection
	closed bool
	// dialing is closed when the present attempt to connect ends.
	dialing chan struct{}
	readers conc.WaitGroup
}

// NewClient returns a client; nothing is sent before the first call. Hello is
// sent first on each connection.
func NewClient(address string, hello message.Hello, options Options) *Client {
	return &Client{address: address, hello: hello, options: options}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Call sends a request and decodes the answer into a pointer. Its errors are of
// the kinds ErrNotSent, ErrConnectionLost and ErrNoAnswer.
func (c *Client) Call(ctx context.Context, request, answer any) error {
	connection, err := c.connection(ctx)
	if err != nil {
		return because(ErrNotSent, err)
	}
	return connection.call(ctx, request, answer)
}

// Close ends the connection and all calls.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	live := c.live
	c.mutex.Unlock()
	if live != nil {
		live.stream.Close()
	}
	c.readers.Wait()
}

// connection returns the open connection, or opens one; concurrent callers wait
// for the same attempt.
func (c *Client) connection(ctx context.Context) (*clientConnection, error) {
	for {
		c.mutex.Lock()
		if c.closed {
			c.mutex.Unlock()
			return nil, ErrClosed
		}
		if c.live != nil && !c.live.stream.closed.Load() {
			live := c.live
			c.mutex.Unlock()
			return live, nil
		}
		waitFor := c.dialing
		if waitFor == nil {
			c.dialing = make(chan struct{})
			c.mutex.Unlock()
			return c.open(ctx)
		}
		c.mutex.Unlock()
		select {
		case <-waitFor:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// open makes a new connection and lets those who wait look again.
func (c *Client) open(ctx context.Context) (*clientConnection, error) {
	opened, err := c.dial(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.dialing)
	c.dialing = nil
	if err != nil {
		return nil, err
	}
	if c.closed {
		opened.stream.Close()
		return nil, ErrClosed
	}
	c.live = opened
	c.readers.Go(opened.receive)
	return opened, nil
}

func (c *Client) dial(ctx context.Context) (*clientConnection, error) {
	stream, err := Dial(ctx, c.address, c.options)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(ctx, &c.hello); err != nil {
		stream.Close()
		return nil, err
	}
	return &clientConnection{stream: stream, waiting: make(map[uint64]chan msgpack.RawMessage)}, nil
}

// clientConnection matches the answers of one connection to its calls.
type clientConnection struct {
	stream *Conn

	mutex   sync.Mutex
	number  uint64
	ended   bool
	waiting map[uint64]chan msgpack.RawMessage
}

func (c *clientConnection) call(ctx context.Context, request, answer any) error {
	number, arrival, err := c.begin()
	if err != nil {
		return because(ErrNotSent, err)
	}
	defer c.forget(number)
	began, received := time.Now(), c.stream.BytesReceived()
	if err := sendCall(ctx, c.stream, number, request); err != nil {
		return err
	}
	select {
	case content, whole := <-arrival:
		if !whole {
			return because(ErrConnectionLost, ErrClosed)
		}
		if err := codec.Unmarshal(content, answer); err != nil {
			return because(ErrNoAnswer, eris.Wrapf(err, "decode %T", answer))
		}
		return nil
	case <-ctx.Done():
		if time.Since(began) >= silentCall && c.stream.BytesReceived() == received {
			c.stream.Close()
		}
		return because(ErrNoAnswer, ctx.Err())
	}
}

func (c *clientConnection) begin() (uint64, chan msgpack.RawMessage, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return 0, nil, ErrClosed
	}
	if len(c.waiting) >= maxPendingCalls {
		return 0, nil, errTooManyCalls
	}
	c.number++
	arrival := make(chan msgpack.RawMessage, 1)
	c.waiting[c.number] = arrival
	return c.number, arrival, nil
}

func (c *clientConnection) forget(number uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, number)
}

// receive hands out answers until the connection ends, and then ends all calls.
func (c *clientConnection) receive() {
	for {
		var frame callFrame
		if err := c.stream.Receive(&frame); err != nil {
			c.end()
			return
		}
		c.mutex.Lock()
		arrival, found := c.waiting[frame.Number]
		delete(c.waiting, frame.Number)
		c.mutex.Unlock()
		if found {
			arrival <- frame.Content
		}
	}
}

func (c *clientConnection) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
	for number, arrival := range c.waiting {
		delete(c.waiting, number)
		close(arrival)
	}
}
