package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func instances(zones ...string) []directory.Instance {
	var list []directory.Instance
	for index, zone := range zones {
		list = append(list, directory.Instance{ID: directory.InstanceID(rune('a' + index)), Zone: zone, Slots: 2, State: directory.InstanceReady})
	}
	return list
}

func request(now time.Duration, random *rand.Rand, all []directory.Instance) Request {
	return Request{
		Now: now, Service: "s", Instances: all, Limit: func(slots int) int { return slots },
		Random: [2]float64{random.Float64(), random.Float64()},
	}
}

// runRequests sends requests one after another and returns how many each instance got.
func runRequests(b *Balancer, all []directory.Instance, requests int, took func(directory.Instance) time.Duration) map[directory.InstanceID]int {
	random := rand.New(rand.NewPCG(3, 3))
	counts := make(map[directory.InstanceID]int)
	now := time.Duration(0)
	for range requests {
		now += 10 * time.Millisecond
		chosen, found := b.Choose(request(now, random, all))
		if !found {
			continue
		}
		counts[chosen.ID]++
		b.End(Outcome{Now: now, Service: "s", Instance: chosen.ID, Took: took(chosen), Answered: true})
	}
	return counts
}

// TestFasterInstancesGetMore: an instance that takes four times as long gets far fewer requests.
func TestFasterInstancesGetMore(t *testing.T) {
	all := instances("z", "z", "z")
	b := New(DefaultSettings("z"))
	counts := runRequests(b, all, 2000, func(instance directory.Instance) time.Duration {
		if instance.ID == "c" {
			return 400 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	if counts["c"]*4 > counts["a"] || counts["c"] == 0 {
		t.Errorf("counts %v: the slow instance must get some requests, but at most a quarter as many", counts)
	}
}

// TestOwnZoneFirst: the own zone is preferred unless another zone is expected to answer much sooner.
func TestOwnZoneFirst(t *testing.T) {
	all := instances("far", "near", "far")
	sameTime := func(directory.Instance) time.Duration { return 100 * time.Millisecond }
	if counts := runRequests(New(DefaultSettings("near")), all, 500, sameTime); counts["b"] < 450 {
		t.Errorf("counts %v with equal times: the near instance must get most requests", counts)
	}
	slowNear := func(instance directory.Instance) time.Duration {
		if instance.ID == "b" {
			return time.Second
		}
		return 100 * time.Millisecond
	}
	if counts := runRequests(New(DefaultSettings("near")), all, 500, slowNear); counts["b"] > 100 {
		t.Errorf("counts %v: the near instance takes ten times as long and must get few requests", counts)
	}
}

// TestLimitBoundsRequestsInFlight: an instance at its limit is not chosen.
func TestLimitBoundsRequestsInFlight(t *testing.T) {
	all := instances("z", "z")
	random := rand.New(rand.NewPCG(1, 1))
	b := New(DefaultSettings("z"))
	counts := make(map[directory.InstanceID]int)
	for range 5 {
		if chosen, found := b.Choose(request(0, random, all)); found {
			counts[chosen.ID]++
		}
	}
	if counts["a"] != 2 || counts["b"] != 2 {
		t.Errorf("counts %v, want two each", counts)
	}
	b.End(Outcome{Service: "s", Instance: "a"})
	if chosen, found := b.Choose(request(0, random, all)); !found || chosen.ID != "a" {
		t.Errorf("chosen %v %v, want a, which is below its limit", chosen.ID, found)
	}
}

// TestInstanceThatIsGoneIsEjectedAtOnce: an instance is ejected when another one answers at its address.
func TestInstanceThatIsGoneIsEjectedAtOnce(t *testing.T) {
	all := instances("z", "z", "z")
	settings := DefaultSettings("z")
	b := New(settings)
	b.TryBegin(0, directory.Instance{ID: "a"}, 9)
	if !b.End(Outcome{Service: "s", Instance: "a", Gone: true}) {
		t.Fatal("not ejected after an answer from another instance at its address")
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		chosen, _ := b.Choose(request(settings.MaxEjectFor-1, random, all))
		b.End(Outcome{Now: settings.MaxEjectFor - 1, Service: "s", Instance: chosen.ID})
		if chosen.ID == "a" {
			t.Fatal("an ejected instance got a request")
		}
	}
}

// TestEjection: consecutive failures eject an instance for a time that doubles, and ejections are ignored
// when too few instances would be left to carry the load.
func TestEjection(t *testing.T) {
	all := instances("z", "z", "z")
	settings := DefaultSettings("z")
	b := New(settings)
	fail := func(now time.Duration, id directory.InstanceID) bool {
		b.TryBegin(now, directory.Instance{ID: id}, 9)
		return b.End(Outcome{Now: now, Service: "s", Instance: id, Failed: true})
	}
	if fail(0, "a") || !fail(0, "a") {
		t.Fatal("only the second consecutive failure must eject")
	}
	receivesRequest := func(now time.Duration, id directory.InstanceID) bool {
		random := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			chosen, _ := b.Choose(request(now, random, all))
			b.End(Outcome{Now: now, Service: "s", Instance: chosen.ID})
			if chosen.ID == id {
				return true
			}
		}
		return false
	}
	if receivesRequest(settings.EjectFor-1, "a") || !receivesRequest(settings.EjectFor, "a") {
		t.Error("the first ejection must last EjectFor")
	}
	fail(2*time.Second, "a")
	fail(2*time.Second, "a")
	if receivesRequest(2*time.Second+settings.EjectFor, "a") || !receivesRequest(2*time.Second+2*settings.EjectFor, "a") {
		t.Error("the second ejection must last twice as long")
	}
	now := time.Minute
	for _, id := range []directory.InstanceID{"a", "b"} {
		fail(now, id)
		fail(now, id)
	}
	if !receivesRequest(now, "a") {
		t.Error("with two of three instances ejected, all must be used")
	}
}

// TestLateAnswersLowerTheBound: late answers lower the limit on requests in flight, but not below one, and
// answers in time raise it again.
func TestLateAnswersLowerTheBound(t *testing.T) {
	holder := directory.Instance{ID: "a", Slots: 2}
	b := New(DefaultSettings("z"))
	const limit = 4
	admitted := func() int {
		count := 0
		for b.TryBegin(0, holder, limit) {
			count++
		}
		for range count {
			b.mutex.Lock()
			b.states["a"].inFlight--
			b.mutex.Unlock()
		}
		return count
	}
	answer := func(took time.Duration, count int) {
		for range count {
			b.TryBegin(0, holder, limit)
			b.End(Outcome{Service: "s", Instance: "a", Took: took, Answered: true})
		}
	}
	answer(100*time.Millisecond, 20)
	if got := admitted(); got != limit {
		t.Fatalf("%d admitted at first", got)
	}
	answer(2*time.Second, 2)
	if got := admitted(); got != limit-2 {
		t.Errorf("%d admitted after two late answers", got)
	}
	b.states["a"].limitReduction = maxReduction
	if got := admitted(); got != 1 {
		t.Errorf("%d admitted at the largest reduction", got)
	}
	answer(100*time.Millisecond, 40)
	if got := admitted(); got != limit {
		t.Errorf("%d admitted after answers in time", got)
	}
}

// TestPublishedTimesSpreadRequests: a process without own measurements uses the service times published for
// all gateways, so that slow instances get far fewer requests, and many such processes together do not crowd
// at the fastest instance.
func TestPublishedTimesSpreadRequests(t *testing.T) {
	all := instances("z", "z", "z", "z")
	for index, milliseconds := range []time.Duration{100, 100, 100, 300} {
		all[index].ServiceTime = milliseconds * time.Millisecond
	}
	random := rand.New(rand.NewPCG(3, 3))
	counts := make(map[directory.InstanceID]int)
	const processes = 4000
	for range processes {
		b := New(DefaultSettings("z"))
		chosen, _ := b.Choose(request(0, random, all))
		counts[chosen.ID]++
	}
	if slow := counts["d"]; slow > processes/12 || slow == 0 {
		t.Errorf("the slow instance got %d of %d requests", slow, processes)
	}
	for _, id := range []directory.InstanceID{"a", "b", "c"} {
		if counts[id] < processes/4 {
			t.Errorf("%s got %d of %d requests", id, counts[id], processes)
		}
	}
}

// TestOwnAnswersCountBesidePublishedTimes: an instance that has become slow for this process gets fewer
// requests before the published service times show it.
func TestOwnAnswersCountBesidePublishedTimes(t *testing.T) {
	all := instances("z", "z")
	for index := range all {
		all[index].ServiceTime = 100 * time.Millisecond
	}
	b := New(DefaultSettings("z"))
	counts := runRequests(b, all, 400, func(instance directory.Instance) time.Duration {
		if instance.ID == "b" {
			return 900 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	if counts["b"] > counts["a"]/4 {
		t.Errorf("the slow instance got %d requests, the other one %d", counts["b"], counts["a"])
	}
}

// TestUnreachableInstanceIsEjectedAtOnce: a second connection attempt would cost another caller as much as
// the first one.
func TestUnreachableInstanceIsEjectedAtOnce(t *testing.T) {
	b := New(DefaultSettings("z"))
	if !b.End(Outcome{Now: time.Second, Service: "s", Instance: "a", Failed: true, Unreachable: true}) {
		t.Error("an unreachable instance is not ejected at once")
	}
	if b.End(Outcome{Now: time.Second, Service: "s", Instance: "b", Failed: true}) {
		t.Error("a single failure of another kind ejects")
	}
}

// TestNearInstancesAreLoadedFirst: the own zone is used first, then the own region, then others; farther
// instances once the nearer ones are full.
func TestNearInstancesAreLoadedFirst(t *testing.T) {
	settings := DefaultSettings("a1")
	settings.Regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	b := New(settings)
	instances := []directory.Instance{
		{ID: "far", Zone: "b1", Slots: 1}, {ID: "near", Zone: "a1", Slots: 1}, {ID: "middle", Zone: "a2", Slots: 1},
	}
	for index, want := range []directory.InstanceID{"near", "middle", "far"} {
		chosen, found := b.Choose(Request{
			Service: "s", Instances: instances, Limit: func(int) int { return 1 }, Random: [2]float64{0.1, 0.9},
		})
		if !found || chosen.ID != want {
			t.Errorf("choice %d is %q, want %q", index, chosen.ID, want)
		}
	}
}
