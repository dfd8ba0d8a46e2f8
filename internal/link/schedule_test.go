package link

import (
	"math/rand/v2"
	"testing"
	"time"
)

// answerKind is a kind of answer sent over a narrow link.
type answerKind struct {
	urgency float64
	bytes   int
	// left is the time left until the target when the answer is ready.
	left  time.Duration
	share float64
}

// answerKinds are large answers of reads, and small answers of bookings, which are more urgent.
var answerKinds = []answerKind{{0, 5400, 250 * time.Millisecond, 0.6}, {1, 1900, 120 * time.Millisecond, 0.4}}

// pendingAnswer is an answer that waits for its turn.
type pendingAnswer struct {
	kind int
	turn *Turn
}

// runAnswers generates answers randomly at a rate on a link ordered by a schedule, and returns the
// share of each kind that is sent in time.
func runAnswers(perSecond float64, kinds []answerKind) []float64 {
	random := rand.New(rand.NewPCG(3, 3))
	schedule := NewSchedule(megabits)
	ready, sentInTime := make([]float64, len(kinds)), make([]float64, len(kinds))
	waiting := make(map[*Turn]pendingAnswer)
	depart := func(answer pendingAnswer, at time.Duration) {
		if at <= answer.turn.Target {
			sentInTime[answer.kind]++
		}
	}
	for now := time.Duration(0); now < 30*time.Second; {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		for {
			at := max(0, schedule.busyUntil-sendAhead)
			if at > now {
				break
			}
			turn, _ := schedule.Next(at)
			if turn == nil {
				break
			}
			depart(waiting[turn], at)
			delete(waiting, turn)
		}
		kind := 0
		if random.Float64() > kinds[0].share {
			kind = 1
		}
		answer := pendingAnswer{kind: kind, turn: &Turn{Bytes: kinds[kind].bytes, Urgency: kinds[kind].urgency, Target: now + kinds[kind].left}}
		ready[kind]++
		if schedule.Ask(now, answer.turn) {
			depart(answer, now)
		} else {
			waiting[answer.turn] = answer
		}
	}
	inTime := make([]float64, len(kinds))
	for kind := range kinds {
		inTime[kind] = sentInTime[kind] / ready[kind]
	}
	return inTime
}

// TestUrgentAnswersLeaveFirst checks that while nine tenths of the link are in use for seconds,
// with bursts beyond its capacity, bookings are sent in time although reads are three times as
// large. First come first served, they waited behind the reads.
func TestUrgentAnswersLeaveFirst(t *testing.T) {
	const perSecond = 60
	byUrgency := runAnswers(perSecond, answerKinds)
	alike := []answerKind{answerKinds[0], answerKinds[1]}
	alike[0].urgency, alike[1].urgency = 0, 0
	alike[0].left = alike[1].left
	firstCome := runAnswers(perSecond, alike)
	if byUrgency[1] < 0.99 {
		t.Errorf("%.3f of the bookings are sent in time, first come first served %.3f", byUrgency[1], firstCome[1])
	}
	if firstCome[1] > 0.97 {
		t.Errorf("first come first served, %.3f of the bookings are sent in time: the test does not fill the link", firstCome[1])
	}
}

// TestNobodyWaitsForever checks that under temporary overload a less urgent answer is sent once it
// has waited for maxTurnWait, before urgent ones that have not.
func TestNobodyWaitsForever(t *testing.T) {
	schedule := NewSchedule(megabits)
	schedule.Passed(0, 20_000)
	lessUrgent := &Turn{Bytes: 1000, Target: time.Second}
	if schedule.Ask(0, lessUrgent) {
		t.Fatal("the turn was granted at once on a full link")
	}
	now := maxTurnWait + 10*time.Millisecond
	schedule.Ask(now, &Turn{Bytes: 1000, Urgency: 1, Target: now + time.Second})
	if next, _ := schedule.Next(now); next != lessUrgent {
		t.Errorf("turn %+v is first, want the less urgent one", next)
	}
}

