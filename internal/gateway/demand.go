package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// reportInterval is the time between two reports of the demand for keys.
const reportInterval = 200 * time.Millisecond

// aliveInterval is the longest time between two reports: one that says nothing tells that
// the gateway is alive.
const aliveInterval = 350 * time.Millisecond

// demandCounter counts requests by their keys, for the leading controller, which
// places keys by them. It is safe for concurrent use.
type demandCounter struct {
	subscription *subscription
	options      wire.Options
	name         string
	offer        heartbeat.GatewayOffer
	// stopping is set once the gateway's stop began.
	stopping atomic.Bool
	mutex    sync.Mutex
	services map[string]*serviceCounts
}

type serviceCounts struct {
	keys      map[uint16]uint16
	instances map[directory.InstanceID]*heartbeat.InstanceReport
}

func newDemandCounter(settings config.Gateway, subscription *subscription, meter *link.Meter) *demandCounter {
	return &demandCounter{
		subscription: subscription, services: make(map[string]*serviceCounts), name: settings.Name,
		offer:   offerOf(settings),
		options: wire.Options{DialTimeout: settings.BackEnd.ConnectTimeout, WriteTimeout: settings.PongTimeout, Passed: streamOf(meter, link.Demand)},
	}
}

func (d *demandCounter) of(service string) *serviceCounts {
	counts, found := d.services[service]
	if !found {
		counts = &serviceCounts{keys: make(map[uint16]uint16), instances: make(map[directory.InstanceID]*heartbeat.InstanceReport)}
		d.services[service] = counts
	}
	return counts
}

// arrived counts a request for a key.
func (d *demandCounter) arrived(service string, key directory.Key) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.of(service).keys[uint16(key)]++
}

// answered counts an answer and how long the instance took for it.
func (d *demandCounter) answered(service string, instance directory.InstanceID, took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.of(service)
	report, found := counts.instances[instance]
	if !found {
		report = &heartbeat.InstanceReport{ID: instance}
		counts.instances[instance] = report
	}
	report.Answered++
	report.BusyMs += uint32(took.Milliseconds())
}

// take returns what was counted since the last call.
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

// run reports until the context ends. Reports that find no leader are lost: the
// next ones tell as much.
func (d *demandCounter) run(ctx context.Context) {
	for ctx.Err() == nil {
		if leader := d.subscription.leader.Load(); leader != nil {
			d.reportTo(ctx, *leader)
		}
		clock.Sleep(ctx, reportInterval)
	}
}

// reportTo reports to one controller until it does not lead any more.
func (d *demandCounter) reportTo(ctx context.Context, leader string) {
	connection, err := wire.Dial(ctx, leader, d.options)
	if err != nil {
		return
	}
	defer connection.Close()
	if connection.Send(ctx, &message.Hello{Purpose: message.PurposeDemand, From: d.name}) != nil {
		return
	}
	var told *heartbeat.GatewayOffer
	var sentAt time.Time
	for ctx.Err() == nil && *d.subscription.leader.Load() == leader {
		report := d.take()
		if offer := d.currentOffer(); told == nil || *told != offer {
			told, report.Gateway = &offer, &offer
		}
		if len(report.Services) > 0 || report.Gateway != nil || time.Since(sentAt) > aliveInterval {
			if connection.Send(ctx, &report) != nil {
				return
			}
			sentAt = time.Now()
		}
		clock.Sleep(ctx, reportInterval)
	}
}

// currentOffer is what the gateway offers now: no places once it stops.
func (d *demandCounter) currentOffer() heartbeat.GatewayOffer {
	offer := d.offer
	if d.stopping.Load() {
		offer.Address = ""
	}
	return offer
}

// offerOf returns what a gateway offers to others.
func offerOf(settings config.Gateway) heartbeat.GatewayOffer {
	offer := heartbeat.GatewayOffer{Zone: settings.Zone, Megabits: settings.LinkMegabits}
	if takesPart(settings) {
		offer.Address = settings.PeerAddress
	}
	return offer
}
