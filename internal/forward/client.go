package forward

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Settings bound the connections to one back end.
type Settings struct {
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// IdleTimeout closes connections that were not used for so long. It must be
	// shorter than the back end's own.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections.
	MaxConnections int
	// ControlConnections bounds further ones for cancels and health checks.
	ControlConnections int
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int
	// IDHeader names the header that carries the attempt's identifier, in the
	// request and in its answer; empty means backendapi.HeaderRequestID.
	IDHeader string
	// Traffic is told of what the connections for attempts carry; nil for nobody.
	Traffic Traffic
	// AcceptUnframed takes an answer whose body ends with its connection as whole,
	// unless the connection is reset.
	AcceptUnframed bool
}

// Traffic is told of connections and of their bytes. It must be safe for concurrent use.
type Traffic interface {
	// Opened is called for each connection that was made.
	Opened()
	// Passed is called with the bytes that were read or written.
	Passed(received, sent int)
}

// noTraffic tells nobody.
type noTraffic struct{}

func (noTraffic) Opened()         {}
func (noTraffic) Passed(int, int) {}

// Client sends attempts to one back end.
type Client struct {
	address  string
	settings Settings
	pool     *fasthttp.HostClient
	// control holds the connections for cancels and health checks, so that
	// they need not wait behind requests.
	control *fasthttp.HostClient
}

// NewClient returns a client for the back end at the address, IP:port. No
// connection is made before the first attempt.
func NewClient(address string, settings Settings) *Client {
	if settings.IDHeader == "" {
		settings.IDHeader = backendapi.HeaderRequestID
	}
	if settings.Traffic == nil {
		settings.Traffic = noTraffic{}
	}
	return &Client{
		address:  address,
		settings: settings,
		pool:     newPool(address, settings, settings.MaxConnections),
		control:  newPool(address, settings, settings.ControlConnections),
	}
}

// newPool returns a pool of connections. The pool's own way of sending, Do,
// is used for cancels and health checks alone, and resends nothing either.
func newPool(address string, settings Settings, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  connections,
		MaxIdleConnDuration:       settings.IdleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       settings.MaxAnswerBytes,
		ConnPoolStrategy:          fasthttp.LIFO,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		DialTimeout:               dialer(settings.ConnectTimeout, settings.Traffic),
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func dialer(bound time.Duration, traffic Traffic) fasthttp.DialFuncWithTimeout {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		if timeout <= 0 || timeout > bound {
			timeout = bound
		}
		connection, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		wire.EndOnSilence(connection, wire.SilenceTimeout)
		traffic.Opened()
		return &countedConnection{Conn: connection, traffic: traffic}, nil
	}
}

// SetMaxConnections changes the bound on connections; open ones stay.
func (c *Client) SetMaxConnections(bound int) {
	c.pool.SetMaxConns(bound)
}

// Connections returns the number of open connections for attempts.
func (c *Client) Connections() int {
	return c.pool.ConnsCount()
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.pool.CloseIdleConnections()
	c.control.CloseIdleConnections()
}
