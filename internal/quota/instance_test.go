package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// What reaches a limited instance within a window stays below this times its limit, and some
// requests more.
const (
	instanceWindow  = 4 * time.Second
	instanceOverrun = 1.5
	instanceSlack   = 5
)

// newInstanceFleet has gateways whose callers, spread over all of them, ask for a multiple of what
// the instances that they need take.
func newInstanceFleet(seed uint64, gateways int, policy Policy, rates ...float64) *fleet {
	f := newFleet(seed, gateways, 0)
	f.policy, f.ledger = policy, NewLedger(policy, 0)
	for _, node := range f.gateways {
		node.accounts = NewAccounts(policy, f.random.Float64)
	}
	homes := make([]int, gateways)
	for index := range homes {
		homes[index] = index
	}
	for index, rate := range rates {
		name := fmt.Sprintf("view-%d", index)
		f.limits[name] = LimitOfInstance(rate)
		f.perSecond[name] = 4 * rate
		f.homes[name] = homes
	}
	return f
}

// overLimit names an instance that got more within a window than it said.
func (f *fleet) overLimit() string {
	for name, times := range f.passed {
		most := int(instanceOverrun*f.limits[name].Rate*instanceWindow.Seconds()) + instanceSlack
		first := 0
		for last := range times {
			for times[last]-times[first] >= instanceWindow {
				first++
			}
			if got := last - first + 1; got > most {
				return fmt.Sprintf("%s with a limit of %g a second got %d requests within %s, want %d at most", name, f.limits[name].Rate, got, instanceWindow, most)
			}
		}
	}
	return ""
}

// starved names an instance that got less than a share of what it takes, over a length of time.
func (f *fleet) starved(length time.Duration, share float64) string {
	for name, limit := range f.limits {
		if least := share*limit.Rate*length.Seconds() - 2; float64(f.served[name]) < least {
			return fmt.Sprintf("%s with a limit of %g a second got %d requests in %s, want %.0f at least", name, limit.Rate, f.served[name], length, least)
		}
	}
	return ""
}

// instanceTrouble plays instances that name limits while gateways are cut off, die and return, the
// leader falls silent and changes, and callers come all at once. It returns what is wrong.
func instanceTrouble(f *fleet) string {
	const calm = 10 * time.Second
	f.play(time.Second)
	f.forgetCounts()
	f.play(calm)
	if starved := f.starved(calm, 0.9); starved != "" {
		return "in the calm " + starved
	}
	for index, node := range f.gateways {
		node.cut = index%5 == 1
		if node.dead = index%7 == 2; node.dead {
			node.accounts, node.connected, node.waiting = NewAccounts(f.policy, f.random.Float64), false, nil
		}
	}
	f.play(5 * time.Second)
	f.leads = false
	f.forgetCounts()
	f.play(calm)
	// Each of hundreds of gateways is asked for less than it may save up for.
	if starved := f.starved(calm, 0.1); starved != "" {
		return "without a leader " + starved
	}
	asked := f.perSecond
	f.perSecond = nil
	f.play(30 * time.Second)
	f.perSecond = asked
	f.play(2 * time.Second)
	f.ledger.Lead(f.now)
	f.leads = true
	for _, node := range f.gateways {
		node.cut, node.dead = false, false
	}
	f.play(2 * time.Second)
	f.forgetCounts()
	f.play(calm)
	if starved := f.starved(calm, 0.9); starved != "" {
		return "with the next leader " + starved
	}
	return f.overLimit()
}

