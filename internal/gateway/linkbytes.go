package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// linkBytesInterval is the time between two lines that tell what passed the link.
	linkBytesInterval = 10 * time.Second
	// busiestInterval is the time of which the busiest one in a line is told.
	busiestInterval = time.Second
)

// streamTraffic counts the bytes of connections that carry requests.
type streamTraffic struct{ meter *link.Meter }

// Opened implements forward.Traffic.
func (t streamTraffic) Opened() { t.meter.Opened() }

// Passed implements forward.Traffic.
func (t streamTraffic) Passed(received, sent int) {
	t.meter.AddStream(link.In, received)
	t.meter.AddStream(link.Out, sent)
}

// streamOf counts all bytes of a connection as one kind.
func streamOf(meter *link.Meter, kind link.Kind) func(received, sent int) {
	return func(received, sent int) {
		meter.Add(link.In, kind, received)
		meter.Add(link.Out, kind, sent)
	}
}

// meteredListener counts what callers' connections carry.
type meteredListener struct {
	net.Listener
	traffic streamTraffic
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.Opened()
	tcp, isTCP := accepted.(*net.TCPConn)
	if !isTCP {
		return accepted, nil
	}
	return &meteredConnection{TCPConn: tcp, traffic: l.traffic}, nil
}

// meteredConnection is a caller's connection whose bytes are counted.
type meteredConnection struct {
	*net.TCPConn
	traffic streamTraffic
	// turn waits for the turn of bytes of the answer that is written; nil for none.
	turn func(bytes int)
	// wait bounds the waits for the caller.
	wait waitBound
}

// The connection is still looked at without being read, see callers.
var _ syscall.Conn = (*meteredConnection)(nil)

// Read implements net.Conn.
func (c *meteredConnection) Read(target []byte) (int, error) {
	count, err := c.TCPConn.Read(target)
	c.traffic.Passed(count, 0)
	return count, err
}

// Write implements net.Conn.
func (c *meteredConnection) Write(data []byte) (int, error) {
	if c.turn != nil {
		return writeInTurns(data, c.turn, c.write)
	}
	return c.write(data)
}

func (c *meteredConnection) write(data []byte) (int, error) {
	count, err := c.TCPConn.Write(data)
	c.traffic.Passed(0, count)
	return count, err
}

// registerLinkBytes makes the counters of what passed the link.
func registerLinkBytes(registry *telemetry.Metrics, meter *link.Meter) {
	for _, direction := range link.Directions() {
		for _, kind := range link.Kinds() {
			registry.CounterFunction("link_bytes_total", "Bytes that passed the machine's network link, by direction and by what they belong to.",
				map[string]string{"direction": direction.String(), "kind": kind.String()},
				func() float64 { return float64(meter.Total(direction, kind)) })
		}
	}
}

// linkReport is what passed the link since the last line.
type linkReport struct {
	meter  *link.Meter
	told   [2]map[link.Kind]int64
	second [2]map[link.Kind]int64
	// busiest is the most that one kind took in a second.
	busiest [2]map[link.Kind]int64
}

func newLinkReport(meter *link.Meter) *linkReport {
	report := &linkReport{meter: meter}
	for _, direction := range link.Directions() {
		report.told[direction] = make(map[link.Kind]int64)
		report.second[direction] = make(map[link.Kind]int64)
		report.busiest[direction] = make(map[link.Kind]int64)
	}
	return report
}

// look takes the counts of a second that has passed.
func (r *linkReport) look() {
	for _, direction := range link.Directions() {
		for _, kind := range link.Kinds() {
			total := r.meter.Total(direction, kind)
			passed := total - r.second[direction][kind]
			r.second[direction][kind] = total
			r.busiest[direction][kind] = max(r.busiest[direction][kind], passed)
		}
	}
}

// take returns what the next line says: all bytes by direction and kind, and those of the
// busiest second, for what passed at all.
func (r *linkReport) take() logrus.Fields {
	fields := logrus.Fields{}
	for _, direction := range link.Directions() {
		bytes, busiest := make(map[string]int64), make(map[string]int64)
		for _, kind := range link.Kinds() {
			total := r.meter.Total(direction, kind)
			if passed := total - r.told[direction][kind]; passed > 0 {
				bytes[kind.String()] = passed
				busiest[kind.String()] = r.busiest[direction][kind]
			}
			r.told[direction][kind] = total
			r.busiest[direction][kind] = 0
		}
		fields[direction.String()] = bytes
		fields["busiest_second_"+direction.String()] = busiest
	}
	return fields
}

// reportLinkBytes writes a line at each interval and when the context ends.
func (g *Gateway) reportLinkBytes(ctx context.Context) {
	report := newLinkReport(g.meter)
	began := time.Now()
	tell := func() {
		telemetry.With(g.log, telemetry.EventLinkBytes).WithField(telemetry.FieldDuration, time.Since(began).Milliseconds()).
			WithFields(report.take()).WithField("places", g.places.takeAsked()).Info("bytes on the own link")
		began = time.Now()
	}
	clock.Every(ctx, busiestInterval, func() {
		report.look()
		if time.Since(began) >= linkBytesInterval {
			tell()
		}
	})
	report.look()
	tell()
}
