package link

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	megabits = 2.3
	target   = 500 * time.Millisecond
)

// kind is a kind of request with its size in bytes and its share of the requests.
type kind struct {
	route   string
	urgency float64
	bytes   float64
	share   float64
}

var requestKinds = []kind{{"reads", 0, 5800, 0.5}, {"orders", 1, 9800, 0.2}, {"payouts", 0.5, 2300, 0.3}}

// play offers requests at a rate for some seconds to a link whose true queue is kept
// aside, and returns the longest true delay and the share admitted of each route.
func play(t *testing.T, admission *Admission, perSecond float64, trueMegabits float64) (time.Duration, map[string]float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	actual := NewQueue(trueMegabits)
	offered, admitted := make(map[string]float64), make(map[string]float64)
	longest := time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		drawn := random.Float64()
		for _, each := range requestKinds {
			if drawn -= each.share; drawn >= 0 {
				continue
			}
			offered[each.route]++
			reserved, taken := admission.Admit(Request{Now: now, Route: each.route, Target: target, Urgency: each.urgency})
			if taken {
				admitted[each.route]++
				actual.Add(now, each.bytes)
				admission.Done(Request{Now: now, Route: each.route}, reserved, each.bytes, true)
			}
			break
		}
		longest = max(longest, actual.Delay(now))
	}
	for route := range offered {
		admitted[route] /= offered[route]
	}
	return longest, admitted
}

// TestQueueStaysShort: under more than the link carries nobody waits longer than the most
// urgent request may, and less urgent requests are rejected first. All waited, for seconds.
func TestQueueStaysShort(t *testing.T) {
	longest, admitted := play(t, NewAdmission(megabits), 75, megabits)
	if most := (Request{Target: target, Urgency: 1}).byTarget() + 50*time.Millisecond; longest > most {
		t.Errorf("a request waits %s, at most %s are allowed", longest, most)
	}
	if admitted["orders"] < 0.9 || admitted["reads"] > 0.8 || admitted["payouts"] < admitted["reads"] {
		t.Errorf("admitted shares %v", admitted)
	}
	unbounded, _ := play(t, NewAdmission(0), 75, megabits)
	if unbounded < 5*time.Second {
		t.Errorf("without admission a request waits %s: the test does not fill the link", unbounded)
	}
}

// TestCalmLinkAdmitsAll at four tenths of what it carries.
func TestCalmLinkAdmitsAll(t *testing.T) {
	if _, admitted := play(t, NewAdmission(megabits), 20, megabits); admitted["reads"] < 0.97 || admitted["orders"] < 1 {
		t.Errorf("admitted shares %v", admitted)
	}
}

// TestReservationsAreCorrected: what was expected and did not come does not fill the link.
func TestReservationsAreCorrected(t *testing.T) {
	admission := NewAdmission(megabits)
	request := Request{Route: "r", Target: target}
	for range 1000 {
		reserved, admitted := admission.Admit(request)
		if !admitted {
			t.Fatal("a request is rejected though none before it took any bytes")
		}
		admission.Done(request, reserved, 0, false)
	}
}

// TestPatientCallersWait: at the top of a wave that asks for a tenth more than the link carries for
// three seconds, callers who give many times their target are admitted, as they are served
// before their deadline. By the target alone some were rejected, and came back through other
// gateways that were as full.
func TestPatientCallersWait(t *testing.T) {
	admitted := func(deadline time.Duration) float64 {
		admission := NewAdmission(megabits)
		random := rand.New(rand.NewPCG(11, 11))
		offered, taken := 0.0, 0.0
		const perSecond, bytes = 50, 5000
		for now := time.Duration(0); now < 3*time.Second; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			offered++
			reserved, ok := admission.Admit(Request{Now: now, Route: "search", Target: target, Deadline: deadline})
			if ok {
				taken++
				admission.Done(Request{Now: now, Route: "search"}, reserved, bytes, true)
			}
		}
		return taken / offered
	}
	hurried, patient := admitted(2*target), admitted(20*target)
	if hurried > 0.96 {
		t.Errorf("%.2f of the hurried requests are admitted: the test does not fill the link", hurried)
	}
	if patient < 0.97 {
		t.Errorf("%.2f of the patient requests are admitted, %.2f of the hurried ones", patient, hurried)
	}
}

// TestPatientRequestsLeaveRoomForUrgentOnes: a less urgent request whose caller has much time is
// rejected before a more urgent one is, unless none of those came of late. By their own time
// alone the patient ones filled the link, and one in fourteen of the urgent ones came late or was
// rejected that had been in time.
func TestPatientRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	admission := NewAdmission(megabits)
	urgent := Request{Route: "hold", Target: target, Deadline: 8 * target, Urgency: 1}
	patient := Request{Route: "search", Target: 2 * target, Deadline: 20 * target}
	alone := admission.Limit(patient)
	for range 10 {
		admission.Admit(urgent)
		admission.Admit(patient)
	}
	if limit := admission.Limit(patient); limit > admission.Limit(urgent) || limit >= alone {
		t.Errorf("the patient request waits up to %s, the urgent one up to %s", limit, admission.Limit(urgent))
	}
	urgent.Now, patient.Now = time.Minute, time.Minute
	for range 100 {
		admission.Admit(patient)
	}
	if limit := admission.Limit(patient); limit != alone {
		t.Errorf("the patient request waits up to %s though no urgent one came for a minute, want %s", limit, alone)
	}
}

// TestLongAnswersLeaveRoomForShortOnes: on a link of 5.1 Mbit/s a quarter of which long answers of
// 90 KB take, short requests are admitted as if there were none, and nearly all long ones are,
// too. In one queue each long answer had some of the short ones behind it rejected.
func TestLongAnswersLeaveRoomForShortOnes(t *testing.T) {
	const wide = 5.1
	admission := NewAdmission(wide)
	random := rand.New(rand.NewPCG(5, 5))
	offered, admitted := make(map[string]float64), make(map[string]float64)
	const perSecond = 18
	for now := time.Duration(0); now < 60*time.Second; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		request, bytes := Request{Now: now, Route: "search", Target: time.Second, Deadline: 4 * time.Second}, 2500.0
		if random.Float64() < 0.09 {
			request = Request{Now: now, Route: "download", Target: 1200 * time.Millisecond, Deadline: 5 * time.Second, Bulk: true}
			bytes = 90_000 * random.ExpFloat64()
		}
		offered[request.Route]++
		if reserved, taken := admission.Admit(request); taken {
			admitted[request.Route]++
			admission.Done(request, reserved, bytes, true)
		}
	}
	for route, least := range map[string]float64{"search": 0.995, "download": 0.85} {
		if share := admitted[route] / offered[route]; share < least {
			t.Errorf("%.3f of the requests of route %s are admitted, want %.3f", share, route, least)
		}
	}
}