// TestLimitsOfInstancesHoldOverTheFleet: over 1 to 300 gateways no instance gets more within a
// window than one and a half times what it said and a few requests, and none is starved. It guards
// against an instance that gets nothing after a change of leader, for requests of long before.
func TestLimitsOfInstancesHoldOverTheFleet(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(40)
	parameters.MinSuccessfulTests = 2
	for _, gateways := range []int{1, 11, 81, 300} {
		properties := gopter.NewProperties(parameters)
		properties.Property(fmt.Sprintf("limits hold at %d gateways", gateways), prop.ForAllNoShrink(func(seed uint64) bool {
			wrong := instanceTrouble(newInstanceFleet(seed, gateways, InstancePolicy(), 0.25, 1, 5.2, 13, 60))
			if wrong != "" {
				t.Logf("seed %d: %s", seed, wrong)
			}
			return wrong == ""
		}, gen.UInt64()))
		properties.TestingRun(t)
	}
}

// TestLimitsHoldWhileTheLeaderAnswersLate: gateways whose links are full hear the leader late.
// Where most answers come in time the room is used, and half of it where most come later than a
// request waits. It guards against an instance that gets too much, or little, of what it takes.
func TestLimitsHoldWhileTheLeaderAnswersLate(t *testing.T) {
	for _, c := range []struct {
		longest time.Duration
		served  float64
	}{{AnswerTime, 0.7}, {3 * AnswerTime, 0.5}} {
		for _, gateways := range []int{11, 81, 300} {
			f := newInstanceFleet(uint64(gateways), gateways, InstancePolicy(), 1, 5.2, 13, 60)
			f.answerDelay = func() time.Duration { return time.Duration(f.random.Float64() * float64(c.longest)) }
			const length = 30 * time.Second
			f.play(length)
			if over := f.overLimit(); over != "" {
				t.Errorf("%d gateways, answers up to %s late: %s", gateways, c.longest, over)
			}
			if starved := f.starved(length, c.served); starved != "" {
				t.Errorf("%d gateways, answers up to %s late: %s", gateways, c.longest, starved)
			}
		}
	}
}

// TestTwoWaysToShareALimit compares tokens from the leader with equal parts of the limit: a
// gateway cannot save up its part, or hundreds of idle ones would send at once, so that parts
// starve the instance where each gateway has few callers for it.
func TestTwoWaysToShareALimit(t *testing.T) {
	const rate, length = 5.2, 20 * time.Second
	parts := InstancePolicy()
	parts.FloorShare = 1
	for _, gateways := range []int{11, 300} {
		served := make(map[string]int)
		for name, policy := range map[string]Policy{"tokens": InstancePolicy(), "parts": parts} {
			f := newInstanceFleet(uint64(gateways), gateways, policy, rate)
			f.leads = name == "tokens"
			f.play(10 * time.Second)
			f.forgetCounts()
			f.play(length)
			served[name] = f.served["view-0"]
			if over := f.overLimit(); over != "" {
				t.Errorf("%s at %d gateways: %s", name, gateways, over)
			}
		}
		t.Logf("%d gateways, %g a second, %s: %d by tokens, %d by equal parts", gateways, rate, length, served["tokens"], served["parts"])
		if served["tokens"] < served["parts"] {
			t.Errorf("%d gateways: %d requests served by tokens, %d by equal parts", gateways, served["tokens"], served["parts"])
		}
	}
}

// TestUrgentRequestsGoFirst: what room is left at an instance goes to urgent requests.
func TestUrgentRequestsGoFirst(t *testing.T) {
	const rate, length = 8, 20 * time.Second
	f := newInstanceFleet(1, 11, InstancePolicy(), rate)
	f.perSecond["view-0"] = 2 * rate // half of it urgent
	f.play(2 * time.Second)
	f.forgetCounts()
	f.play(length)
	const wanted = 0.8
	if urgent := f.servedUrgent["view-0"]; float64(urgent) < wanted*rate*length.Seconds() {
		t.Errorf("%d urgent requests served of %d that came, %d in all", urgent, f.asked["view-0"]/2, f.served["view-0"])
	}
}

