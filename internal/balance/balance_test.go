package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func instances(zones ...string) []directory.Instance {
	var all []directory.Instance
	for index, zone := range zones {
		all = append(all, directory.Instance{ID: directory.InstanceID(rune('a' + index)), Zone: zone, Slots: 2, State: directory.InstanceReady})
	}
	return all
}

func request(now time.Duration, random *rand.Rand, all []directory.Instance) Request {
	return Request{
		Now: now, Service: "s", Instances: all, Limit: func(slots int) int { return slots },
		Random: [2]float64{random.Float64(), random.Float64()},
	}
}

// drive sends requests one after another, each of which takes an instance's time.
func drive(b *Balancer, all []directory.Instance, requests int, took func(directory.Instance) time.Duration) map[directory.InstanceID]int {
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

// TestFasterInstancesGetMore: by the time that their answers took.
func TestFasterInstancesGetMore(t *testing.T) {
	all := instances("z", "z", "z")
	b := New(DefaultSettings("z"))
	counts := drive(b, all, 2000, func(instance directory.Instance) time.Duration {
		if instance.ID == "c" {
			return 400 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	if counts["c"]*4 > counts["a"] || counts["c"] == 0 {
		t.Errorf("counts %v: the slow one gets few, but not none", counts)
	}
}

// TestOwnZoneFirst: as long as another zone is not expected to answer much sooner.
func TestOwnZoneFirst(t *testing.T) {
	all := instances("far", "near", "far")
	alike := func(directory.Instance) time.Duration { return 100 * time.Millisecond }
	if counts := drive(New(DefaultSettings("near")), all, 500, alike); counts["b"] < 450 {
		t.Errorf("counts %v: the near one is alike", counts)
	}
	slowNear := func(instance directory.Instance) time.Duration {
		if instance.ID == "b" {
			return time.Second
		}
		return 100 * time.Millisecond
	}
	if counts := drive(New(DefaultSettings("near")), all, 500, slowNear); counts["b"] > 100 {
		t.Errorf("counts %v: the near one takes ten times as long", counts)
	}
}

// TestLimitBoundsRequestsInFlight: a full instance is not chosen.
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
		t.Errorf("chosen %v %v, want the one that is free", chosen.ID, found)
	}
}

// TestInstanceThatIsGoneIsEjectedAtOnce: another instance answered at its address.
func TestInstanceThatIsGoneIsEjectedAtOnce(t *testing.T) {
	all := instances("z", "z", "z")
	settings := DefaultSettings("z")
	b := New(settings)
	b.TryBegin(0, directory.Instance{ID: "a"}, 9)
	if !b.End(Outcome{Service: "s", Instance: "a", Gone: true}) {
		t.Fatal("one answer of another instance ejects")
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		chosen, _ := b.Choose(request(settings.EjectMost-1, random, all))
		b.End(Outcome{Now: settings.EjectMost - 1, Service: "s", Instance: chosen.ID})
		if chosen.ID == "a" {
			t.Fatal("an instance that is gone got a request")
		}
	}
}

// TestEjection: failures in a row leave an instance out for a while that doubles;
// never are so many left out that the rest could not carry the load.
func TestEjection(t *testing.T) {
	all := instances("z", "z", "z")
	settings := DefaultSettings("z")
	b := New(settings)
	fail := func(now time.Duration, id directory.InstanceID) bool {
		b.TryBegin(now, directory.Instance{ID: id}, 9)
		return b.End(Outcome{Now: now, Service: "s", Instance: id, Failed: true})
	}
	if fail(0, "a") || !fail(0, "a") {
		t.Fatal("the second failure in a row ejects")
	}
	gets := func(now time.Duration, id directory.InstanceID) bool {
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
	if gets(settings.EjectFor-1, "a") || !gets(settings.EjectFor, "a") {
		t.Error("an ejected instance is left out for the first length")
	}
	fail(2*time.Second, "a")
	fail(2*time.Second, "a")
	if gets(2*time.Second+settings.EjectFor, "a") || !gets(2*time.Second+2*settings.EjectFor, "a") {
		t.Error("the second ejection lasts twice as long")
	}
	now := time.Minute
	for _, id := range []directory.InstanceID{"a", "b"} {
		fail(now, id)
		fail(now, id)
	}
	if !gets(now, "a") {
		t.Error("with two of three ejected all are used")
	}
}

// TestLateAnswersLowerTheBound: and answers in time raise it again, never below one.
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
			b.loads["a"].inFlight--
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
	b.loads["a"].reduction = mostReduction
	if got := admitted(); got != 1 {
		t.Errorf("%d admitted at the largest reduction", got)
	}
	answer(100*time.Millisecond, 40)
	if got := admitted(); got != limit {
		t.Errorf("%d admitted after answers in time", got)
	}
}

// TestPublishedTimesSpreadRequests: instances that this process has never met get requests
// by the service times that all gateways measured, the slow ones far fewer; and many
// processes that know nothing else do not crowd at the fastest.
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
		t.Errorf("the slow instance gets %d of %d requests", slow, processes)
	}
	for _, id := range []directory.InstanceID{"a", "b", "c"} {
		if counts[id] < processes/4 {
			t.Errorf("%s gets %d of %d requests", id, counts[id], processes)
		}
	}
}

// TestOwnAnswersCountBesidePublishedTimes: an instance that has turned slow for this
// process gets fewer requests before the others tell of it.
func TestOwnAnswersCountBesidePublishedTimes(t *testing.T) {
	all := instances("z", "z")
	for index := range all {
		all[index].ServiceTime = 100 * time.Millisecond
	}
	b := New(DefaultSettings("z"))
	counts := drive(b, all, 400, func(instance directory.Instance) time.Duration {
		if instance.ID == "b" {
			return 900 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	if counts["b"] > counts["a"]/4 {
		t.Errorf("the slow instance gets %d requests, the other one %d", counts["b"], counts["a"])
	}
}

// TestUnreachableInstanceIsEjectedAtOnce: a second attempt to connect would cost another
// caller as much as the first.
func TestUnreachableInstanceIsEjectedAtOnce(t *testing.T) {
	b := New(DefaultSettings("z"))
	if !b.End(Outcome{Now: time.Second, Service: "s", Instance: "a", Failed: true, Unreachable: true}) {
		t.Error("an instance that cannot be reached is not ejected")
	}
	if b.End(Outcome{Now: time.Second, Service: "s", Instance: "b", Failed: true}) {
		t.Error("another failure ejects at once")
	}
}

// TestNearInstancesAreLoadedFirst: the own zone, then the own region, then others, and farther
// ones once the near ones are full.
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
