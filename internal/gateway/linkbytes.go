package gateway

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// linkBytesInterval is the time between two log lines about the bytes on the link.
	linkBytesInterval = 10 * time.Second
	// busiestInterval is the length of the intervals of which a log line reports the busiest.
	busiestInterval = time.Second
)

// connectionTraffic counts the bytes of connections that carry requests.
type connectionTraffic struct{ meter *link.Meter }

// Opened implements forward.Traffic.
func (t connectionTraffic) Opened() { t.meter.Opened() }

// Passed implements forward.Traffic.
func (t connectionTraffic) Passed(received, sent int) {
	t.meter.AddStream(link.In, received)
	t.meter.AddStream(link.Out, sent)
}

// upstreamTraffic counts the bytes of connections to instances and relays, and bytes that belong to no request.
type upstreamTraffic struct {
	connectionTraffic
	metrics *metrics
}

// Surplus implements forward.Traffic.
func (t upstreamTraffic) Surplus(action forward.Surplus) {
	t.metrics.surplus.WithLabelValues(string(action)).Inc()
}

// SetAside implements forward.Traffic.
func (t upstreamTraffic) SetAside(kept bool) {
	t.metrics.setAside.WithLabelValues(strconv.FormatBool(kept)).Inc()
}

// countAs returns a function that counts all bytes of a connection as one kind.
func countAs(meter *link.Meter, kind link.Kind) func(received, sent int) {
	return func(received, sent int) {
		meter.Add(link.In, kind, received)
		meter.Add(link.Out, kind, sent)
	}
}

// meteredListener counts the bytes of callers' connections.
type meteredListener struct {
	net.Listener
	gateway *Gateway
}

func (g *Gateway) meteredListener(listener net.Listener) meteredListener {
	return meteredListener{Listener: listener, gateway: g}
}

// Accept implements net.Listener. It closes connections that the budget refuses.
func (l meteredListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.gateway.meter.Opened()
		if admitted := intake.Admit(accepted, l.gateway.clientBudget, l.gateway.clock); admitted != nil {
			return l.gateway.newCallerConnection(admitted), nil
		}
		_ = accepted.Close() // nothing was read
	}
}

// countedReader counts the bytes that are read from a connection.
type countedReader struct {
	connection *intake.Connection
	traffic    connectionTraffic
}

// Read implements io.Reader.
func (r countedReader) Read(target []byte) (int, error) {
	count, err := r.connection.Read(target)
	r.traffic.Passed(count, 0)
	return count, err
}

// meteredConnection is a caller's connection whose bytes are counted, as one server has it.
type meteredConnection struct {
	*intake.Connection
	traffic connectionTraffic
	heads   *intake.HeadReader
	// outgrown is called when the server gets no more of a head that does not fit into its buffer, and move when it closes
	// the connection after that.
	outgrown func()
	move     func(*meteredConnection)
	moving   sync.Once
	// large is true if the connection was moved, and running while it carries a request then.
	large, running bool
	// turn waits for the turn to send bytes of the answer; nil for none.
	turn func(bytes int)
	// readDeadline overrides the deadlines of the waits for the caller by the timeouts that are in force.
	readDeadline readDeadlineOverride
	timeouts     func() connectionTimeouts
}

// The callers type peeks at the connection through syscall.Conn.
var _ syscall.Conn = (*meteredConnection)(nil)

// newCallerConnection returns a connection that was accepted.
func (g *Gateway) newCallerConnection(admitted *intake.Connection) *meteredConnection {
	source := countedReader{admitted, connectionTraffic{g.meter}}
	return g.newMeteredConnection(admitted, intake.NewHeadReader(source, callerBufferBytes, g.maxHeaderBytes, admitted.Load(), g.clock))
}

func (g *Gateway) newMeteredConnection(admitted *intake.Connection, heads *intake.HeadReader) *meteredConnection {
	return &meteredConnection{
		Connection: admitted, traffic: connectionTraffic{g.meter}, heads: heads, timeouts: g.connectionTimeouts,
		outgrown: g.largeHeads.outgrown, move: g.moveCaller,
	}
}