// TestLimitThatFalls: of limits that gateways tell differently the lowest of late counts.
func TestLimitThatFalls(t *testing.T) {
	named := NewNamedLimits()
	rateOf := func() float64 {
		limit, _ := named.Of("view-1")
		return limit.Rate
	}
	for _, c := range []struct {
		at         time.Duration
		told, want float64
	}{
		{0, 20, 20},
		{100 * time.Millisecond, 5, 5},
		{200 * time.Millisecond, 20, 5},
		{900 * time.Millisecond, 5, 5},
		{1800 * time.Millisecond, 20, 5},
		{1900 * time.Millisecond, 20, 20},
		{2000 * time.Millisecond, -1, 20},
	} {
		named.Note(c.at, "view-1", c.told)
		if got := rateOf(); got != c.want {
			t.Errorf("%s: limit %g after %g was told, want %g", c.at, got, c.told, c.want)
		}
	}
	dropped := ""
	named.Expire(2*namedFor, func(instance string) { dropped = instance })
	if _, found := named.Of("view-1"); found || dropped != "view-1" {
		t.Errorf("a limit that nobody tells is kept")
	}
}

// TestMoreReturnedThanGranted: a gateway that says that it gives back more than it got gains
// nothing.
func TestMoreReturnedThanGranted(t *testing.T) {
	ledger := NewLedger(InstancePolicy(), 0)
	limitOf := func(string) (Limit, bool) { return LimitOfInstance(10), true }
	kept, last := 0, 0
	const seconds = 20
	for now := time.Duration(0); now < seconds*time.Second; now += 50 * time.Millisecond {
		ask := Ask{Subject: "view-1", Want: 1 << 31, Returned: 1 << 31, Urgency: MostUrgent}
		for _, grant := range ledger.Hear(now, "g", []Ask{ask}, limitOf) {
			kept += int(grant.Tokens) - last
			last = int(grant.Tokens)
		}
	}
	if most := 10*seconds + 5; kept > most {
		t.Errorf("%d tokens beyond those given back in %d s, want %d at most", kept, seconds, most)
	}
}

// TestRequestsOfAnEarlierTermAreNotOwed guards against an instance that gets nothing after a change
// of leader: its bucket was charged with requests of before the term, or of more than 4 s before.
func TestRequestsOfAnEarlierTermAreNotOwed(t *testing.T) {
	const rate, term = 0.25, time.Minute
	limitOf := func(string) (Limit, bool) { return LimitOfInstance(rate), true }
	for _, c := range []struct {
		name      string
		sentAgo   time.Duration
		told      uint32
		token     time.Duration
		connected time.Duration
	}{
		{"before the term", 2 * time.Second, 1, 4 * time.Second, time.Second},
		{"in the term", 2 * time.Second, 1, 8 * time.Second, 3 * time.Second},
		{"too long ago to count", 2 * chargeTime, 0, 4 * time.Second, 3 * chargeTime},
	} {
		var alone sentAlone
		alone.add(term + c.connected - c.sentAgo)
		ask := Ask{Subject: "view-1", Rate: rate, Want: 1, Urgency: MostUrgent}
		ask.Used, ask.UsedAgoMs = alone.tell(term + c.connected)
		if ask.Used != c.told {
			t.Errorf("%s: %d requests are told, want %d", c.name, ask.Used, c.told)
		}
		ledger := NewLedger(InstancePolicy(), 0)
		ledger.Lead(term)
		now := term + c.connected
		for ledger.Hear(now, "g", []Ask{ask}, limitOf)[0].Tokens == 0 && now < 2*term {
			ask.Used = 0
			now += step
		}
		if got, want := now-term, max(c.connected, c.token); got < want-step || got > want+step {
			t.Errorf("%s: the first token after %s, want %s", c.name, got, want)
		}
	}
}

func TestWaitingByUrgency(t *testing.T) {
	w := make(waiting)
	for range 3 {
		w.add(uint8(rand.IntN(2)), 1)
	}
	w.add(7, 1)
	if count, urgency := w.mostUrgent(); count != 1 || urgency != 7 || w.total() != 4 || !w.moreUrgent(6) || w.moreUrgent(7) {
		t.Errorf("%v: %d of urgency %d", w, count, urgency)
	}
}
