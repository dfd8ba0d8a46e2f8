package room

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	slots  = 2
	target = 600 * time.Millisecond
)

func servers(count int) []directory.Instance {
	made := make([]directory.Instance, 0, count)
	for number := range count {
		made = append(made, directory.Instance{ID: directory.InstanceID(fmt.Sprintf("i-%03d", number)), Zone: "z", Slots: slots, State: directory.InstanceReady})
	}
	return made
}

func ask(asker string, number int, among []directory.Instance) Ask {
	return Ask{
		ID: PlaceID{Asker: Asker(asker), Number: Number(number)}, Queue: "q", Servers: among, TargetLeft: target, DeadlineLeft: 3 * target,
	}
}

// verdictOf returns the last answer to an ask among those given, zero if there is none.
func verdictOf(answers []Answer, id PlaceID) Answer {
	var found Answer
	for _, answer := range answers {
		if answer.ID == id {
			found = answer
		}
	}
	return found
}

// TestPlacesAreNeverOverfilled: whatever 300 gateways ask, end, repeat and lose, no server has
// more requests than its slots and beyondSlots, no ask gets a second verdict, and a server's
// count is that of its places.
func TestPlacesAreNeverOverfilled(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("places", prop.ForAll(func(seed int64) string {
		return playAskers(uint64(seed))
	}, gen.Int64Range(0, 1<<40)))
	properties.TestingRun(t)
}

// playAskers plays random askers, and returns what broke; empty if nothing did.
func playAskers(seed uint64) string {
	const askers, steps = 300, 3000
	random := rand.New(rand.NewPCG(seed, 1))
	keeper, among := New(seed), servers(9)
	given := make(map[PlaceID]Verdict)
	now := time.Duration(0)
	for range steps {
		now += time.Duration(random.IntN(int(4 * time.Millisecond)))
		id := PlaceID{Asker: Asker(fmt.Sprint(random.IntN(askers))), Number: Number(random.IntN(40))}
		switch random.IntN(12) {
		case 0:
			keeper.Lose(now, id.Asker)
		case 1, 2, 3, 4:
			keeper.End(now, End{ID: id, Outcome: Outcome(random.IntN(6) - 1), Took: time.Duration(random.Int64N(int64(time.Second))) - time.Millisecond})
			delete(given, id)
		case 5:
			keeper.Tick(now)
		default:
			if _, open := given[id]; open {
				continue
			}
			asked := Ask{ID: id, Queue: fmt.Sprint(random.IntN(3)), Urgency: random.Float64(), TargetLeft: time.Duration(random.Int64N(int64(2*target))) - target/4, DeadlineLeft: time.Duration(random.Int64N(int64(4 * target)))}
			first := random.IntN(len(among))
			asked.Servers = among[first:]
			keeper.Ask(now, asked)
		}
		for _, answer := range keeper.Take() {
			if verdict := given[answer.ID]; verdict == Granted && answer.Verdict != Unknown {
				return fmt.Sprintf("%+v after it was granted", answer)
			}
			given[answer.ID] = answer.Verdict
		}
		if broken := overfilled(keeper); broken != "" {
			return broken
		}
		for asker := range given {
			if _, held := keeper.places[asker]; !held && given[asker] == Granted {
				delete(given, asker) // ended by itself
			}
		}
	}
	return ""
}

func overfilled(keeper *Keeper) string {
	counts := make(map[directory.InstanceID]int)
	for _, held := range keeper.places {
		counts[held.server.id]++
	}
	for id, each := range keeper.servers {
		if each.inFlight != counts[id] || each.inFlight > each.slots+beyondSlots {
			return fmt.Sprintf("%s has %d in flight and %d places", id, each.inFlight, counts[id])
		}
	}
	return ""
}

// playHolder offers requests for one holder that needs 200 ms each on two slots, half as many
// again as it serves, and returns the share of those that it served which were in time, and
// the number of those per second.
func playHolder(t *testing.T, admit func(now time.Duration, id PlaceID) (start time.Duration, granted bool)) (inTime, perSecond float64) {
	t.Helper()
	const serviceTime, seconds, offered = 200 * time.Millisecond, 20, 15
	random := rand.New(rand.NewPCG(5, 5))
	served, timely := 0.0, 0.0
	now := time.Duration(0)
	for number := 0; now < seconds*time.Second; number++ {
		now += time.Duration(random.ExpFloat64() / offered * float64(time.Second))
		if start, granted := admit(now, PlaceID{Asker: "a", Number: Number(number)}); granted {
			served++
			if start+serviceTime <= now+target {
				timely++
			}
		}
	}
	return timely / max(served, 1), timely / seconds
}

