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

// offerRequests offers requests at a rate for some seconds to a link whose real queue is modelled
// separately. It returns the longest real delay and the admitted share of each route.
func offerRequests(t *testing.T, admission *Admission, perSecond float64, trueMegabits float64) (time.Duration, map[string]float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	actual := NewQueue(trueMegabits)
	offered, admitted := make(map[string]float64), make(map[string]float64)
	longestDelay := time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		draw := random.Float64()
		for _, each := range requestKinds {
			if draw -= each.share; draw >= 0 {
				continue
			}
			offered[each.route]++
			reserved, ok := admission.Admit(Request{Now: now, Route: each.route, Target: target, Urgency: each.urgency})
			if ok {
				admitted[each.route]++
				actual.Add(now, each.bytes)
				admission.Done(Request{Now: now, Route: each.route}, reserved, each.bytes, true)
			}
			break
		}
		longestDelay = max(longestDelay, actual.Delay(now))
	}
	for route := range offered {
		admitted[route] /= offered[route]
	}
	return longestDelay, admitted
}

// TestQueueStaysShort checks that under overload no request waits longer than the most urgent may,
// and that less urgent requests are rejected first. Without admission all of them waited for
// seconds.
func TestQueueStaysShort(t *testing.T) {
	longest, admitted := offerRequests(t, NewAdmission(megabits), 75, megabits)
	if bound := (Request{Target: target, Urgency: 1}).targetWait() + 50*time.Millisecond; longest > bound {
		t.Errorf("a request waits %s, want at most %s", longest, bound)
	}
	if admitted["orders"] < 0.9 || admitted["reads"] > 0.8 || admitted["payouts"] < admitted["reads"] {
		t.Errorf("admitted shares %v", admitted)
	}
	unbounded, _ := offerRequests(t, NewAdmission(0), 75, megabits)
	if unbounded < 5*time.Second {
		t.Errorf("without admission a request waits %s: the test does not fill the link", unbounded)
	}
}

// TestCalmLinkAdmitsAll checks that requests are admitted at four tenths of the link's capacity.
func TestCalmLinkAdmitsAll(t *testing.T) {
	if _, admitted := offerRequests(t, NewAdmission(megabits), 20, megabits); admitted["reads"] < 0.97 || admitted["orders"] < 1 {
		t.Errorf("admitted shares %v", admitted)
	}
}

// TestReservationsAreCorrected checks that reserved bytes that are not used do not fill the link.
func TestReservationsAreCorrected(t *testing.T) {
	admission := NewAdmission(megabits)
	request := Request{Route: "r", Target: target}
	for range 1000 {
		reserved, admitted := admission.Admit(request)
		if !admitted {
			t.Fatal("a request was rejected although none before it used any bytes")
		}
		admission.Done(request, reserved, 0, false)
	}
}

// TestPatientCallersWait checks that while the load exceeds the link's capacity by a tenth for
// three seconds, callers with a deadline of many times their target are admitted, since they are
// served in time for it. With a limit from the target alone some were rejected, and retried at
// other gateways with equally full links.
func TestPatientCallersWait(t *testing.T) {
	admitted := func(deadline time.Duration) float64 {
		admission := NewAdmission(megabits)
		random := rand.New(rand.NewPCG(11, 11))
		offered, accepted := 0.0, 0.0
		const perSecond, bytes = 50, 5000
		for now := time.Duration(0); now < 3*time.Second; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			offered++
			reserved, ok := admission.Admit(Request{Now: now, Route: "search", Target: target, Deadline: deadline})
			if ok {
				accepted++
				admission.Done(Request{Now: now, Route: "search"}, reserved, bytes, true)
			}
		}
		return accepted / offered
	}
	impatient, patient := admitted(2*target), admitted(20*target)
	if impatient > 0.96 {
		t.Errorf("%.2f of the impatient requests are admitted: the test does not fill the link", impatient)
	}
	if patient < 0.97 {
		t.Errorf("%.2f of the patient requests are admitted, %.2f of the impatient ones", patient, impatient)
	}
}

// TestPatientRequestsLeaveRoomForUrgentOnes checks that a less urgent request with a long deadline
// is rejected before a more urgent one, unless there were no more urgent ones recently. With a
// limit from their deadline alone the patient requests filled the link, and one in fourteen of the
// urgent ones that had been in time was late or rejected.
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
		t.Errorf("the patient request may wait %s, the urgent one %s", limit, admission.Limit(urgent))
	}
	urgent.Now, patient.Now = time.Minute, time.Minute
	for range 100 {
		admission.Admit(patient)
	}
	if limit := admission.Limit(patient); limit != alone {
		t.Errorf("the patient request may wait %s although no urgent one arrived for a minute, want %s", limit, alone)
	}
}

// TestLongAnswersLeaveRoomForShortOnes checks on a link of 5.1 Mbit/s, a quarter of which is used
// by long answers of 90 KB, that short requests are admitted as if there were no long ones, and
// that nearly all long ones are admitted as well. With a single queue each long answer caused some
// of the short requests behind it to be rejected.
func TestLongAnswersLeaveRoomForShortOnes(t *testing.T) {
	const wideMegabits = 5.1
	admission := NewAdmission(wideMegabits)
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
		if reserved, ok := admission.Admit(request); ok {
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
