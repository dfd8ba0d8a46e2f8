package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/room"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	// keeperTick is the interval at which places and waiting requests are checked for expiry.
	keeperTick = 20 * time.Millisecond
	// urgencyScale is the encoded urgency of the most urgent route.
	urgencyScale = 100
)

// placeKeeper grants the places of the instances that this gateway keeps, to itself and to other gateways. It
// is safe for concurrent use.
type placeKeeper struct {
	clock clock.Clock
	// usable reports whether an instance of a pool gets requests now.
	usable func(directory.Instance) bool
	// kept has the queues of the newest table.
	kept      atomic.Pointer[map[uint32]keptQueue]
	lastAsker atomic.Uint64
	mutex     sync.Mutex
	core      *room.Keeper
	// askers has the function that takes the answers for each asker.
	askers map[room.Asker]func([]message.PlaceAnswer)
}

// keptQueue is a queue in which an ask may wait.
type keptQueue struct {
	name    string
	servers []directory.Instance
	// pool is true if any of the instances may serve a request.
	pool bool
}

func newPlaceKeeper(system clock.Clock, usable func(directory.Instance) bool) *placeKeeper {
	k := &placeKeeper{
		clock: system, usable: usable, core: room.New(rand.Uint64()), askers: make(map[room.Asker]func([]message.PlaceAnswer)),
	}
	k.kept.Store(&map[uint32]keptQueue{})
	return k
}

// poolQueue and holderQueue return the number of the queue of a pool and of a holder of keys.
func poolQueue(pool room.Pool) uint32 { return uint32(xxhash.Sum64String(pool.Name)) }

func holderQueue(id directory.InstanceID) uint32 { return uint32(directory.ReferenceOf(id)) }

// update applies a new table with the pools of its services. Asks for any of the instances are served,
// whichever gateway the table names as their keeper, since the asker may have a newer table.
func (k *placeKeeper) update(table *routing.Table, pools map[string][]room.Pool) {
	kept := make(map[uint32]keptQueue)
	for _, name := range table.Services() {
		service, _ := table.Service(name)
		if service.Config.Keyed {
			for _, instance := range service.Instances {
				kept[holderQueue(instance.ID)] = keptQueue{name: string(instance.ID), servers: []directory.Instance{*instance}}
			}
			continue
		}
		for _, pool := range pools[name] {
			kept[poolQueue(pool)] = keptQueue{name: pool.Name, servers: pool.Servers, pool: true}
		}
	}
	k.kept.Store(&kept)
}

// addAsker adds an asker. Its answers are passed to deliver, which must not block.
func (k *placeKeeper) addAsker(address string, deliver func([]message.PlaceAnswer)) room.Asker {
	asker := room.Asker(fmt.Sprintf("%s#%d", address, k.lastAsker.Add(1)))
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.askers[asker] = deliver
	return asker
}

// removeAsker removes an asker that disconnected.
func (k *placeKeeper) removeAsker(asker room.Asker) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.askers, asker)
	k.core.Disconnect(k.clock.Now(), asker)
}

// handle processes a message from an asker.
func (k *placeKeeper) handle(asker room.Asker, request message.PlaceRequest) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock.Now()
	for _, end := range request.Ends {
		outcome := room.Outcome(end.Outcome)
		if !outcome.Valid() {
			outcome = room.Unused
		}
		k.core.End(now, room.End{ID: placeID(asker, end.Number), Outcome: outcome, Took: milliseconds(end.TookMs)})
	}
	kept := *k.kept.Load()
	for _, ask := range request.Asks {
		k.core.Ask(now, k.toAsk(asker, ask, kept[ask.Queue]))
	}
	k.deliver()
}

func placeID(asker room.Asker, number uint32) room.PlaceID {
	return room.PlaceID{Asker: asker, Number: room.Number(number)}
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// toAsk returns an ask with the instances that get requests now.
func (k *placeKeeper) toAsk(asker room.Asker, ask message.PlaceAsk, queue keptQueue) room.Ask {
	servers := make([]directory.Instance, 0, len(queue.servers))
	for _, instance := range queue.servers {
		if !queue.pool || k.usable(instance) {
			servers = append(servers, instance)
		}
	}
	return room.Ask{
		ID: placeID(asker, ask.Number), Queue: queue.name, Servers: servers,
		Urgency:    float64(min(ask.Urgency, urgencyScale)) / urgencyScale,
		TargetLeft: milliseconds(ask.TargetMs), DeadlineLeft: milliseconds(ask.DeadlineMs),
	}
}

// deliver passes the pending answers to their askers. The mutex must be held.
func (k *placeKeeper) deliver() {
	due := make(map[room.Asker][]message.PlaceAnswer)
	for _, answer := range k.core.TakeAnswers() {
		encoded := message.PlaceAnswer{
			Number: uint32(answer.ID.Number), Verdict: uint8(answer.Verdict), WaitMs: uint32(answer.Wait.Milliseconds()),
		}
		if answer.Server != "" {
			encoded.Server = uint32(directory.ReferenceOf(answer.Server))
		}
		due[answer.ID.Asker] = append(due[answer.ID.Asker], encoded)
	}
	for asker, answers := range due {
		if deliver, found := k.askers[asker]; found {
			deliver(answers)
		}
	}
}

// run expires places and waiting requests until the context ends.
func (k *placeKeeper) run(ctx context.Context) {
	clock.Every(ctx, keeperTick, func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.core.Tick(k.clock.Now())
		k.deliver()
	})
}

// serve serves one gateway until its connection ends.
func (k *placeKeeper) serve(ctx context.Context, connection *wire.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	answers := newOutbox[message.PlaceAnswer]()
	asker := k.addAsker(connection.RemoteAddress(), answers.add)
	defer k.removeAsker(asker)
	var writing conc.WaitGroup
	defer writing.Wait()
	defer cancel()
	defer connection.Close()
	writing.Go(func() {
		defer connection.Close()
		answers.run(ctx, func(batch []message.PlaceAnswer) error {
			return connection.Send(ctx, &message.PlaceReply{Answers: batch})
		})
	})
	for {
		var request message.PlaceRequest
		if err := connection.Receive(&request); err != nil {
			return err
		}
		k.handle(asker, request)
	}
}
