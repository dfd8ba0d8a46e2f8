package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/quota"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// The more gateways there are, the less often each reports the demand for keys, so that the leader receives at
// most about 1,400 reports per second with up to 1,200 gateways.
const (
	minReportInterval        = 200 * time.Millisecond
	maxReportInterval        = 850 * time.Millisecond
	reportIntervalPerGateway = 700 * time.Microsecond
	// keepAliveMargin is how much longer than the report interval a gateway with nothing to report may be
	// silent.
	keepAliveMargin = 150 * time.Millisecond
)

// reportInterval returns the time between two reports of each gateway, by the number of gateways.
func reportInterval(gateways int) time.Duration {
	return min(max(minReportInterval, time.Duration(gateways)*reportIntervalPerGateway), maxReportInterval)
}

const (
	// demandIdleTimeout is the idle timeout of the connection for reports: the leader sends nothing but
	// answers to asks for tokens.
	demandIdleTimeout = time.Hour
	// unansweredAskTimeout is how long the leader may leave an ask unanswered before the connection is
	// closed: it may have failed silently.
	unansweredAskTimeout = time.Second
	// demandReadBuffer suffices for the tokens of several hundred tenants, in bytes.
	demandReadBuffer = 4 << 10
)

// demandCounter counts requests by key and reports them to the leading controller, which places keys
// accordingly. It is safe for concurrent use.
type demandCounter struct {
	subscription *subscription
	tenants      *tokens
	instances    *tokens
	guard        *crashwatch.Guard
	// askNow gets an entry when a token is to be asked for at once.
	askNow  chan struct{}
	options wire.Options
	name    string
	offer   heartbeat.GatewayOffer
	// stopping is set once the gateway begins to stop.
	stopping atomic.Bool
	mutex    sync.Mutex
	services map[string]*serviceCounts
}

type serviceCounts struct {
	keys      map[uint16]uint16
	instances map[directory.InstanceID]*heartbeat.InstanceReport
}

func newDemandCounter(system clock.Clock, settings config.Gateway, subscription *subscription, meter *link.Meter) *demandCounter {
	askNow := make(chan struct{}, 1)
	return &demandCounter{
		subscription: subscription, askNow: askNow,
		tenants:   newTokens(system, quota.TenantPolicy(), askNow),
		instances: newTokens(system, quota.InstancePolicy(), askNow),
		guard:     crashwatch.NewGuard(system, settings.Name, settings.QuarantineCrashes, askNow),
		services:  make(map[string]*serviceCounts), name: settings.Name,
		offer:   offerOf(settings),
		options: wire.Options{DialTimeout: settings.BackEnd.ConnectTimeout, WriteTimeout: settings.PongTimeout, IdleTimeout: demandIdleTimeout, ReadBufferBytes: demandReadBuffer, Passed: countAs(meter, link.Demand)},
	}
}

func (d *demandCounter) countsOf(service string) *serviceCounts {
	counts, found := d.services[service]
	if !found {
		counts = &serviceCounts{keys: make(map[uint16]uint16), instances: make(map[directory.InstanceID]*heartbeat.InstanceReport)}
		d.services[service] = counts
	}
	return counts
}

// countArrival counts a request for a key.
func (d *demandCounter) countArrival(service string, key directory.Key) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.countsOf(service).keys[uint16(key)]++
}

// countAnswer counts an answer and its service time. Limit is the rate limit that the instance advertises, in
// requests per second; zero for none.
func (d *demandCounter) countAnswer(service string, instance directory.InstanceID, took time.Duration, limit float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.countsOf(service)
	report, found := counts.instances[instance]
	if !found {
		report = &heartbeat.InstanceReport{ID: instance}
		counts.instances[instance] = report
	}
	report.Answered++
	report.BusyMs += uint32(took.Milliseconds())
	report.Limit = limit
}

// take returns the counts since the last call and resets them.
func (d *demandCounter) take() message.DemandReport {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var taken message.DemandReport
	for service, counts := range d.services {
		report := heartbeat.Report{Service: service}
		for key, count := range counts.keys {
			report.Keys = append(report.Keys, key)
			report.Counts = append(report.Counts, count)
		}
		for _, instance := range counts.instances {
			report.Instances = append(report.Instances, *instance)
		}
		taken.Services = append(taken.Services, report)
	}
	d.services = make(map[string]*serviceCounts)
	return taken
}

