package records

import (
	"context"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// prober detects which other routers this one can reach. It is safe for concurrent
// use.
type prober struct {
	service *Service

	mutex sync.Mutex
	reach *record.Reachability
	// inFlight holds the routers with an unanswered probe.
	inFlight map[state.RouterID]bool
	// lastReported is the last list of unreachable routers that was logged and announced.
	lastReported []state.RouterID
}

func newProber(service *Service) *prober {
	return &prober{service: service, reach: record.NewReachability(), inFlight: make(map[state.RouterID]bool)}
}

// run sends probes until the context ends.
func (p *prober) run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	clock.Every(ctx, record.ProbeInterval, func() {
		for _, router := range p.due() {
			group.Go(func() { p.probe(ctx, router) })
		}
		p.reportChanges()
	})
}

// due returns the routers to probe now.
func (p *prober) due() []state.RouterID {
	targets := probeTargets(p.service.options.View(), p.service.options.Self.ID)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var due []state.RouterID
	for _, router := range p.reach.BeginRound(p.service.options.Clock.Now(), targets) {
		if !p.inFlight[router] {
			p.inFlight[router] = true
			due = append(due, router)
		}
	}
	return due
}

// probeTargets returns the other routers with a role in a partition, primaries first.
func probeTargets(view *table.Table, self state.RouterID) []state.RouterID {
	var primaries, backups []state.RouterID
	for number := range view.Partitions() {
		if placed, found := view.Partition(number); found {
			primaries = append(primaries, placed.Primary)
			backups = append(backups, placed.Backup)
		}
	}
	var targets []state.RouterID
	for _, router := range append(primaries, backups...) {
		if router != "" && router != self && !slices.Contains(targets, router) {
			targets = append(targets, router)
		}
	}
	return targets
}

// probe probes one router over the connection that also carries claims.
func (p *prober) probe(ctx context.Context, id state.RouterID) {
	sent := p.service.options.Clock.Now()
	answered := p.sendProbe(ctx, id)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.inFlight, id)
	if answered {
		p.reach.MarkAnswered(id, sent)
	}
}

func (p *prober) sendProbe(ctx context.Context, id state.RouterID) bool {
	router, found := p.service.options.View().Router(id)
	if !found {
		return false
	}
	client, err := p.service.peers.client(router, purposeClaim)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, p.service.options.Settings.PeerTimeout)
	defer cancel()
	var answer message.RecordAnswer
	return client.Call(ctx, &message.RecordCall{Probe: true}, &answer) == nil
}

// reportChanges logs changes of the unreachable routers and requests a ping to the controllers.
func (p *prober) reportChanges() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	unreachable := p.reach.Unreachable(p.service.options.Clock.Now())
	if slices.Equal(unreachable, p.lastReported) {
		return
	}
	log := p.service.options.Log
	for _, router := range unreachable {
		if !slices.Contains(p.lastReported, router) {
			telemetry.With(log, telemetry.EventPeerUnreachable).WithField("router", router).Warn("another router does not answer probes")
		}
	}
	for _, router := range p.lastReported {
		if !slices.Contains(unreachable, router) {
			telemetry.With(log, telemetry.EventPeerReached).WithField("router", router).Info("another router answers probes again, or is no longer probed")
		}
	}
	p.lastReported = unreachable
	signal(p.service.reportDue)
}

// unreachable returns the routers that do not answer probes.
func (p *prober) unreachable() []state.RouterID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reach.Unreachable(p.service.options.Clock.Now())
}

// isolated reports whether this router probes several others and none answers.
func (p *prober) isolated() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reach.Isolated(p.service.options.Clock.Now())
}
