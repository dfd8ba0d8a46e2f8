package router

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// controllerWriteTimeout is the maximum duration of writing one frame to a controller.
const controllerWriteTimeout = time.Second

// wireConnection is a table connection over TCP.
type wireConnection struct {
	connection *wire.Conn
}

// controllerDialer returns a dialer for table connections. A nil dial means plain TCP.
func controllerDialer(dial wire.DialFunc) tableDialer {
	options := wire.Options{WriteTimeout: controllerWriteTimeout, Dial: dial}
	return func(ctx context.Context, address string, hello message.Hello) (tableConnection, error) {
		return dialController(ctx, address, hello, options)
	}
}

func dialController(ctx context.Context, address string, hello message.Hello, options wire.Options) (tableConnection, error) {
	connection, err := wire.Dial(ctx, address, options)
	if err != nil {
		return nil, err
	}
	if err := connection.Send(ctx, &hello); err != nil {
		connection.Close()
		return nil, err
	}
	return &wireConnection{connection: connection}, nil
}

// Send implements tableConnection.
func (c *wireConnection) Send(frame message.RouterFrame) error {
	return c.connection.Send(context.Background(), &frame)
}

// Receive implements tableConnection.
func (c *wireConnection) Receive() (message.ControllerFrame, error) {
	var frame message.ControllerFrame
	err := c.connection.Receive(&frame)
	return frame, err
}

// Close implements tableConnection.
func (c *wireConnection) Close() error {
	c.connection.Close()
	return nil
}
