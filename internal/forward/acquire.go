package forward

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// acquire takes a connection from the pool, or opens one, that has not carried the identifier. A back end may answer a
// request a second time, at any later moment: only on such a connection is an answer with this identifier proof of the
// attempt that is about to be made. Connections that have carried it go back to the pool, unless the attempt needs the
// place of one.
func (c *Client) acquire(id string, deadline time.Time) (*countingConnection, *fault.Error) {
	var carriers []*countingConnection
	defer func() {
		for _, carrier := range carriers {
			c.settings.Traffic.SetAside(true)
			carrier.release()
		}
	}()
	for {
		connection, err := take(c.pool, deadline)
		last := len(carriers) - 1
		switch {
		case eris.Is(err, fasthttp.ErrNoFreeConns) && last >= 0:
			c.settings.Traffic.SetAside(false)
			carriers[last].close()
			carriers = carriers[:last]
		case err != nil:
			return nil, acquireFailure(err)
		case connection.requests > 0 && !connection.reusable(c.settings.IdleTimeout):
			connection.close()
		case connection.carried.has(id):
			carriers = append(carriers, connection)
		default:
			return connection, nil
		}
	}
}

// take takes the connection that was used last from a pool, or opens one.
func take(pool *fasthttp.HostClient, deadline time.Time) (*countingConnection, error) {
	pooled, err := pool.AcquireConn(time.Until(deadline), false)
	if err != nil {
		return nil, err
	}
	connection := pooled.Conn().(*countingConnection)
	if connection.release == nil {
		connection.release = func() { pool.ReleaseConn(pooled) }
		connection.close = func() { pool.CloseConn(pooled) }
	}
	return connection, nil
}

func acquireFailure(err error) *fault.Error {
	if eris.Is(err, fasthttp.ErrNoFreeConns) {
		return fault.New(fault.QueueFull, "all connections to the back end are in use")
	}
	if IsLocal(err) {
		return fault.Newf(fault.SocketUnavailable, "connect to the back end: %v", err)
	}
	return fault.Newf(fault.ConnectFailed, "connect to the back end: %v", err)
}
