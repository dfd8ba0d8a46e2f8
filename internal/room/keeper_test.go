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
	instances := make([]directory.Instance, 0, count)
	for number := range count {
		instances = append(instances, directory.Instance{ID: directory.InstanceID(fmt.Sprintf("i-%03d", number)), Zone: "z", Slots: slots, State: directory.InstanceReady})
	}
	return instances
}

func ask(asker string, number int, among []directory.Instance) Ask {
	return Ask{
		ID: PlaceID{Asker: Asker(asker), Number: Number(number)}, Queue: "q", Servers: among, TargetLeft: target, DeadlineLeft: 3 * target,
	}
}

// lastAnswer returns the last of the answers for an ID, or the zero value if there is none.
func lastAnswer(answers []Answer, id PlaceID) Answer {
	var last Answer
	for _, answer := range answers {
		if answer.ID == id {
			last = answer
		}
	}
	return last
}

// TestPlacesAreNeverOverfilled checks with random asks, ends and disconnects of 300 gateways that
// no server has more requests in flight than its slots plus extraInFlight, that no granted ask gets
// a second verdict, and that a server's count equals its places.
func TestPlacesAreNeverOverfilled(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("places", prop.ForAll(func(seed int64) string {
		return runRandomAskers(uint64(seed))
	}, gen.Int64Range(0, 1<<40)))
	properties.TestingRun(t)
}

// runRandomAskers simulates random askers and returns the first violation, or an empty string.
func runRandomAskers(seed uint64) string {
	const askers, steps = 300, 3000
	random := rand.New(rand.NewPCG(seed, 1))
	keeper, among := New(seed), servers(9)
	verdicts := make(map[PlaceID]Verdict)
	now := time.Duration(0)
	for range steps {
		now += time.Duration(random.IntN(int(4 * time.Millisecond)))
		id := PlaceID{Asker: Asker(fmt.Sprint(random.IntN(askers))), Number: Number(random.IntN(40))}
		switch random.IntN(12) {
		case 0:
			keeper.Disconnect(now, id.Asker)
		case 1, 2, 3, 4:
			keeper.End(now, End{ID: id, Outcome: Outcome(random.IntN(6) - 1), Took: time.Duration(random.Int64N(int64(time.Second))) - time.Millisecond})
			delete(verdicts, id)
		case 5:
			keeper.Tick(now)
		default:
			if _, open := verdicts[id]; open {
				continue
			}
			request := Ask{ID: id, Queue: fmt.Sprint(random.IntN(3)), Urgency: random.Float64(), TargetLeft: time.Duration(random.Int64N(int64(2*target))) - target/4, DeadlineLeft: time.Duration(random.Int64N(int64(4 * target)))}
			first := random.IntN(len(among))
			request.Servers = among[first:]
			keeper.Ask(now, request)
		}
		for _, answer := range keeper.TakeAnswers() {
			if verdict := verdicts[answer.ID]; verdict == Granted && answer.Verdict != Unknown {
				return fmt.Sprintf("answer %+v after the ask was granted", answer)
			}
			verdicts[answer.ID] = answer.Verdict
		}
		if problem := checkInFlight(keeper); problem != "" {
			return problem
		}
		for asker := range verdicts {
			if _, held := keeper.places[asker]; !held && verdicts[asker] == Granted {
				delete(verdicts, asker) // expired
			}
		}
	}
	return ""
}

func checkInFlight(keeper *Keeper) string {
	counts := make(map[directory.InstanceID]int)
	for _, place := range keeper.places {
		counts[place.server.id]++
	}
	for id, s := range keeper.servers {
		if s.inFlight != counts[id] || s.inFlight > s.slots+extraInFlight {
			return fmt.Sprintf("server %s has %d requests in flight and %d places", id, s.inFlight, counts[id])
		}
	}
	return ""
}

// offerToHolder offers requests to one holder with two slots and a service time of 200 ms, at one
// and a half times its capacity. It returns the share of the served requests that were in time, and
// the number of those per second.
func offerToHolder(t *testing.T, admit func(now time.Duration, id PlaceID) (start time.Duration, granted bool)) (inTime, perSecond float64) {
	t.Helper()
	const serviceTime, seconds, offered = 200 * time.Millisecond, 20, 15
	random := rand.New(rand.NewPCG(5, 5))
	served, servedInTime := 0.0, 0.0
	now := time.Duration(0)
	for number := 0; now < seconds*time.Second; number++ {
		now += time.Duration(random.ExpFloat64() / offered * float64(time.Second))
		if start, granted := admit(now, PlaceID{Asker: "a", Number: Number(number)}); granted {
			served++
			if start+serviceTime <= now+target {
				servedInTime++
			}
		}
	}
	return servedInTime / max(served, 1), servedInTime / seconds
}

