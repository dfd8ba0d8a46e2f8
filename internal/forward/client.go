package forward

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Settings configure a Client.
type Settings struct {
	// ConnectTimeout is the maximum duration of opening a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed. It must be
	// shorter than the back end's own idle timeout.
	IdleTimeout time.Duration
	// MaxConnections is the maximum number of open connections for attempts.
	MaxConnections int
	// ControlConnections is the maximum number of additional connections for cancels and
	// health checks.
	ControlConnections int
	// MaxAnswerBytes is the maximum size of an answer's body.
	MaxAnswerBytes int
	// AnswerMemory bounds the memory of all answers while they are received; nil means that only MaxAnswerBytes
	// bounds each of them.
	AnswerMemory *AnswerMemory
	// IDHeader names the header that carries the attempt's identifier, in the
	// request and in its answer; empty means backendapi.HeaderRequestID.
	IDHeader string
	// Traffic, if not nil, is notified of opened connections and of transferred bytes.
	Traffic Traffic
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// AcceptUnframed accepts an answer whose body ends with its connection as complete,
	// unless the connection is reset.
	AcceptUnframed bool
}

// DialFunc opens a connection to an address, IP:port, within a timeout.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the default DialFunc.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// Traffic is notified of connections and of their bytes. It must be safe for concurrent use.
type Traffic interface {
	// Opened is called after a connection was opened.
	Opened()
	// Passed is called after each read or write with the number of bytes.
	Passed(received, sent int)
	// Surplus is called with what was done about bytes of a back end that belong to no request in flight.
	Surplus(action Surplus)
	// SetAside is called when a connection is not used because it has carried the identifier of the request before, with
	// whether the connection was kept.
	SetAside(kept bool)
}

// noTraffic ignores all notifications.
type noTraffic struct{}

func (noTraffic) Opened()         {}
func (noTraffic) Passed(int, int) {}
func (noTraffic) Surplus(Surplus) {}
func (noTraffic) SetAside(bool)   {}

// Client sends attempts to one back end.
type Client struct {
	address  string
	settings Settings
	pool     *fasthttp.HostClient
	// control holds separate connections for cancels and health checks, so that they do
	// not wait behind requests.
	control *fasthttp.HostClient
	// spare is the connection that the last probe opened; nil for none.
	spare atomic.Pointer[countingConnection]
}

// NewClient returns a client for the back end at the address, IP:port. The first attempt
// opens the first connection.
func NewClient(address string, settings Settings) *Client {
	if settings.IDHeader == "" {
		settings.IDHeader = backendapi.HeaderRequestID
	}
	if settings.Traffic == nil {
		settings.Traffic = noTraffic{}
	}
	if settings.Dial == nil {
		settings.Dial = DialTCP
	}
	client := &Client{address: address, settings: settings}
	client.pool = newPool(address, settings, settings.MaxConnections)
	client.pool.DialTimeout = client.dialForAttempt
	client.control = newPool(address, controlSettings(settings), settings.ControlConnections)
	return client
}

// controlAnswerBytes bounds the body of an answer to a cancel or a health check.
const controlAnswerBytes = 64 << 10

// controlSettings returns the settings of the connections for cancels and health checks. Their few answers are bounded
// one by one; they take nothing from the memory for the answers of attempts.
func controlSettings(settings Settings) Settings {
	settings.MaxAnswerBytes = min(settings.MaxAnswerBytes, controlAnswerBytes)
	settings.AnswerMemory = nil
	return settings
}

// newPool returns a pool of connections. The pool's own Do method is only used for
// cancels and health checks and never resends.
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
		DialTimeout:               dialer(settings),
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func dialer(settings Settings) fasthttp.DialFuncWithTimeout {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		if timeout <= 0 || timeout > settings.ConnectTimeout {
			timeout = settings.ConnectTimeout
		}
		connection, err := settings.Dial(address, timeout)
		if err != nil {
			return nil, err
		}
		wire.EndOnSilence(connection, wire.SilenceTimeout)
		settings.Traffic.Opened()
		return &countingConnection{
			Conn: connection, traffic: settings.Traffic, memory: settings.AnswerMemory, number: lastConnection.Add(1),
		}, nil
	}
}

// Probe opens a connection, which the next attempt uses.
func (c *Client) Probe() error {
	opened, err := dialer(c.settings)(c.address, c.settings.ConnectTimeout)
	if err != nil {
		return eris.Wrap(err, "probe")
	}
	probed := opened.(*countingConnection)
	if former := c.spare.Swap(probed); former != nil {
		_ = former.Close() // nothing was sent
	}
	time.AfterFunc(spareTimeout, func() {
		if c.spare.CompareAndSwap(probed, nil) {
			_ = probed.Close() // nothing was sent
		}
	})
	return nil
}

// spareTimeout is how long the connection of a probe is kept for the next attempt. It is shorter than the idle
// timeout of back ends, which is not known before their first answer.
const spareTimeout = time.Second

// dialForAttempt takes the connection of the last probe, or opens one.
func (c *Client) dialForAttempt(address string, timeout time.Duration) (net.Conn, error) {
	if probed := c.spare.Swap(nil); probed != nil {
		if probed.idle() {
			return probed, nil
		}
		_ = probed.Close() // the back end has closed it
	}
	return dialer(c.settings)(address, timeout)
}

// SetMaxConnections changes the maximum number of connections for attempts. Open
// connections stay open.
func (c *Client) SetMaxConnections(limit int) {
	c.pool.SetMaxConns(limit)
}

// Connections returns the number of open connections for attempts.
func (c *Client) Connections() int {
	return c.pool.ConnsCount()
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.pool.CloseIdleConnections()
	c.control.CloseIdleConnections()
	if probed := c.spare.Swap(nil); probed != nil {
		_ = probed.Close() // nothing was sent
	}
}
