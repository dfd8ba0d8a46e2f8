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

// Bounds on the requests to a limited instance within a window: a multiple of its limit plus a
// constant.
const (
	instanceWindow         = 4 * time.Second
	allowedInstanceOverrun = 1.5
	instanceSlack          = 5
)

// newInstanceFleet returns a fleet whose callers, spread over all gateways, send a multiple of the
// rate that their instances accept.
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

// overLimit describes an instance that received more requests within a window than its limit
// allows.
func (f *fleet) overLimit() string {
	for name, times := range f.passed {
		bound := int(allowedInstanceOverrun*f.limits[name].Rate*instanceWindow.Seconds()) + instanceSlack
		first := 0
		for last := range times {
			for times[last]-times[first] >= instanceWindow {
				first++
			}
			if received := last - first + 1; received > bound {
				return fmt.Sprintf("%s with a limit of %g per second received %d requests within %s, want at most %d", name, f.limits[name].Rate, received, instanceWindow, bound)
			}
		}
	}
	return ""
}

// starvedInstance describes an instance that received less than a share of its limit over a
// duration.
func (f *fleet) starvedInstance(duration time.Duration, share float64) string {
	for name, limit := range f.limits {
		if minimum := share*limit.Rate*duration.Seconds() - 2; float64(f.served[name]) < minimum {
			return fmt.Sprintf("%s with a limit of %g per second received %d requests in %s, want at least %.0f", name, limit.Rate, f.served[name], duration, minimum)
		}
	}
	return ""
}

// runInstanceFaults simulates instances that advertise limits while gateways are partitioned, crash
// and restart, the leader becomes unreachable and changes, and callers arrive all at once. It
// returns what went wrong.
func runInstanceFaults(f *fleet) string {
	const calmDuration = 10 * time.Second
	f.run(time.Second)
	f.resetCounts()
	f.run(calmDuration)
	if starved := f.starvedInstance(calmDuration, 0.9); starved != "" {
		return "without faults: " + starved
	}
	for index, node := range f.gateways {
		node.partitioned = index%5 == 1
		if node.down = index%7 == 2; node.down {
			node.accounts, node.connected, node.waiting = NewAccounts(f.policy, f.random.Float64), false, nil
		}
	}
	f.run(5 * time.Second)
	f.leaderUp = false
	f.resetCounts()
	f.run(calmDuration)
	// Each of hundreds of gateways receives fewer requests than it could accrue tokens for.
	if starved := f.starvedInstance(calmDuration, 0.1); starved != "" {
		return "without a leader: " + starved
	}
	rates := f.perSecond
	f.perSecond = nil
	f.run(30 * time.Second)
	f.perSecond = rates
	f.run(2 * time.Second)
	f.ledger.StartTerm(f.now)
	f.leaderUp = true
	for _, node := range f.gateways {
		node.partitioned, node.down = false, false
	}
	f.run(2 * time.Second)
	f.resetCounts()
	f.run(calmDuration)
	if starved := f.starvedInstance(calmDuration, 0.9); starved != "" {
		return "with the next leader: " + starved
	}
	return f.overLimit()
}

// TestLimitsOfInstancesHoldOverTheFleet checks with 1 to 300 gateways that no instance receives
// more within a window than one and a half times its limit and a few requests, and that none is
// starved. It guards against an instance that receives nothing after a change of leader because its
// bucket is charged with requests sent long before.
func TestLimitsOfInstancesHoldOverTheFleet(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(40)
	parameters.MinSuccessfulTests = 2
	for _, gateways := range []int{1, 11, 81, 300} {
		properties := gopter.NewProperties(parameters)
		properties.Property(fmt.Sprintf("limits hold at %d gateways", gateways), prop.ForAllNoShrink(func(seed uint64) bool {
			failure := runInstanceFaults(newInstanceFleet(seed, gateways, InstancePolicy(), 0.25, 1, 5.2, 13, 60))
			if failure != "" {
				t.Logf("seed %d: %s", seed, failure)
			}
			return failure == ""
		}, gen.UInt64()))
		properties.TestingRun(t)
	}
}

