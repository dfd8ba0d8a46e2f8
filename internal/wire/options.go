package wire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of Options.
const (
	DefaultMaxFrameBytes = 64 << 20
	DefaultWriteTimeout  = 5 * time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultDialTimeout   = 2 * time.Second
)

const keepAlivePeriod = 15 * time.Second

// DialFunc opens a stream to an address, IP:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options configures connections. Zero fields select the defaults.
type Options struct {
	// MaxFrameBytes bounds the content of a frame, sent or received; content received
	// compressed must also fit once decompressed.
	MaxFrameBytes int
	// WriteTimeout bounds the time to write one frame.
	WriteTimeout time.Duration
	// ReadBufferBytes is the size of the read buffer.
	ReadBufferBytes int
	// IdleTimeout bounds the wait for the next bytes, between frames or within one.
	IdleTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay unacknowledged on a TCP connection;
	// SilenceTimeout, the constant, by default.
	SilenceTimeout time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// Passed, if set, is called with the number of bytes of each read and write. It must be
	// fast and safe for concurrent use.
	Passed func(received, sent int)
}

func (o Options) withDefaults() Options {
	if o.MaxFrameBytes <= 0 {
		o.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if o.ReadBufferBytes <= 0 {
		o.ReadBufferBytes = readBufferBytes
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = SilenceTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Passed == nil {
		o.Passed = func(int, int) {}
	}
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Dial opens a connection to an address, IP:port.
func Dial(ctx context.Context, address string, options Options) (*Conn, error) {
	options = options.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, options.DialTimeout)
	defer cancel()
	stream, err := options.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return NewConn(stream, options), nil
}

// setTCPOptions sets socket options. They affect only latency and the detection of
// dead peers, so errors are ignored; the next read or write reports a broken
// connection.
func setTCPOptions(stream net.Conn, silence time.Duration) {
	connection, isTCP := tcpOf(stream)
	if !isTCP {
		return
	}
	_ = connection.SetNoDelay(true)
	EndOnSilence(connection, silence)
	_ = connection.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAlivePeriod,
		Interval: keepAlivePeriod,
	})
}

// tcpOf returns the TCP connection of a stream, also below TLS.
func tcpOf(stream net.Conn) (*net.TCPConn, bool) {
	if secured, isTLS := stream.(*tls.Conn); isTLS {
		stream = secured.NetConn()
	}
	connection, isTCP := stream.(*net.TCPConn)
	return connection, isTCP
}