func (c *meteredConnection) headReader() *intake.HeadReader { return c.heads }

// Read implements net.Conn.
func (c *meteredConnection) Read(target []byte) (int, error) {
	count, err := c.heads.Read(target)
	if errors.Is(err, intake.ErrOutgrown) && !c.running {
		c.outgrown()
	}
	return count, err
}

// Close implements net.Conn. A connection whose head has outgrown the server's buffer goes to another server instead.
func (c *meteredConnection) Close() error {
	if c.heads != nil && c.heads.Outgrown() {
		c.moving.Do(func() { c.move(c) })
		return nil
	}
	return c.Connection.Close()
}

// Write implements net.Conn.
func (c *meteredConnection) Write(data []byte) (int, error) {
	if c.turn != nil {
		return writeInTurns(data, holdingTurn(c.Connection, c.turn), c.write)
	}
	return c.write(data)
}

func (c *meteredConnection) write(data []byte) (int, error) {
	count, err := c.Connection.Write(data)
	c.traffic.Passed(0, count)
	return count, err
}

// registerLinkBytes registers the counters of bytes on the link.
func registerLinkBytes(registry *telemetry.Metrics, meter *link.Meter) {
	for _, direction := range link.Directions() {
		for _, kind := range link.Kinds() {
			registry.CounterFunction("link_bytes_total", "Bytes that passed the machine's network link, by direction and by what they belong to.",
				map[string]string{"direction": direction.String(), "kind": kind.String()},
				func() float64 { return float64(meter.Total(direction, kind)) })
		}
	}
}

// linkReport collects the bytes on the link for the log.
type linkReport struct {
	meter   *link.Meter
	logged  [2]map[link.Kind]int64
	sampled [2]map[link.Kind]int64
	// busiest is the largest number of bytes of each kind within one second.
	busiest [2]map[link.Kind]int64
}

func newLinkReport(meter *link.Meter) *linkReport {
	report := &linkReport{meter: meter}
	for _, direction := range link.Directions() {
		report.logged[direction] = make(map[link.Kind]int64)
		report.sampled[direction] = make(map[link.Kind]int64)
		report.busiest[direction] = make(map[link.Kind]int64)
	}
	return report
}

// sample records the counts of the past second.
func (r *linkReport) sample() {
	for _, direction := range link.Directions() {
		for _, kind := range link.Kinds() {
			total := r.meter.Total(direction, kind)
			passed := total - r.sampled[direction][kind]
			r.sampled[direction][kind] = total
			r.busiest[direction][kind] = max(r.busiest[direction][kind], passed)
		}
	}
}

// take returns the fields of the next log line: the bytes by direction and kind, in total and in the busiest
// second, for kinds that had any.
func (r *linkReport) take() logrus.Fields {
	fields := logrus.Fields{}
	for _, direction := range link.Directions() {
		bytes, busiest := make(map[string]int64), make(map[string]int64)
		for _, kind := range link.Kinds() {
			total := r.meter.Total(direction, kind)
			if passed := total - r.logged[direction][kind]; passed > 0 {
				bytes[kind.String()] = passed
				busiest[kind.String()] = r.busiest[direction][kind]
			}
			r.logged[direction][kind] = total
			r.busiest[direction][kind] = 0
		}
		fields[direction.String()] = bytes
		fields["busiest_second_"+direction.String()] = busiest
	}
	return fields
}

// reportLinkBytes logs the bytes on the link at each interval and when the context ends.
func (g *Gateway) reportLinkBytes(ctx context.Context) {
	report := newLinkReport(g.meter)
	began := time.Now()
	logBytes := func() {
		telemetry.With(g.log, telemetry.EventLinkBytes).WithField(telemetry.FieldDuration, time.Since(began).Milliseconds()).
			WithFields(report.take()).WithField("places", g.places.takeCounts()).Info("bytes on the network link")
		began = time.Now()
	}
	clock.Every(ctx, busiestInterval, func() {
		report.sample()
		if time.Since(began) >= linkBytesInterval {
			logBytes()
		}
	})
	report.sample()
	logBytes()
}