// TestOverloadedHolderServesInTime checks that a holder of hot keys at one and a half times its
// capacity answers accepted requests in time, at nearly its full throughput. With a queue of eight
// behind its slots that no gateway sees, nearly all answers were late.
func TestOverloadedHolderServesInTime(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	keeper, among := New(1), servers(1)
	// busy holds the time at which each slot of the holder becomes free.
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
			for _, answer := range keeper.TakeAnswers() {
				if answer.Verdict == Granted {
					starts[answer.ID] = begin(ended.end)
					work = append(work, running{answer.ID, ended.end, starts[answer.ID] + serviceTime})
				}
			}
		}
	}
	var askedIDs []PlaceID
	arrivals := make(map[PlaceID]time.Duration)
	offerToHolder(t, func(now time.Duration, id PlaceID) (time.Duration, bool) {
		advance(now)
		request := ask("a", int(id.Number), among)
		keeper.Ask(now, request)
		askedIDs, arrivals[id] = append(askedIDs, id), now
		if answer := lastAnswer(keeper.TakeAnswers(), id); answer.Verdict == Granted {
			starts[id] = begin(now)
			work = append(work, running{id, now, starts[id] + serviceTime})
		}
		return 0, false
	})
	advance(time.Hour)
	served, servedInTime := 0.0, 0.0
	for _, id := range askedIDs {
		if start, granted := starts[id]; granted {
			served++
			if start+serviceTime <= arrivals[id]+target {
				servedInTime++
			}
		}
	}
	const seconds, capacity = 20, 10.0
	if servedInTime/served < 0.95 || servedInTime/seconds < 0.85*capacity {
		t.Errorf("%.2f of the served requests are in time, %.1f per second of a capacity of %.0f", servedInTime/served, servedInTime/seconds, capacity)
	}
	queued := make([]time.Duration, slots)
	inTime, perSecond := offerToHolder(t, func(now time.Duration, _ PlaceID) (time.Duration, bool) {
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
		t.Errorf("with an unseen queue %.2f are in time, %.1f per second: the test does not overload the holder", inTime, perSecond)
	}
}

// TestUrgentRequestsGoFirst checks that urgent requests are granted first, and that a request that
// cannot be in time behind them is rejected at once with the expected time until there is capacity.
func TestUrgentRequestsGoFirst(t *testing.T) {
	keeper, among := New(1), servers(1)
	for number := range slots + extraInFlight {
		keeper.Ask(0, ask("busy", number, among))
	}
	patient, urgent := ask("a", 1, among), ask("a", 2, among)
	urgent.Urgency = 1
	keeper.Ask(0, patient)
	keeper.Ask(0, urgent)
	late := ask("a", 3, among)
	late.TargetLeft = 150 * time.Millisecond
	keeper.Ask(0, late)
	answers := keeper.TakeAnswers()
	if answer := lastAnswer(answers, late.ID); answer.Verdict != Rejected || answer.Wait <= 0 {
		t.Errorf("a request that cannot be in time gets %+v, want Rejected with a wait", answer)
	}
	if lastAnswer(answers, patient.ID).Verdict != Queued || lastAnswer(answers, urgent.ID).Verdict != Queued {
		t.Fatalf("answers %+v, want both queued", answers)
	}
	keeper.End(50*time.Millisecond, End{ID: PlaceID{Asker: "busy", Number: 0}, Outcome: Answered, Took: 50 * time.Millisecond})
	if answers = keeper.TakeAnswers(); lastAnswer(answers, urgent.ID).Verdict != Granted || lastAnswer(answers, patient.ID).Verdict == Granted {
		t.Errorf("answers %+v after a place became free, want the urgent request granted", answers)
	}
}

