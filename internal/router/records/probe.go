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

// prober finds out which other routers this one reaches. It is safe for
// concurrent use.
type prober struct {
	service *Service

	mutex sync.Mutex
	reach *record.Reachability
	// asked holds the routers whose answer is awaited.
	asked map[state.RouterID]bool
	// told is what the controllers were told last.
	told []state.RouterID
}

func newProber(service *Service) *prober {
	return &prober{service: service, reach: record.NewReachability(), asked: make(map[state.RouterID]bool)}
}

// run probes until the context ends.
func (p *prober) run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	clock.Every(ctx, record.ProbeInterval, func() {
		for _, router := range p.due() {
			group.Go(func() { p.probe(ctx, router) })
		}
		p.tell()
	})
}

// due returns the routers that are to be probed now.
func (p *prober) due() []state.RouterID {
	wanted := probed(p.service.options.View(), p.service.options.Self.ID)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var due []state.RouterID
	for _, router := range p.reach.BeginRound(p.service.options.Clock.Now(), wanted) {
		if !p.asked[router] {
			p.asked[router] = true
			due = append(due, router)
		}
	}
	return due
}

// probed returns the other routers with a role in a partition, primaries first.
func probed(view *table.Table, self state.RouterID) []state.RouterID {
	var primaries, backups []state.RouterID
	for number := range view.Partitions() {
		if placed, found := view.Partition(number); found {
			primaries = append(primaries, placed.Primary)
			backups = append(backups, placed.Backup)
		}
	}
	var wanted []state.RouterID
	for _, router := range append(primaries, backups...) {
		if router != "" && router != self && !slices.Contains(wanted, router) {
			wanted = append(wanted, router)
		}
	}
	return wanted
}

// probe asks one router by the connection that claims take.
func (p *prober) probe(ctx context.Context, id state.RouterID) {
	sent := p.service.options.Clock.Now()
	answered := p.ask(ctx, id)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.asked, id)
	if answered {
		p.reach.MarkAnswered(id, sent)
	}
}

func (p *prober) ask(ctx context.Context, id state.RouterID) bool {
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

// tell lets the controllers know soon, and people, when what is reached changed.
func (p *prober) tell() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	silent := p.reach.Unreachable(p.service.options.Clock.Now())
	if slices.Equal(silent, p.told) {
		return
	}
	log := p.service.options.Log
	for _, router := range silent {
		if !slices.Contains(p.told, router) {
			telemetry.With(log, telemetry.EventPeerUnreachable).WithField("router", router).Warn("another router does not answer")
		}
	}
	for _, router := range p.told {
		if !slices.Contains(silent, router) {
			telemetry.With(log, telemetry.EventPeerReached).WithField("router", router).Info("another router is probed no more, or answers again")
		}
	}
	p.told = silent
	signal(p.service.reportDue)
}

// unreachable returns the routers that do not answer.
func (p *prober) unreachable() []state.RouterID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reach.Unreachable(p.service.options.Clock.Now())
}

// alone reports whether no router answers, of several.
func (p *prober) alone() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reach.Isolated(p.service.options.Clock.Now())
}
