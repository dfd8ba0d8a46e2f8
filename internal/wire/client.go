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

// maxPendingCalls bounds the unanswered calls of one client connection.
const maxPendingCalls = 4096

// unresponsiveTimeout is how long a call must have waited, on a connection that
// received nothing in that time, for the connection to be closed when the call's
// context ends: after a network cut, a new connection is established sooner than
// the old one recovers.
const unresponsiveTimeout = 200 * time.Millisecond

// errTooManyCalls rejects a call before it is sent.
var errTooManyCalls = errors.New("too many calls wait for answers")

// Client makes calls to one address, multiplexed on one connection that is
// opened on demand. It is safe for concurrent use.
type Client struct {
	address string
	hello   message.Hello
	options Options

	mutex   sync.Mutex
	current *clientConnection
	closed  bool
	// dialing is closed when the current connection attempt ends; it is nil
	// while there is none.
	dialing chan struct{}
	readers conc.WaitGroup
}

// NewClient returns a client that connects on the first call and sends hello
// first on each connection.
func NewClient(address string, hello message.Hello, options Options) *Client {
	return &Client{address: address, hello: hello, options: options}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Call sends a request and decodes the answer into answer, a pointer. Its errors
// match ErrNotSent, ErrConnectionLost or ErrNoAnswer.
func (c *Client) Call(ctx context.Context, request, answer any) error {
	connection, err := c.connection(ctx)
	if err != nil {
		return newCallError(ErrNotSent, err)
	}
	return connection.call(ctx, request, answer)
}

// Close closes the connection, fails all pending calls and rejects further ones.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	current := c.current
	c.mutex.Unlock()
	if current != nil {
		current.stream.Close()
	}
	c.readers.Wait()
}

// connection returns the open connection or opens one; concurrent callers wait
// for the same attempt.
func (c *Client) connection(ctx context.Context) (*clientConnection, error) {
	for {
		c.mutex.Lock()
		if c.closed {
			c.mutex.Unlock()
			return nil, ErrClosed
		}
		if c.current != nil && !c.current.stream.closed.Load() {
			current := c.current
			c.mutex.Unlock()
			return current, nil
		}
		dialing := c.dialing
		if dialing == nil {
			c.dialing = make(chan struct{})
			c.mutex.Unlock()
			return c.open(ctx)
		}
		c.mutex.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// open opens a connection and wakes the callers that wait for the attempt.
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
	c.current = opened
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
	return &clientConnection{stream: stream, pending: make(map[uint64]chan msgpack.RawMessage)}, nil
}

// clientConnection matches the answers received on one connection to its calls.
type clientConnection struct {
	stream *Conn

	mutex      sync.Mutex
	lastNumber uint64
	ended      bool
	pending    map[uint64]chan msgpack.RawMessage
}

func (c *clientConnection) call(ctx context.Context, request, answer any) error {
	number, result, err := c.register()
	if err != nil {
		return newCallError(ErrNotSent, err)
	}
	defer c.unregister(number)
	began, received := time.Now(), c.stream.BytesReceived()
	if err := sendCall(ctx, c.stream, number, request); err != nil {
		return err
	}
	select {
	case content, open := <-result:
		if !open {
			return newCallError(ErrConnectionLost, ErrClosed)
		}
		if err := codec.Unmarshal(content, answer); err != nil {
			return newCallError(ErrNoAnswer, eris.Wrapf(err, "decode %T", answer))
		}
		return nil
	case <-ctx.Done():
		if time.Since(began) >= unresponsiveTimeout && c.stream.BytesReceived() == received {
			c.stream.Close()
		}
		return newCallError(ErrNoAnswer, ctx.Err())
	}
}

func (c *clientConnection) register() (uint64, chan msgpack.RawMessage, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return 0, nil, ErrClosed
	}
	if len(c.pending) >= maxPendingCalls {
		return 0, nil, errTooManyCalls
	}
	c.lastNumber++
	result := make(chan msgpack.RawMessage, 1)
	c.pending[c.lastNumber] = result
	return c.lastNumber, result, nil
}

func (c *clientConnection) unregister(number uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, number)
}

// receive delivers answers until the connection ends, and then fails all pending calls.
func (c *clientConnection) receive() {
	for {
		var frame callFrame
		if err := c.stream.Receive(&frame); err != nil {
			c.end()
			return
		}
		c.mutex.Lock()
		result, found := c.pending[frame.Number]
		delete(c.pending, frame.Number)
		c.mutex.Unlock()
		if found {
			result <- frame.Content
		}
	}
}

func (c *clientConnection) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
	for number, result := range c.pending {
		delete(c.pending, number)
		close(result)
	}
}