// TestLimitsHoldWhileTheLeaderAnswersLate delays the leader's answers, as on gateways with
// saturated links. Most of the limit must be used if most answers arrive within AnswerTime, and
// half of it if most arrive later. It guards against instances that receive too many or too few
// requests.
func TestLimitsHoldWhileTheLeaderAnswersLate(t *testing.T) {
	for _, c := range []struct {
		maxDelay  time.Duration
		minServed float64
	}{{AnswerTime, 0.7}, {3 * AnswerTime, 0.5}} {
		for _, gateways := range []int{11, 81, 300} {
			f := newInstanceFleet(uint64(gateways), gateways, InstancePolicy(), 1, 5.2, 13, 60)
			f.answerDelay = func() time.Duration { return time.Duration(f.random.Float64() * float64(c.maxDelay)) }
			const duration = 30 * time.Second
			f.run(duration)
			if over := f.overLimit(); over != "" {
				t.Errorf("%d gateways, answers delayed by up to %s: %s", gateways, c.maxDelay, over)
			}
			if starved := f.starvedInstance(duration, c.minServed); starved != "" {
				t.Errorf("%d gateways, answers delayed by up to %s: %s", gateways, c.maxDelay, starved)
			}
		}
	}
}

// TestTwoWaysToShareALimit compares tokens from the leader with equal parts of the limit. A gateway
// must not accrue its part over long idle times, since hundreds of idle gateways would then send at
// once, so equal parts starve an instance for which each gateway has few callers.
func TestTwoWaysToShareALimit(t *testing.T) {
	const rate, duration = 5.2, 20 * time.Second
	parts := InstancePolicy()
	parts.FloorShare = 1
	for _, gateways := range []int{11, 300} {
		served := make(map[string]int)
		for name, policy := range map[string]Policy{"tokens": InstancePolicy(), "parts": parts} {
			f := newInstanceFleet(uint64(gateways), gateways, policy, rate)
			f.leaderUp = name == "tokens"
			f.run(10 * time.Second)
			f.resetCounts()
			f.run(duration)
			served[name] = f.served["view-0"]
			if over := f.overLimit(); over != "" {
				t.Errorf("%s at %d gateways: %s", name, gateways, over)
			}
		}
		t.Logf("%d gateways, %g per second, %s: %d served with tokens, %d with equal parts", gateways, rate, duration, served["tokens"], served["parts"])
		if served["tokens"] < served["parts"] {
			t.Errorf("%d gateways: %d requests served with tokens, %d with equal parts", gateways, served["tokens"], served["parts"])
		}
	}
}

// TestUrgentRequestsGoFirst checks that an overloaded instance serves urgent requests first.
func TestUrgentRequestsGoFirst(t *testing.T) {
	const rate, duration = 8, 20 * time.Second
	f := newInstanceFleet(1, 11, InstancePolicy(), rate)
	f.perSecond["view-0"] = 2 * rate // half of it urgent
	f.run(2 * time.Second)
	f.resetCounts()
	f.run(duration)
	const minServedShare = 0.8
	if urgent := f.servedUrgent["view-0"]; float64(urgent) < minServedShare*rate*duration.Seconds() {
		t.Errorf("%d urgent requests served of %d that arrived, %d served in total", urgent, f.asked["view-0"]/2, f.served["view-0"])
	}
}

