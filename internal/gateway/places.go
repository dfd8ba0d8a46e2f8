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
	// firstAnswer is the time limit for the first answer of a keeper: many round trips within a region, plus
	// the queues of two saturated links.
	firstAnswer = 50 * time.Millisecond
	// queuedSilence is the time limit between two answers of a keeper while a request waits there: the keeper
	// repeats that the request is queued.
	queuedSilence = 2*room.RepeatInterval + firstAnswer
	// otherZone is by how much shorter the expected wait in another zone must be for its pool to be preferred
	// over one in the gateway's own zone, since traffic between zones costs.
	otherZone = 60 * time.Millisecond
	// mostWaits bounds the number of queues whose last reported wait is remembered.
	mostWaits = 4096
	// poolsAsked bounds the pools that are asked in turn for one request.
	poolsAsked = 2
)

// places requests places at instances from their keepers. It is safe for concurrent use.
type places struct {
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
	// waits has the last wait that a keeper reported for each queue.
	waits map[uint32]toldWait
	// asked counts asks by result since the last log line about them.
	asked askCounts
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

// toldWait is the wait that a keeper reported, and when.
type toldWait struct {
	at   time.Duration
	wait time.Duration
}

// left returns the part of the wait that remains.
func (t toldWait) left(now time.Duration) time.Duration { return max(0, t.wait-(now-t.at)) }

func newPlaces(system clock.Clock, settings config.Gateway, log *logrus.Entry, keeper *placeKeeper, meter *link.Meter) *places {
	return &places{
		clock: system, settings: settings, log: log, keeper: keeper, meter: meter,
		links: make(map[string]*placeLink), pools: make(map[string][]room.Pool), waits: make(map[uint32]toldWait),
	}
}

// run keeps the connections to keepers and grants places to other gateways until the context ends.
func (p *places) run(ctx context.Context) {
	p.mutex.Lock()
	p.context = ctx
	p.mutex.Unlock()
	p.keeper.run(ctx)
	p.group.Wait()
}

// note applies a new table.
func (p *places) note(table *routing.Table) {
	if !takesPart(p.settings) {
		return
	}
	pools := make(map[string][]room.Pool)
	for _, name := range table.Services() {
		if service, _ := table.Service(name); !service.Config.Keyed {
			pools[name] = room.Pools(name, service.All(), table.Keepers)
		}
	}
	p.keeper.note(table, pools)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pools, p.keepers = pools, table.Keepers
	for _, keeper := range table.Keepers {
		p.linkTo(keeper.Address)
	}
	p.closeOthers()
}

// closeOthers closes the connections to gateways that are no longer keepers. The mutex must be held.
func (p *places) closeOthers() {
	for address, toKeeper := range p.links {
		named := slices.ContainsFunc(p.keepers, func(keeper directory.Keeper) bool { return keeper.Address == address })
		if !named && toKeeper.local == nil {
			toKeeper.close()
			delete(p.links, address)
		}
	}
}

// linkTo returns the link to a keeper, connected or not. The mutex must be held.
func (p *places) linkTo(address string) *placeLink {
	known, found := p.links[address]
	if !found {
		known = &placeLink{
			address: address, name: p.settings.Name, log: p.log, pending: make(map[uint32]chan message.PlaceAnswer),
			options: wire.Options{
				DialTimeout: p.settings.BackEnd.ConnectTimeout, WriteTimeout: p.settings.PongTimeout,
				ReadBufferBytes: placeReadBuffer, Passed: streamOf(p.meter, link.Places),
			},
		}
		if address == p.settings.PeerAddress {
			asker := p.keeper.join(address, known.answered)
			known.local = func(request message.PlaceRequest) { p.keeper.take(asker, request) }
		}
		p.links[address] = known
	}
	if p.context != nil {
		known.connect(p.context, &p.group)
	}
	return known
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

// ofHolder requests a place at the holder of the request's key.
func (p *places) ofHolder(current *request, holder directory.Instance) placeAnswer {
	p.mutex.Lock()
	address := room.KeeperOf(holder, p.keepers)
	if address == "" {
		p.mutex.Unlock()
		return placeAnswer{verdict: room.Unknown}
	}
	toKeeper := p.linkTo(address)
	p.mutex.Unlock()
	return p.ask(current, toKeeper, holderQueue(holder.ID))
}

// ofService requests a place at any instance of a service without keys.
func (p *places) ofService(current *request) placeAnswer {
	answer := placeAnswer{verdict: room.Unknown}
	asked := make(map[uint32]bool)
	for range poolsAsked {
		toKeeper, queue, found := p.bestPool(current.service, asked)
		if !found {
			break
		}
		asked[queue] = true
		answer = p.ask(current, toKeeper, queue)
		if answer.verdict == room.Granted {
			break
		}
	}
	return answer
}

// bestPool returns the pool with the shortest expected wait, where pools in other zones count otherZone
// longer. It starts at a random pool, so that equal waits do not all lead to the same one.
func (p *places) bestPool(service string, asked map[uint32]bool) (*placeLink, uint32, bool) {
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
		wait := p.waits[poolQueue(pool)].left(p.clock.Now())
		if pool.Zone != p.settings.Zone {
			wait += otherZone
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

// takeAsked returns the counts since the last call and resets them.
func (p *places) takeAsked() askCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	taken := p.asked
	p.asked = askCounts{}
	return taken
}

// count updates the counts of asks.
func (p *places) count(add func(*askCounts)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	add(&p.asked)
}

// ask asks one keeper, waits for its verdict and counts the result.
func (p *places) ask(current *request, toKeeper *placeLink, queue uint32) placeAnswer {
	began := time.Now()
	answer := p.askKeeper(current, toKeeper, queue)
	p.count(func(counts *askCounts) {
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
func (p *places) askKeeper(current *request, toKeeper *placeLink, queue uint32) placeAnswer {
	number, answers, reached := toKeeper.ask(message.PlaceAsk{
		Queue: queue, Urgency: uint8(urgencyScale * current.urgency),
		TargetMs: uint32(max(0, current.arrived+current.target()-p.clock.Now()).Milliseconds()), DeadlineMs: uint32(max(0, current.left()).Milliseconds()),
	}, current.target())
	if !reached {
		p.count(func(counts *askCounts) { counts.Unreached++ })
		return placeAnswer{verdict: room.Unknown}
	}
	defer toKeeper.forget(number)
	began, first := time.Now(), true
	held := &heldPlace{link: toKeeper, number: number}
	timer := time.NewTimer(firstAnswer)
	defer timer.Stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	for {
		select {
		case told, open := <-answers:
			if first {
				first = false
				toKeeper.answeredAfter(time.Since(began))
			}
			if !open {
				return placeAnswer{verdict: room.Unknown}
			}
			wait := milliseconds(told.WaitMs)
			p.told(queue, wait)
			if room.Verdict(told.Verdict) != room.Queued {
				return placeAnswer{verdict: room.Verdict(told.Verdict), server: directory.Reference(told.Server), place: held, wait: wait}
			}
			timer.Reset(queuedSilence)
		case <-look.C:
			if current.interrupt.Fired() {
				held.end(room.Unused, 0)
				return placeAnswer{verdict: room.Rejected}
			}
		case <-timer.C:
			held.end(room.Unused, 0)
			if first {
				toKeeper.answeredAfter(firstAnswer)
			}
			toKeeper.noAnswer()
			p.count(func(counts *askCounts) { counts.Unanswered++ })
			return placeAnswer{verdict: room.Unknown}
		}
	}
}

// told records the wait that a keeper reported for a queue.
func (p *places) told(queue uint32, wait time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.waits) >= mostWaits {
		// Most entries belong to instances that are gone.
		clear(p.waits)
	}
	p.waits[queue] = toldWait{at: p.clock.Now(), wait: wait}
}
