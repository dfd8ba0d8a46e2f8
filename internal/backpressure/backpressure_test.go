package backpressure

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const instance = directory.InstanceID("view-1")

// TestParseLimit checks that every value that a server may send yields a bounded limit.
func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		values   []string
		limit    float64
		readable bool
		wantErr  bool
	}{
		{"decimal", []string{"5.2"}, 5.2, true, false},
		{"spaces", []string{" 5.2 "}, 5.2, true, false},
		{"several", []string{"8", "5.2", "9"}, 5.2, true, false},
		{"zero lets a trickle pass", []string{"0"}, minLimit, true, false},
		{"too high to bind", []string{"1e308"}, 0, true, false},
		{"negative", []string{"-3"}, 0, false, true},
		{"text", []string{"few"}, 0, false, true},
		{"empty", []string{""}, 0, false, true},
		{"not a number", []string{"NaN"}, 0, false, true},
		{"infinite", []string{"Inf"}, 0, false, true},
		{"out of range", []string{"1e999"}, 0, false, true},
		{"date", []string{"Thu, 03 Dec 2026 07:00:00 GMT"}, 0, false, true},
		{"one of two readable", []string{"few", "7"}, 7, true, true},
	} {
		limit, readable, err := ParseLimit(c.values)
		if limit != c.limit || readable != c.readable || (err != nil) != c.wantErr {
			t.Errorf("%s: limit %g, readable %t, error %v; want %g, %t, error %t", c.name, limit, readable, err, c.limit, c.readable, c.wantErr)
		}
	}
}

// TestParseRest checks that every value that a server may send yields a bounded rest.
func TestParseRest(t *testing.T) {
	for _, c := range []struct {
		value   string
		rest    time.Duration
		wantErr bool
	}{
		{"3", 3 * time.Second, false},
		{"0.25", 250 * time.Millisecond, false},
		{"0", 0, false},
		{"1e308", maxRest, false},
		{"Inf", maxRest, false},
		{"-1", unreadableRest, true},
		{"NaN", unreadableRest, true},
		{"soon", unreadableRest, true},
		{"", unreadableRest, true},
		{"Thu, 03 Dec 2026 07:00:00 GMT", unreadableRest, true},
	} {
		rest, err := ParseRest(c.value)
		if rest != c.rest || (err != nil) != c.wantErr {
			t.Errorf("%q: %s, error %v; want %s, error %t", c.value, rest, err, c.rest, c.wantErr)
		}
	}
}

// answer is one answer of an instance.
type answer struct {
	now, sentAt time.Duration
	signal      Signal
	// limit is the expected limit after this answer.
	limit float64
}

// TestLimitOfAnswersInAnyOrder checks that a limit holds as long as the instance names it, and that
// an answer that may have been sent before the limit was named neither ends nor raises it.
func TestLimitOfAnswersInAnyOrder(t *testing.T) {
	for name, answers := range map[string][]answer{
		"ends with an answer without it": {{10, 5, Signal{Limit: 5}, 5}, {20, 15, Signal{}, 0}},
		"holds after an older answer":    {{10, 5, Signal{Limit: 5}, 5}, {12, 8, Signal{}, 5}},
		"falls at once":                  {{10, 5, Signal{Limit: 8}, 8}, {11, 6, Signal{Limit: 5}, 5}},
		"rises by a newer answer alone":  {{10, 5, Signal{Limit: 5}, 5}, {12, 9, Signal{Limit: 8}, 5}, {20, 11, Signal{Limit: 8}, 8}},
		"rises while answers overlap":    {{10, 5, Signal{Limit: 5}, 5}, {12, 9, Signal{Limit: 5}, 5}, {13, 11, Signal{Limit: 8}, 8}},
		"holds if it cannot be read":     {{10, 5, Signal{Limit: 5}, 5}, {20, 15, Signal{LimitUnreadable: true}, 5}},
		"none before it is named":        {{10, 5, Signal{}, 0}, {20, 15, Signal{Leaving: true}, 0}},
	} {
		tracker := NewTracker()
		last := answers[len(answers)-1]
		for index, each := range answers {
			tracker.Note(each.now, each.sentAt, instance, each.signal)
			if limit, _ := tracker.Limit(each.now, instance); limit != each.limit {
				t.Errorf("%s: limit %g after answer %d, want %g", name, limit, index, each.limit)
			}
		}
		if kept := tracker.Instances() > 0; kept != (last.limit > 0 || last.signal.Leaving) {
			t.Errorf("%s: the instance is kept: %t", name, kept)
		}
	}
}

