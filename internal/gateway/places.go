package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/room"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	// firstAnswerTimeout is the time limit for the first answer of a keeper: many round trips within a
	// region, plus the queues of two saturated links.
	firstAnswerTimeout = 50 * time.Millisecond
	// queuedTimeout is the time limit between two answers of a keeper while a request waits there: the keeper
	// repeats that the request is queued.
	queuedTimeout = 2*room.RepeatInterval + firstAnswerTimeout
	// crossZonePenalty is added to the expected wait of a pool in another zone, since requests and answers
	// between zones cost.
	crossZonePenalty = 60 * time.Millisecond
	// maxQueueWaits bounds the number of queues whose last reported wait is remembered.
	maxQueueWaits = 4096
	// maxPoolsPerRequest bounds the pools that are asked in turn for one request.
	maxPoolsPerRequest = 2
)

// placeClient requests places at instances from their keepers. It is safe for concurrent use.
type placeClient struct {
	clock    clock.Clock
	settings config.Gateway
	log      *logrus.Entry
	keeper   *placeKeeper
	meter    *link.Meter
	mutex    sync.Mutex
	// context ends the connections; nil before run.
	context context.Context
	group   conc.WaitGroup
	links   map[string]*placeLink
	// pools has the pools of each service without keys, from the newest table.
	pools   map[string][]room.Pool
	keepers []directory.Keeper
	// queueWaits has the last wait that a keeper reported for each queue.
	queueWaits map[uint32]queueWait
	// counts counts asks by result since the last log line about them.
	counts askCounts
}

// askCounts counts asks by result.
type askCounts struct {
	// Unknown counts all asks without a verdict. Among them are Unreached, for which no keeper could be asked,
	// and Unanswered, to which the keeper did not answer in time.
	Granted    int64 `json:"granted"`
	Rejected   int64 `json:"rejected"`
	Unreached  int64 `json:"unreached"`
	Unanswered int64 `json:"unanswered"`
	Unknown    int64 `json:"unknown"`
	// WaitMs is the sum of the times until the verdict, over the granted asks.
	WaitMs int64 `json:"granted_wait_ms"`
}

// queueWait is the wait that a keeper reported, and when.
type queueWait struct {
	at   time.Duration
	wait time.Duration
}

// remaining returns the part of the wait that remains.
func (w queueWait) remaining(now time.Duration) time.Duration { return max(0, w.wait-(now-w.at)) }

func newPlaceClient(system clock.Clock, settings config.Gateway, log *logrus.Entry, keeper *placeKeeper, meter *link.Meter) *placeClient {
	return &placeClient{
		clock: system, settings: settings, log: log, keeper: keeper, meter: meter,
		links: make(map[string]*placeLink), pools: make(map[string][]room.Pool), queueWaits: make(map[uint32]queueWait),
	}
}

// run keeps the connections to keepers and grants places to other gateways until the context ends.
func (p *placeClient) run(ctx context.Context) {
	p.mutex.Lock()
	p.context = ctx
	p.mutex.Unlock()
	p.keeper.run(ctx)
	p.group.Wait()
}

// update applies a new table.
func (p *placeClient) update(table *routing.Table) {
	if !usesPlaces(p.settings) {
		return
	}
	pools := make(map[string][]room.Pool)
	for _, name := range table.Services() {
		if service, _ := table.Service(name); !service.Config.Keyed {
			pools[name] = room.Pools(name, service.All(), table.Keepers)
		}
	}
	p.keeper.update(table, pools)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pools, p.keepers = pools, table.Keepers
	for _, keeper := range table.Keepers {
		p.linkTo(keeper.Address)
	}
	p.closeFormerKeepers()
}

// closeFormerKeepers closes the connections to gateways that are no longer keepers. The mutex must be held.
func (p *placeClient) closeFormerKeepers() {
	for address, keeperLink := range p.links {
		named := slices.ContainsFunc(p.keepers, func(keeper directory.Keeper) bool { return keeper.Address == address })
		if !named && keeperLink.local == nil {
			keeperLink.close()
			delete(p.links, address)
		}
	}
}

// linkTo returns the link to a keeper, connected or not. The mutex must be held.
func (p *placeClient) linkTo(address string) *placeLink {
	keeperLink, found := p.links[address]
	if !found {
		keeperLink = &placeLink{
			address: address, name: p.settings.Name, log: p.log, pending: make(map[uint32]chan message.PlaceAnswer),
			options: wire.Options{
				DialTimeout: p.settings.BackEnd.ConnectTimeout, WriteTimeout: p.settings.PongTimeout,
				ReadBufferBytes: placeReadBuffer, Passed: countAs(p.meter, link.Places),
			},
		}
		if address == p.settings.PeerAddress {
			asker := p.keeper.addAsker(address, keeperLink.deliver)
			keeperLink.local = func(request message.PlaceRequest) { p.keeper.handle(asker, request) }
		}
		p.links[address] = keeperLink
	}
	if p.context != nil {
		keeperLink.connect(p.context, &p.group)
	}
	return keeperLink
}

// heldPlace is a granted place at an instance, to be returned with end.
type heldPlace struct {
	link   *placeLink
	number uint32
}

func (h *heldPlace) end(outcome room.Outcome, took time.Duration) {
	if h != nil {
		h.link.end(message.PlaceEnd{Number: h.number, Outcome: uint8(outcome), TookMs: uint32(took.Milliseconds())})
	}
}