// TestLimitThatFalls checks that the lowest recent limit applies while gateways report different
// limits.
func TestLimitThatFalls(t *testing.T) {
	named := NewAdvertisedLimits()
	rateOf := func() float64 {
		limit, _ := named.Of("view-1")
		return limit.Rate
	}
	for _, c := range []struct {
		at             time.Duration
		reported, want float64
	}{
		{0, 20, 20},
		{100 * time.Millisecond, 5, 5},
		{200 * time.Millisecond, 20, 5},
		{900 * time.Millisecond, 5, 5},
		{1800 * time.Millisecond, 20, 5},
		{1900 * time.Millisecond, 20, 20},
		{2000 * time.Millisecond, -1, 20},
	} {
		named.Note(c.at, "view-1", c.reported)
		if got := rateOf(); got != c.want {
			t.Errorf("%s: limit %g after %g was reported, want %g", c.at, got, c.reported, c.want)
		}
	}
	dropped := ""
	named.Expire(2*limitLifetime, func(instance string) { dropped = instance })
	if _, found := named.Of("view-1"); found || dropped != "view-1" {
		t.Errorf("a limit that no gateway reports is kept")
	}
}

// TestMoreReturnedThanGranted checks that a gateway that returns more tokens than it was granted
// gains nothing.
func TestMoreReturnedThanGranted(t *testing.T) {
	ledger := NewLedger(InstancePolicy(), 0)
	limitOf := func(string) (Limit, bool) { return LimitOfInstance(10), true }
	kept, last := 0, 0
	const seconds = 20
	for now := time.Duration(0); now < seconds*time.Second; now += 50 * time.Millisecond {
		ask := Ask{Subject: "view-1", Want: 1 << 31, Returned: 1 << 31, Urgency: MostUrgent}
		for _, grant := range ledger.HandleAsks(now, "g", []Ask{ask}, limitOf) {
			kept += int(grant.Tokens) - last
			last = int(grant.Tokens)
		}
	}
	if bound := 10*seconds + 5; kept > bound {
		t.Errorf("%d tokens beyond the returned ones in %d s, want at most %d", kept, seconds, bound)
	}
}

// TestRequestsOfAnEarlierTermAreNotOwed guards against an instance that receives nothing after a
// change of leader: its bucket was charged with requests from before the term, or from more than 4
// s before.
func TestRequestsOfAnEarlierTermAreNotOwed(t *testing.T) {
	const rate, term = 0.25, time.Minute
	limitOf := func(string) (Limit, bool) { return LimitOfInstance(rate), true }
	for _, c := range []struct {
		name       string
		sentAgo    time.Duration
		reported   uint32
		firstToken time.Duration
		connected  time.Duration
	}{
		{"before the term", 2 * time.Second, 1, 4 * time.Second, time.Second},
		{"in the term", 2 * time.Second, 1, 8 * time.Second, 3 * time.Second},
		{"too long ago to count", 2 * chargeWindow, 0, 4 * time.Second, 3 * chargeWindow},
	} {
		var unreported unreportedSends
		unreported.add(term + c.connected - c.sentAgo)
		ask := Ask{Subject: "view-1", Rate: rate, Want: 1, Urgency: MostUrgent}
		ask.Used, ask.UsedAgoMs = unreported.report(term + c.connected)
		if ask.Used != c.reported {
			t.Errorf("%s: %d requests reported, want %d", c.name, ask.Used, c.reported)
		}
		ledger := NewLedger(InstancePolicy(), 0)
		ledger.StartTerm(term)
		now := term + c.connected
		for ledger.HandleAsks(now, "g", []Ask{ask}, limitOf)[0].Tokens == 0 && now < 2*term {
			ask.Used = 0
			now += step
		}
		if got, want := now-term, max(c.connected, c.firstToken); got < want-step || got > want+step {
			t.Errorf("%s: first token after %s, want %s", c.name, got, want)
		}
	}
}

func TestWaitingByUrgency(t *testing.T) {
	w := make(waitingCounts)
	for range 3 {
		w.add(uint8(rand.IntN(2)), 1)
	}
	w.add(7, 1)
	if count, urgency := w.mostUrgent(); count != 1 || urgency != 7 || w.total() != 4 || !w.hasMoreUrgent(6) || w.hasMoreUrgent(7) {
		t.Errorf("%v: mostUrgent returned count %d, urgency %d", w, count, urgency)
	}
}