// run reports until the context ends. Reports that reach no leader are lost: later ones have the same
// information.
func (d *demandCounter) run(ctx context.Context) {
	for ctx.Err() == nil {
		if leader := d.subscription.leader.Load(); leader != nil {
			d.reportTo(ctx, *leader)
		}
		clock.Sleep(ctx, minReportInterval)
	}
}

// interval returns the time between two reports.
func (d *demandCounter) interval() time.Duration {
	table := d.subscription.current()
	if table == nil {
		return minReportInterval
	}
	return reportInterval(table.Gateways)
}

// reportTo reports to one controller until it is no longer the leader.
func (d *demandCounter) reportTo(ctx context.Context, leader string) {
	connection, err := wire.Dial(ctx, leader, d.options)
	if err != nil {
		return
	}
	defer d.instances.disconnected()
	defer d.tenants.disconnected()
	defer connection.Close()
	if connection.Send(ctx, &message.Hello{Purpose: message.PurposeDemand, From: d.name}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var reading conc.WaitGroup
	defer reading.Wait()
	defer connection.Close()
	defer cancel()
	reading.Go(func() {
		defer cancel()
		d.receiveGrants(connection)
	})
	d.guard.Connected()
	var sent reportsSent
	for ctx.Err() == nil && *d.subscription.leader.Load() == leader && d.unanswered() < unansweredAskTimeout {
		report := d.nextReport(&sent)
		if report != nil && connection.Send(ctx, report) != nil {
			return
		}
		d.waitForNext(ctx, sent)
	}
}

// unanswered returns how long the oldest unanswered ask has been waiting for the leader.
func (d *demandCounter) unanswered() time.Duration {
	return max(d.tenants.unanswered(), d.instances.unanswered())
}

// reportsSent is what was already sent on a connection.
type reportsSent struct {
	offer *heartbeat.GatewayOffer
	// countedAt is when counts were last taken, and at when anything was last sent.
	countedAt, at time.Time
}

// nextReport returns the report to send now, or nil for none: asks for tokens at any time, counts once per
// interval.
func (d *demandCounter) nextReport(sent *reportsSent) *message.DemandReport {
	var report message.DemandReport
	now := time.Now()
	if now.Sub(sent.countedAt) >= d.interval() {
		sent.countedAt = now
		report = d.take()
		if offer := d.currentOffer(); sent.offer == nil || *sent.offer != offer {
			sent.offer, report.Gateway = &offer, &offer
		}
	}
	report.Quotas = d.tenants.asks()
	report.AskForInstances(d.instances.asks())
	report.Quarantine = d.guard.Report()
	silent := len(report.Services) == 0 && report.Gateway == nil && !report.Asks()
	if silent && now.Sub(sent.at) <= d.interval()+keepAliveMargin {
		return nil
	}
	sent.at = now
	return &report
}

// waitForNext waits for the next interval, or until a token is to be asked for at once.
func (d *demandCounter) waitForNext(ctx context.Context, sent reportsSent) {
	timer := time.NewTimer(d.interval() - time.Since(sent.countedAt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.askNow:
	}
}

// receiveGrants applies the leader's answers until the connection ends.
func (d *demandCounter) receiveGrants(connection *wire.Conn) {
	for {
		var answer message.QuotaAnswer
		if connection.Receive(&answer) != nil {
			return
		}
		if len(answer.Grants) > 0 {
			d.tenants.applyGrants(answer.Grants)
		}
		if len(answer.Instances) > 0 {
			d.instances.applyGrants(answer.Instances)
		}
		d.guard.Acknowledge(answer.Heard)
	}
}

// currentOffer returns what the gateway offers now: it keeps no places once it is stopping.
func (d *demandCounter) currentOffer() heartbeat.GatewayOffer {
	offer := d.offer
	if d.stopping.Load() {
		offer.Address = ""
	}
	return offer
}

// offerOf returns what a gateway offers to other gateways.
func offerOf(settings config.Gateway) heartbeat.GatewayOffer {
	offer := heartbeat.GatewayOffer{Zone: settings.Zone, Megabits: settings.LinkMegabits}
	if usesPlaces(settings) {
		offer.Address = settings.PeerAddress
	}
	offer.Relay = settings.PeerAddress
	return offer
}