// placeAnswer is the result of an ask; its verdict is Unknown if no keeper gave one.
type placeAnswer struct {
	verdict room.Verdict
	server  directory.Reference
	place   *heldPlace
	// wait is the expected time until there is capacity.
	wait time.Duration
}

// askForHolder requests a place at the holder of the request's key.
func (p *placeClient) askForHolder(current *request, holder directory.Instance) placeAnswer {
	p.mutex.Lock()
	address := room.KeeperOf(holder, p.keepers)
	if address == "" {
		p.mutex.Unlock()
		return placeAnswer{verdict: room.Unknown}
	}
	keeperLink := p.linkTo(address)
	p.mutex.Unlock()
	return p.ask(current, keeperLink, holderQueue(holder.ID))
}

// askForService requests a place at any instance of a service without keys.
func (p *placeClient) askForService(current *request) placeAnswer {
	answer := placeAnswer{verdict: room.Unknown}
	asked := make(map[uint32]bool)
	for range maxPoolsPerRequest {
		keeperLink, queue, found := p.bestPool(current.service, asked)
		if !found {
			break
		}
		asked[queue] = true
		answer = p.ask(current, keeperLink, queue)
		if answer.verdict == room.Granted {
			break
		}
	}
	return answer
}

// bestPool returns the pool with the shortest expected wait, including crossZonePenalty. It starts at a
// random pool, so that equal waits do not all lead to the same one.
func (p *placeClient) bestPool(service string, asked map[uint32]bool) (*placeLink, uint32, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var best room.Pool
	bestWait := time.Duration(-1)
	pools := p.pools[service]
	start := rand.IntN(max(len(pools), 1))
	for offset := range pools {
		pool := pools[(start+offset)%len(pools)]
		if asked[poolQueue(pool)] {
			continue
		}
		wait := p.queueWaits[poolQueue(pool)].remaining(p.clock.Now())
		if pool.Zone != p.settings.Zone {
			wait += crossZonePenalty
		}
		if bestWait < 0 || wait < bestWait {
			best, bestWait = pool, wait
		}
	}
	if bestWait < 0 {
		return nil, 0, false
	}
	return p.linkTo(best.Keeper), poolQueue(best), true
}

// takeCounts returns the counts since the last call and resets them.
func (p *placeClient) takeCounts() askCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	taken := p.counts
	p.counts = askCounts{}
	return taken
}

// updateCounts updates the counts of asks.
func (p *placeClient) updateCounts(add func(*askCounts)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	add(&p.counts)
}

// ask asks one keeper, waits for its verdict and counts the result.
func (p *placeClient) ask(current *request, keeperLink *placeLink, queue uint32) placeAnswer {
	began := time.Now()
	answer := p.askKeeper(current, keeperLink, queue)
	p.updateCounts(func(counts *askCounts) {
		switch answer.verdict {
		case room.Granted:
			counts.Granted++
			counts.WaitMs += time.Since(began).Milliseconds()
		case room.Rejected:
			counts.Rejected++
		default:
			counts.Unknown++
		}
	})
	return answer
}

// askKeeper asks one keeper and waits for its verdict.
func (p *placeClient) askKeeper(current *request, keeperLink *placeLink, queue uint32) placeAnswer {
	number, answers, reached := keeperLink.ask(message.PlaceAsk{
		Queue: queue, Urgency: uint8(urgencyScale * current.urgency),
		TargetMs: uint32(max(0, current.arrived+current.target()-p.clock.Now()).Milliseconds()), DeadlineMs: uint32(max(0, current.remaining()).Milliseconds()),
	}, current.target())
	if !reached {
		p.updateCounts(func(counts *askCounts) { counts.Unreached++ })
		return placeAnswer{verdict: room.Unknown}
	}
	defer keeperLink.forget(number)
	began, first := time.Now(), true
	held := &heldPlace{link: keeperLink, number: number}
	timer := time.NewTimer(firstAnswerTimeout)
	defer timer.Stop()
	poll := time.NewTicker(choosePollInterval)
	defer poll.Stop()
	for {
		select {
		case received, open := <-answers:
			if first {
				first = false
				keeperLink.recordAnswerTime(time.Since(began))
			}
			if !open {
				return placeAnswer{verdict: room.Unknown}
			}
			wait := milliseconds(received.WaitMs)
			p.recordWait(queue, wait)
			if room.Verdict(received.Verdict) != room.Queued {
				return placeAnswer{verdict: room.Verdict(received.Verdict), server: directory.Reference(received.Server), place: held, wait: wait}
			}
			timer.Reset(queuedTimeout)
		case <-poll.C:
			if current.interrupt.Fired() {
				held.end(room.Unused, 0)
				return placeAnswer{verdict: room.Rejected}
			}
		case <-timer.C:
			held.end(room.Unused, 0)
			if first {
				keeperLink.recordAnswerTime(firstAnswerTimeout)
			}
			keeperLink.markSuspect()
			p.updateCounts(func(counts *askCounts) { counts.Unanswered++ })
			return placeAnswer{verdict: room.Unknown}
		}
	}
}

// recordWait records the wait that a keeper reported for a queue.
func (p *placeClient) recordWait(queue uint32, wait time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.queueWaits) >= maxQueueWaits {
		// Most entries belong to instances that are gone.
		clear(p.queueWaits)
	}
	p.queueWaits[queue] = queueWait{at: p.clock.Now(), wait: wait}
}