// TestOverloadedHolderServesInTime: a holder of hot keys that is asked for half as much again as
// it serves answers what it takes in time, and nearly as much as it can. With a queue of eight
// behind its slots, which no gateway sees, nearly all of its answers were late.
func TestOverloadedHolderServesInTime(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	keeper, among := New(1), servers(1)
	// busy are the ends of what the holder works on, by its slots.
	busy := make([]time.Duration, slots)
	begin := func(now time.Duration) time.Duration {
		first := 0
		if busy[1] < busy[0] {
			first = 1
		}
		start := max(now, busy[first])
		busy[first] = start + serviceTime
		return start
	}
	type running struct {
		id           PlaceID
		granted, end time.Duration
	}
	var work []running
	starts := make(map[PlaceID]time.Duration)
	advance := func(until time.Duration) {
		for {
			next := -1
			for index, each := range work {
				if each.end <= until && (next < 0 || each.end < work[next].end) {
					next = index
				}
			}
			if next < 0 {
				return
			}
			ended := work[next]
			work = append(work[:next], work[next+1:]...)
			keeper.End(ended.end, End{ID: ended.id, Outcome: Answered, Took: ended.end - ended.granted})
			for _, answer := range keeper.Take() {
				if answer.Verdict == Granted {
					starts[answer.ID] = begin(ended.end)
					work = append(work, running{answer.ID, ended.end, starts[answer.ID] + serviceTime})
				}
			}
		}
	}
	var asked []PlaceID
	arrivals := make(map[PlaceID]time.Duration)
	playHolder(t, func(now time.Duration, id PlaceID) (time.Duration, bool) {
		advance(now)
		request := ask("a", int(id.Number), among)
		keeper.Ask(now, request)
		asked, arrivals[id] = append(asked, id), now
		if answer := verdictOf(keeper.Take(), id); answer.Verdict == Granted {
			starts[id] = begin(now)
			work = append(work, running{id, now, starts[id] + serviceTime})
		}
		return 0, false
	})
	advance(time.Hour)
	served, timely := 0.0, 0.0
	for _, id := range asked {
		if start, granted := starts[id]; granted {
			served++
			if start+serviceTime <= arrivals[id]+target {
				timely++
			}
		}
	}
	const seconds, capacity = 20, 10.0
	if timely/served < 0.95 || timely/seconds < 0.85*capacity {
		t.Errorf("%.2f of what is served is in time, %.1f a second of %.0f", timely/served, timely/seconds, capacity)
	}
	queued := make([]time.Duration, slots)
	inTime, perSecond := playHolder(t, func(now time.Duration, _ PlaceID) (time.Duration, bool) {
		first := 0
		if queued[1] < queued[0] {
			first = 1
		}
		start := max(now, queued[first])
		if start-now > 8*serviceTime/slots {
			return 0, false
		}
		queued[first] = start + serviceTime
		return start, true
	})
	if inTime > 0.5 {
		t.Errorf("with an unseen queue %.2f are in time, %.1f a second: the test does not overload the holder", inTime, perSecond)
	}
}

// TestUrgentRequestsGoFirst, and one that cannot be in time behind them is rejected at once, with
// the time at which there is room.
func TestUrgentRequestsGoFirst(t *testing.T) {
	keeper, among := New(1), servers(1)
	for number := range slots + beyondSlots {
		keeper.Ask(0, ask("busy", number, among))
	}
	patient, urgent := ask("a", 1, among), ask("a", 2, among)
	urgent.Urgency = 1
	keeper.Ask(0, patient)
	keeper.Ask(0, urgent)
	late := ask("a", 3, among)
	late.TargetLeft = 150 * time.Millisecond
	keeper.Ask(0, late)
	answers := keeper.Take()
	if answer := verdictOf(answers, late.ID); answer.Verdict != Rejected || answer.Wait <= 0 {
		t.Errorf("one that cannot be in time gets %+v", answer)
	}
	if verdictOf(answers, patient.ID).Verdict != Queued || verdictOf(answers, urgent.ID).Verdict != Queued {
		t.Fatalf("answers %+v, want both queued", answers)
	}
	keeper.End(50*time.Millisecond, End{ID: PlaceID{Asker: "busy", Number: 0}, Outcome: Answered, Took: 50 * time.Millisecond})
	if answers = keeper.Take(); verdictOf(answers, urgent.ID).Verdict != Granted || verdictOf(answers, patient.ID).Verdict == Granted {
		t.Errorf("after one place is free: %+v", answers)
	}
}

// TestLostGatewayGivesItsPlacesBack, after a time in which its requests may still be at work;
// what it waited for is forgotten.
func TestLostGatewayGivesItsPlacesBack(t *testing.T) {
	keeper, among := New(1), servers(1)
	for number := range slots + beyondSlots + 1 {
		keeper.Ask(0, ask("lost", number, among))
	}
	keeper.Ask(0, ask("other", 1, among))
	keeper.Take()
	keeper.Lose(10*time.Millisecond, "lost")
	keeper.Tick(100 * time.Millisecond)
	if answers := keeper.Take(); verdictOf(answers, PlaceID{Asker: "other", Number: 1}).Verdict == Granted {
		t.Error("a place of a lost gateway is given out while its request may be at work")
	}
	keeper.Ask(lostPlaces, ask("other", 2, among))
	keeper.Take()
	keeper.Tick(lostPlaces + 20*time.Millisecond)
	if answers := keeper.Take(); verdictOf(answers, PlaceID{Asker: "other", Number: 2}).Verdict != Granted {
		t.Errorf("after the time of the lost places: %+v", answers)
	}
}