// TestLateAnswersLeaveAfterThoseInTime checks that late answers are sent after those in time, and
// that they are sent.
func TestLateAnswersLeaveAfterThoseInTime(t *testing.T) {
	schedule := NewSchedule(megabits)
	schedule.Passed(0, 20_000)
	late := &Turn{Bytes: 1000, Urgency: 1, Target: 10 * time.Millisecond}
	inTime := &Turn{Bytes: 1000, Target: time.Second}
	schedule.Ask(0, late)
	schedule.Ask(0, inTime)
	now := 100 * time.Millisecond
	for _, want := range []*Turn{inTime, late} {
		next, _ := schedule.Next(now)
		if next != want {
			t.Errorf("next turn %+v, want %+v", next, want)
		}
		now += 20 * time.Millisecond
	}
	if next, retryAt := schedule.Next(now); next != nil || retryAt != 0 {
		t.Errorf("next turn %+v at %s although none waits", next, retryAt)
	}
}

// TestLinkIsNotFilledBeyondItsRate checks that no more is sent in a second than the link carries.
func TestLinkIsNotFilledBeyondItsRate(t *testing.T) {
	schedule := NewSchedule(megabits)
	for range 100 {
		schedule.Ask(0, &Turn{Bytes: 5000, Target: time.Second})
	}
	sent := 0
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		for {
			turn, _ := schedule.Next(now)
			if turn == nil {
				break
			}
			sent += turn.Bytes
		}
	}
	if bound := megabits * bitsPerMegabit / bitsPerByte; float64(sent) > bound || float64(sent) < 0.85*bound {
		t.Errorf("%d bytes sent in a second, the link carries %.0f", sent, bound)
	}
	unbounded := NewSchedule(0)
	for range 100 {
		if !unbounded.Ask(0, &Turn{Bytes: 1 << 20}) {
			t.Fatal("a turn has to wait on a link without a bound")
		}
	}
}

// runLongAnswers generates short answers and parts of long ones on a link. It returns the share of
// the short answers that are sent in time and the number of long bytes sent.
func runLongAnswers(bulk bool) (shortInTime float64, longBytes int) {
	const (
		wideMegabits = 5.1
		part         = 8 << 10
		parts        = 11
	)
	random := rand.New(rand.NewPCG(9, 9))
	schedule := NewSchedule(wideMegabits)
	shortCount, inTime := 0.0, 0.0
	short := make(map[*Turn]bool)
	depart := func(turn *Turn, at time.Duration) {
		switch {
		case !short[turn]:
			longBytes += turn.Bytes
		case at <= turn.Target:
			inTime++
		}
	}
	for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
		for at := max(0, schedule.busyUntil-sendAhead); at <= now; at = max(0, schedule.busyUntil-sendAhead) {
			turn, _ := schedule.Next(at)
			if turn == nil {
				break
			}
			depart(turn, at)
		}
		ask := func(turn *Turn) {
			if schedule.Ask(now, turn) {
				depart(turn, now)
			}
		}
		if random.Float64() < 0.06 {
			turn := &Turn{Bytes: 2000, Urgency: 0.5, Target: now + 60*time.Millisecond}
			short[turn] = true
			shortCount++
			ask(turn)
		}
		if random.Float64() < 0.002 {
			for range parts {
				ask(&Turn{Bytes: part, Urgency: 0.9, Target: now + 900*time.Millisecond, Bulk: bulk})
			}
		}
	}
	return inTime / shortCount, longBytes
}

// TestLongMessagesShareTheLink checks that parts of long answers with a higher urgency do not delay
// short ones, and are still sent. Scheduled like short answers, they did delay them.
func TestLongMessagesShareTheLink(t *testing.T) {
	asShort, _ := runLongAnswers(false)
	inTime, longBytes := runLongAnswers(true)
	if inTime < 0.99 || asShort > 0.97 {
		t.Errorf("%.3f of the short answers are sent in time, %.3f if long ones are scheduled like short ones", inTime, asShort)
	}
	if longBytes < 9_000_000 {
		t.Errorf("only %d bytes of long answers were sent", longBytes)
	}
}