// TestSignalsEndWithTheIncarnation checks that the signals of one incarnation do not apply to the
// next.
func TestSignalsEndWithTheIncarnation(t *testing.T) {
	tracker := NewTracker()
	tracker.Note(1, 0, instance, Signal{Limit: 5})
	tracker.Forget(func(directory.InstanceID) bool { return false })
	if limit, _ := tracker.Limit(2, instance); limit != 0 {
		t.Errorf("limit %g of an instance that was forgotten, want none", limit)
	}
}

// TestChangesAreTold checks that each change is reported once.
func TestChangesAreTold(t *testing.T) {
	tracker := NewTracker()
	signal := Signal{Limit: 5, Leaving: true, Rest: 3 * time.Second}
	want := Change{Limit: true, To: 5, Leaving: true, Rest: true}
	if got := tracker.Note(time.Second, 0, instance, signal); got != want {
		t.Errorf("first answer: %+v, want %+v", got, want)
	}
	if got := tracker.Note(2*time.Second, time.Second, instance, signal); got != (Change{}) {
		t.Errorf("repeated signal: %+v, want no change", got)
	}
	if got := tracker.Note(20*time.Second, 10*time.Second, instance, Signal{}); got != (Change{Limit: true, From: 5}) {
		t.Errorf("answer without signals: %+v, want the end of the limit", got)
	}
}

// TestRest checks that nothing is sent during a rest, that one request then probes whether the
// instance is back, and that others follow once it is answered or has timed out.
func TestRest(t *testing.T) {
	tracker := NewTracker()
	wantRest := func(now time.Duration, want time.Duration) {
		t.Helper()
		if got := tracker.Rest(now, instance); got != want {
			t.Errorf("at %s: rest %s, want %s", now, got, want)
		}
	}
	const notedAt, rest = 10 * time.Second, 3 * time.Second
	tracker.Note(notedAt, notedAt-time.Millisecond, instance, Signal{Rest: rest})
	wantRest(notedAt, rest)
	tracker.Note(notedAt+time.Second, notedAt-time.Millisecond, instance, Signal{})
	wantRest(notedAt+time.Second, rest-time.Second)
	tracker.Note(notedAt+time.Second, notedAt+time.Second, instance, Signal{Rest: time.Second})
	wantRest(notedAt+time.Second, rest-time.Second)
	end := notedAt + rest
	wantRest(end, 0)
	if got := tracker.Begin(end, instance); got != 0 {
		t.Errorf("the first request after the rest must wait %s, want none", got)
	}
	if got := tracker.Begin(end+time.Millisecond, instance); got != probeTimeout-time.Millisecond {
		t.Errorf("the second request must wait %s, want the remainder of probeTimeout", got)
	}
	wantRest(end+probeTimeout, 0)
	tracker.Note(end+time.Millisecond, end, instance, Signal{})
	for range 3 {
		if got := tracker.Begin(end+2*time.Millisecond, instance); got != 0 {
			t.Errorf("a request after the answer must wait %s, want none", got)
		}
	}
}

// TestLeaving checks that a leaving instance stays leaving, whatever later answers say.
func TestLeaving(t *testing.T) {
	tracker := NewTracker()
	tracker.Note(time.Second, 0, instance, Signal{Leaving: true})
	tracker.Note(2*time.Second, time.Second, instance, Signal{})
	if since, leaves := tracker.Leaving(4*time.Second, instance); !leaves || since != 3*time.Second {
		t.Errorf("leaving %t for %s, want true for 3s", leaves, since)
	}
	if _, leaves := tracker.Leaving(time.Second, "view-2"); leaves {
		t.Errorf("an instance without signals is leaving")
	}
}

// TestGatewaysThatReturnTogether checks that of 300 gateways that an instance told to rest at the
// same time, each sends one request after the rest and no more until it is answered.
func TestGatewaysThatReturnTogether(t *testing.T) {
	const gateways, requests = 300, 10
	const rest = 3 * time.Second
	sent := 0
	for range gateways {
		tracker := NewTracker()
		tracker.Note(0, 0, instance, Signal{Rest: rest})
		for request := range requests {
			if tracker.Begin(rest+time.Duration(request)*time.Millisecond, instance) == 0 {
				sent++
			}
		}
	}
	if sent != gateways {
		t.Errorf("%d requests sent within %d ms after the rest, want one by each of %d gateways", sent, requests, gateways)
	}
}