// TestPlacesEndByThemselves: an asker that never says how a request ended, or claims a deadline
// in a day, does not keep its place.
func TestPlacesEndByThemselves(t *testing.T) {
	keeper, among := New(1), servers(1)
	forever := ask("a", 1, among)
	forever.DeadlineLeft = 24 * time.Hour
	keeper.Ask(0, forever)
	keeper.Tick(longestDeadline + noticeTime)
	if len(keeper.places) > 0 {
		t.Error("the place is still held")
	}
	keeper.Ask(longestDeadline, ask("a", 1, nil))
	if answers := keeper.Take(); answers[len(answers)-1].Verdict != Unknown {
		t.Errorf("an ask for no server gets %+v", answers)
	}
}

// TestServersAtFaultRest: one that fails three times in a row gets nothing for a while, unless
// most do.
func TestServersAtFaultRest(t *testing.T) {
	keeper, among := New(1), servers(3)
	for number := range failuresInRow {
		request := ask("a", number, among[:1])
		keeper.Ask(0, request)
		keeper.End(0, End{ID: request.ID, Outcome: Failed})
	}
	keeper.Take()
	for number := range 2 * (slots + beyondSlots) {
		keeper.Ask(0, ask("b", number, among))
	}
	for _, answer := range keeper.Take() {
		if answer.Server == among[0].ID {
			t.Errorf("%+v though that server is at fault", answer)
		}
	}
}

// TestTwoKeepersFillAServerTwice at most: while gateways differ about who keeps a server, each
// keeper gives out its slots.
func TestTwoKeepersFillAServerTwice(t *testing.T) {
	among := servers(1)
	granted := 0
	for _, keeper := range []*Keeper{New(1), New(2)} {
		for number := range 300 {
			keeper.Ask(0, ask("a", number, among))
		}
		for _, answer := range keeper.Take() {
			if answer.Verdict == Granted {
				granted++
			}
		}
	}
	if most := 2 * (slots + beyondSlots); granted != most {
		t.Errorf("%d places, want %d", granted, most)
	}
}

// TestPoolsKeepTheirKeepers: when one keeper goes, the pools and holders of the others stay with
// theirs; pools stay in their zone where it has a keeper, and are not larger than largestPool
// by much.
func TestPoolsKeepTheirKeepers(t *testing.T) {
	var keepers []directory.Keeper
	for number := range 6 {
		keepers = append(keepers, directory.Keeper{Address: fmt.Sprintf("10.0.0.%d:1", number), Zone: []string{"a", "b"}[number%2]})
	}
	var among []directory.Instance
	for _, each := range servers(300) {
		each.Zone = []string{"a", "b", "c"}[len(among)%3]
		among = append(among, each)
	}
	before := Pools("s", among, keepers)
	keeperOfPool := make(map[string]string)
	count := 0
	for _, pool := range before {
		keeperOfPool[pool.Name] = pool.Keeper
		count += len(pool.Servers)
		if len(pool.Servers) > 2*largestPool {
			t.Errorf("pool %s has %d servers", pool.Name, len(pool.Servers))
		}
	}
	if count != len(among) {
		t.Errorf("%d servers in pools, want %d", count, len(among))
	}
	lost := keepers[0].Address
	for _, pool := range Pools("s", among, keepers[1:]) {
		if was := keeperOfPool[pool.Name]; was != lost && was != pool.Keeper {
			t.Errorf("pool %s passed from %s to %s though %s was lost", pool.Name, was, pool.Keeper, lost)
		}
	}
	for _, each := range among {
		if was := KeeperOf(each, keepers); was != lost && was != KeeperOf(each, keepers[1:]) {
			t.Errorf("holder %s passed on from %s", each.ID, was)
		}
	}
	if pools := Pools("s", among, nil); pools != nil || KeeperOf(among[0], nil) != "" {
		t.Error("there is a keeper without keepers")
	}
}

// BenchmarkAsk is a place taken and given back, in a fleet of 500 servers in pools of 31: some
// 1.5 µs. Choosing one of 500 servers by a gateway's own counts takes 194 µs.
func BenchmarkAsk(b *testing.B) {
	keeper := New(1)
	all := servers(500)
	const size = 31
	number := 0
	for b.Loop() {
		number++
		pool := number % (len(all) / size)
		asked := ask("a", number, all[pool*size:(pool+1)*size])
		asked.Queue = queueNames[pool%len(queueNames)]
		keeper.Ask(0, asked)
		keeper.End(0, End{ID: asked.ID, Outcome: Answered, Took: time.Millisecond})
		keeper.Take()
	}
}

var queueNames = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"}