// TestLostGatewayGivesItsPlacesBack checks that the places of a disconnected gateway are freed
// after a grace period, in which its requests may still be running, and that its waiting requests
// are dropped.
func TestLostGatewayGivesItsPlacesBack(t *testing.T) {
	keeper, among := New(1), servers(1)
	for number := range slots + extraInFlight + 1 {
		keeper.Ask(0, ask("lost", number, among))
	}
	keeper.Ask(0, ask("other", 1, among))
	keeper.TakeAnswers()
	keeper.Disconnect(10*time.Millisecond, "lost")
	keeper.Tick(100 * time.Millisecond)
	if answers := keeper.TakeAnswers(); lastAnswer(answers, PlaceID{Asker: "other", Number: 1}).Verdict == Granted {
		t.Error("a place of a disconnected gateway was granted while its request may be running")
	}
	keeper.Ask(lostAskerGrace, ask("other", 2, among))
	keeper.TakeAnswers()
	keeper.Tick(lostAskerGrace + 20*time.Millisecond)
	if answers := keeper.TakeAnswers(); lastAnswer(answers, PlaceID{Asker: "other", Number: 2}).Verdict != Granted {
		t.Errorf("answers %+v after the grace period, want the waiting request granted", answers)
	}
}

// TestPlacesEndByThemselves checks that a place expires although its asker never reports the end of
// the request, or gives a deadline of a day.
func TestPlacesEndByThemselves(t *testing.T) {
	keeper, among := New(1), servers(1)
	forever := ask("a", 1, among)
	forever.DeadlineLeft = 24 * time.Hour
	keeper.Ask(0, forever)
	keeper.Tick(maxDeadline + endMessageGrace)
	if len(keeper.places) > 0 {
		t.Error("the place did not expire")
	}
	keeper.Ask(maxDeadline, ask("a", 1, nil))
	if answers := keeper.TakeAnswers(); answers[len(answers)-1].Verdict != Unknown {
		t.Errorf("an ask without servers gets %+v, want Unknown", answers)
	}
}

// TestServersAtFaultRest checks that a server that fails three times in a row gets no requests for
// a while, unless most servers do.
func TestServersAtFaultRest(t *testing.T) {
	keeper, among := New(1), servers(3)
	for number := range ejectionFailures {
		request := ask("a", number, among[:1])
		keeper.Ask(0, request)
		keeper.End(0, End{ID: request.ID, Outcome: Failed})
	}
	keeper.TakeAnswers()
	for number := range 2 * (slots + extraInFlight) {
		keeper.Ask(0, ask("b", number, among))
	}
	for _, answer := range keeper.TakeAnswers() {
		if answer.Server == among[0].ID {
			t.Errorf("answer %+v names an ejected server", answer)
		}
	}
}

// TestTwoKeepersFillAServerTwice checks that two keepers fill a server at most twice: while
// gateways disagree about the keeper of a server, each keeper grants its slots.
func TestTwoKeepersFillAServerTwice(t *testing.T) {
	among := servers(1)
	granted := 0
	for _, keeper := range []*Keeper{New(1), New(2)} {
		for number := range 300 {
			keeper.Ask(0, ask("a", number, among))
		}
		for _, answer := range keeper.TakeAnswers() {
			if answer.Verdict == Granted {
				granted++
			}
		}
	}
	if want := 2 * (slots + extraInFlight); granted != want {
		t.Errorf("%d places granted, want %d", granted, want)
	}
}

// TestPoolsKeepTheirKeepers checks that pools and holders stay with their keepers when another
// keeper is lost, that pools stay in a zone that has a keeper, and that no pool is much larger than
// maxPoolSize.
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
		if len(pool.Servers) > 2*maxPoolSize {
			t.Errorf("pool %s is too large: %d servers", pool.Name, len(pool.Servers))
		}
	}
	if count != len(among) {
		t.Errorf("%d servers in pools, want %d", count, len(among))
	}
	lost := keepers[0].Address
	for _, pool := range Pools("s", among, keepers[1:]) {
		if was := keeperOfPool[pool.Name]; was != lost && was != pool.Keeper {
			t.Errorf("pool %s moved from keeper %s to %s although only %s was lost", pool.Name, was, pool.Keeper, lost)
		}
	}
	for _, each := range among {
		if was := KeeperOf(each, keepers); was != lost && was != KeeperOf(each, keepers[1:]) {
			t.Errorf("holder %s moved from keeper %s although that keeper was not lost", each.ID, was)
		}
	}
	if pools := Pools("s", among, nil); pools != nil || KeeperOf(among[0], nil) != "" {
		t.Error("a keeper was assigned although there are none")
	}
}

// BenchmarkAsk grants and returns a place in a fleet of 500 servers in pools of 31, in some 1.5 µs.
// Choosing one of 500 servers by a gateway's own counts takes 194 µs.
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
		keeper.TakeAnswers()
	}
}

var queueNames = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"}
